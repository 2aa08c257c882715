//! Real instances on a platform where backend servers register themselves.

mod attempts;
mod bad_input;
mod caller_connections;
mod configuration;
mod framing;
mod logs;
mod path;
mod placer;
mod quarantine;
mod rates;
mod replacement;
mod servers;
mod silence;
mod stop;
mod store;
mod streams;
