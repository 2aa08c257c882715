//! Guards against streams that begin at another software version than the one that a placer has noted.

use mimosabay_core::cases;
use mimosabay_core::name::Name;
use mimosabay_core::stream_placement::RequiredVersion;
use mimosabay_core::version_binding::VersionBinding;

/// What happens to a stream before its first event.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A placer assigns a server of this version.
    ByPlacer(&'static str),
    /// The instance assigns a server of this version.
    ByInstance(&'static str),
    /// A placer assigns a server of unknown version.
    OfUnknownVersion,
    /// A placer does not answer.
    Unanswered,
}

fn binding_after(steps: &[Step]) -> VersionBinding {
    let mut binding = VersionBinding::default();
    for step in steps {
        match step {
            Step::ByPlacer(version) => binding.record_assignment(Some(&Name::from(*version)), true),
            Step::ByInstance(version) => {
                binding.record_assignment(Some(&Name::from(*version)), false);
            }
            Step::OfUnknownVersion => binding.record_assignment(None, true),
            Step::Unanswered => binding.record_unanswered(),
        }
    }
    binding
}

fn version(text: &str) -> RequiredVersion {
    RequiredVersion::Version(text.into())
}

fn required_after(steps: &[Step], expected: &RequiredVersion) {
    assert_eq!(binding_after(steps).required_version(true), *expected);
}

mod instance_keeps_to_the_version_that_was_noted {
    use super::Step::{ByInstance, ByPlacer, OfUnknownVersion, Unanswered};
    use super::{RequiredVersion, cases, required_after, version};

    cases! {
        required_after;
        never_assigned: (&[], &RequiredVersion::Any);
        assigned_by_placer: (&[ByPlacer("v2")], &version("v2"));
        assigned_and_then_unanswered: (&[ByPlacer("v2"), Unanswered], &version("v2"));
        assigned_and_then_by_instance: (&[ByPlacer("v2"), ByInstance("v1")], &version("v2"));
        changed_by_placer: (&[ByPlacer("v2"), ByPlacer("v1")], &version("v1"));
        unanswered: (&[Unanswered], &RequiredVersion::Unknown);
        unanswered_and_then_assigned: (&[Unanswered, ByPlacer("v1")], &version("v1"));
        by_instance: (&[ByInstance("v1")], &version("v1"));
        by_instance_and_then_unanswered: (&[ByInstance("v1"), Unanswered], &version("v1"));
        of_unknown_version: (&[OfUnknownVersion], &RequiredVersion::Any);
    }
}

/// Guards against beginning a stream elsewhere, because the instance does not know the version that was noted.
#[test]
fn noted_version_holds_though_the_instance_knows_one_version() {
    let noted = binding_after(&[Step::ByPlacer("v2")]);
    assert_eq!(noted.required_version(false), version("v2"));
    let in_doubt = binding_after(&[Step::Unanswered]);
    assert_eq!(in_doubt.required_version(false), RequiredVersion::Any);
}

#[test]
fn placer_may_change_only_what_a_placer_has_noted() {
    assert!(binding_after(&[Step::ByPlacer("v2")]).may_change());
    assert!(!binding_after(&[Step::ByInstance("v2")]).may_change());
}
