//! Instance settings, validation of resources, their representation in the platform's store, and
//! error-budget reports on service-level objectives.
//!
//! ```
//! use mimosabay_core::config::ConfigTable;
//! use mimosabay_core::resource::Kind;
//! use mimosabay_operator::validate;
//!
//! let spec = serde_json::json!({ "rate_tokens_per_s": 0, "burst_tokens": 500 });
//! let errors = validate(Kind::Organisation, "clinics", &spec, &ConfigTable::default());
//! assert_eq!(errors.unwrap_err()[0].field, "rate_tokens_per_s");
//! ```

pub mod acceptance;
pub mod burn;
mod check;
mod check_kind;
mod field_error;
mod ini_reader;
pub mod key;
mod name_check;
mod policy;
mod secret;
pub mod settings;
mod settings_error;
pub mod slo;
mod slo_outcome;
mod slo_recorder;
mod spec_parser;
pub mod store;
mod validate;

pub use acceptance::Acceptance;
pub use field_error::FieldError;
pub use policy::{BudgetPolicy, EvictionPolicy, LogLevel, PlacementPolicy, QueuePolicy};
pub use secret::Secret;
pub use settings::Settings;
pub use settings_error::{SettingError, SettingsErrors};
pub use slo_outcome::refusal_outcome;
pub use slo_recorder::SloRecorder;
pub use store::{AcceptedRecord, SpecRecord, StatusRecord};
pub use validate::{referrers, validate, validate_deletion};
