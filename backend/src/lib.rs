//! Client for engines and plain services.
