//! The mimosabay daemon.
