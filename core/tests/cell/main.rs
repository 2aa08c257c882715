//! Placement of requests on the engines of a cell.

mod adapters;
mod assignment;
mod evacuated;
mod fleet;
mod fleet_load;
mod invariants;
mod limited;
mod prefill;
mod prompt_parts;
mod rates;
mod short_room;
mod streams;
mod support;
mod suspects;
mod uneven;
mod unknown_state;
mod unserved;
