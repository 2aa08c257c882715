//! Representation of resources in the platform's store.
//!
//! Each resource has up to three objects. Operators write the specification. The acceptor copies a
//! valid specification into the accepted object, which instances put in force. The status reports
//! whether the newest specification was accepted and where it is in force. A rejected change
//! therefore leaves the last accepted specification in force.
//!
//! | object | kind | name | value |
//! |---|---|---|---|
//! | specification | `spec-<kind>` | `<name>` | [`SpecRecord`] |
//! | accepted | `accepted` | `<kind>.<name>` | [`AcceptedRecord`] |
//! | status | `status` | `<kind>.<name>` | [`StatusRecord`] |

use mimosabay_core::config::{ConfigEntry, ConfigTable, ObjectKey};
use mimosabay_core::name::Name;
use mimosabay_core::resource::{Kind, Spec};
use mimosabay_platform::Object;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::spec_parser;

/// Kind of the objects that hold accepted resources.
pub const ACCEPTED_KIND: &str = "accepted";

/// Kind of the objects that hold the status of resources.
pub const STATUS_KIND: &str = "status";

const SPEC_KIND_PREFIX: &str = "spec-";

mimosabay_core::record! {
    /// Value of a specification object. The object's version is the generation.
    pub struct SpecRecord {
        /// The specification as the operator wrote it. May be invalid.
        pub spec: Value,
        /// Name of the operator who wrote it.
        pub changed_by: Name,
        /// Time of the write in milliseconds since 1970-01-01, by the clock of the operator's
        /// machine.
        pub changed_at_ms: u64,
    }

    /// Value of an accepted object. The object's version is the revision that instances compare.
    pub struct AcceptedRecord {
        /// Version of the specification object that was copied, or version of its deletion.
        /// Invariant: increases with each version of the accepted object.
        pub generation: u64,
        /// The valid specification; `null` after a deletion.
        pub spec: Option<Value>,
    }

    /// Value of a status object.
    pub struct StatusRecord {
        /// Newest version of the specification object that the acceptor has validated.
        pub observed_generation: u64,
        /// Whether that version was accepted.
        pub accepted: bool,
        /// Reason of the rejection; empty if the version was accepted.
        #[serde(default)]
        pub reason: Name,
        /// Number of instances that have the version in force. Invariant: at most `instances`.
        #[serde(default)]
        pub in_force: u32,
        /// Number of live instances.
        #[serde(default)]
        pub instances: u32,
    }
}

/// An object whose value does not deserialise as the record expected for its kind.
#[derive(Debug, Snafu)]
#[snafu(display("object {kind}/{name} has no valid {expected}"))]
pub struct MalformedObject {
    kind: Name,
    name: Name,
    expected: &'static str,
    source: serde_json::Error,
}

/// Returns the object kind of the specifications of a resource kind.
pub fn spec_kind(kind: Kind) -> String {
    format!("{SPEC_KIND_PREFIX}{}", kind.as_str())
}

/// Returns the resource kind whose specifications have this object kind.
pub fn resource_kind(spec_kind: &str) -> Option<Kind> {
    Kind::parse(spec_kind.strip_prefix(SPEC_KIND_PREFIX)?)
}

/// Returns the name of the accepted object and of the status object of a resource.
pub fn qualified_name(kind: Kind, name: &str) -> String {
    format!("{}.{name}", kind.as_str())
}

/// Returns the resource to which an accepted or status object of this name belongs.
pub fn parse_qualified_name(text: &str) -> Option<ObjectKey> {
    let (kind, name) = text.split_once('.')?;
    let kind = Kind::parse(kind)?;
    let name = name.into();
    Some(ObjectKey { kind, name })
}

/// Deserialises the value of an object.
///
/// # Errors
///
/// Returns an error if the value does not deserialise as `T`.
pub fn read_record<T: DeserializeOwned>(
    object: &Object,
    expected: &'static str,
) -> Result<T, MalformedObject> {
    serde_json::from_value(object.value.clone()).context(MalformedObjectSnafu {
        kind: object.kind.clone(),
        name: object.name.clone(),
        expected,
    })
}

/// Serialises a record as the value of an object.
///
/// # Panics
///
/// Panics if a map key is not a string, which no record of this crate has.
pub fn to_value(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("records have string keys only")
}

/// Serialises a specification without its kind, as operators write it.
pub fn spec_value(spec: &Spec) -> Value {
    match spec {
        Spec::Organisation(spec) => to_value(spec),
        Spec::Key(spec) => to_value(spec),
        Spec::Route(spec) => to_value(spec),
        Spec::Adapter(spec) => to_value(spec),
        Spec::BackendServer(spec) => to_value(spec),
        Spec::Site(spec) => to_value(spec),
        Spec::Objective(spec) => to_value(spec),
    }
}

/// Converts an accepted object into an entry of the configuration in force.
///
/// Returns `None` if this version of the program cannot parse the object; the older entry then
/// stays in force. Only the types are checked, because the acceptor writes valid specifications
/// only.
pub fn accepted_entry(object: &Object) -> Option<ConfigEntry> {
    let key = parse_qualified_name(&object.name)?;
    let spec = if object.deleted {
        None
    } else {
        let record: AcceptedRecord = read_record(object, ACCEPTED_KIND).ok()?;
        match record.spec {
            Some(value) => Some(spec_parser::parse(key.kind, &object.name, &value).ok()?),
            None => None,
        }
    };
    Some(ConfigEntry {
        key,
        revision: object.version,
        spec,
    })
}

/// Builds the configuration table from a list of accepted objects.
pub fn accepted_table(objects: &[Object]) -> ConfigTable {
    let mut table = ConfigTable::default();
    for entry in objects.iter().filter_map(accepted_entry) {
        table.apply(entry);
    }
    table
}
