//! The mimosabay command-line tool for operators.
