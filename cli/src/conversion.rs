//! Reads command-line arguments and formats resource names.

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Kind;

/// Returns the value of a required text argument.
pub(crate) fn text_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments
        .get_one::<String>(name)
        .expect("the argument is required")
}

/// Returns the key of the resource that the arguments `KIND NAME` identify.
pub(crate) fn resource_argument(arguments: &ArgMatches) -> ObjectKey {
    let kind = *arguments
        .get_one::<Kind>("kind")
        .expect("the kind is required");
    object_key(kind, text_argument(arguments, "name"))
}

/// Builds the key of a resource.
pub(crate) fn object_key(kind: Kind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.into(),
    }
}

/// Formats the key of a resource as `kind/name`.
pub(crate) fn display(key: &ObjectKey) -> String {
    format!("{}/{}", key.kind.as_str(), key.name)
}
