//! Resources that operators write: validation, settings and status.
