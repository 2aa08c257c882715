//! Stand-ins for the systems around mimosabay, for tests and the quickstart.
