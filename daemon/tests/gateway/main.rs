//! Real instances on a platform where backend servers register themselves.

mod attempts;
mod bad_input;
mod configuration;
mod framing;
mod logs;
mod path;
mod placer;
mod quarantine;
mod rates;
mod servers;
mod silence;
mod stop;
mod store;
mod streams;
