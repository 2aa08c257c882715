//! Reads arguments and names resources.

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Kind;

/// The value of a required text argument.
pub(crate) fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments
        .get_one::<String>(name)
        .expect("the argument is required")
}

/// The resource that `KIND NAME` names.
pub(crate) fn resource(arguments: &ArgMatches) -> ObjectKey {
    let kind = *arguments
        .get_one::<Kind>("kind")
        .expect("the kind is required");
    object_key(kind, text(arguments, "name"))
}

/// The identity of a resource.
pub(crate) fn object_key(kind: Kind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.into(),
    }
}

/// A resource in messages.
pub(crate) fn display(key: &ObjectKey) -> String {
    format!("{}/{}", key.kind.as_str(), key.name)
}
