//! Authenticated streams between instances.
