//! The side of mimosabay that callers talk to.
