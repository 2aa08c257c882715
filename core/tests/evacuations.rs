//! Zones that operators evacuate and take back, beside a store that comes back from an older copy.

use mimosabay_core::evacuations::Evacuations;

fn evacuated(zones: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.reset(zones.iter().map(|zone| (*zone).into()), 0);
    evacuations
}

#[test]
fn zone_is_evacuated_until_its_entry_is_removed() {
    let mut evacuations = evacuated(&["north"]);
    assert!(evacuations.contains("north"));
    assert!(!evacuations.contains("south"));
    evacuations.apply("south".into(), true);
    evacuations.apply("north".into(), false);
    assert!(!evacuations.contains("north"));
    assert!(evacuations.contains("south"));
}

/// Guards against requests to a zone whose evacuation an older copy of the store does not have yet.
#[test]
fn zone_stays_evacuated_while_a_new_era_lacks_its_entry() {
    let mut evacuations = evacuated(&["north"]);
    evacuations.begin_store_era(1_000);
    evacuations.reset([], 1_100);
    assert!(evacuations.contains("north"));
    assert!(!evacuations.release_held(3_000));
    evacuations.apply("north".into(), true);
    assert!(!evacuations.release_held(20_000));
    assert!(evacuations.contains("north"));
}

#[test]
fn zone_that_is_not_written_again_is_taken_back() {
    let mut evacuations = evacuated(&["north"]);
    evacuations.begin_store_era(1_000);
    evacuations.reset([], 1_100);
    assert!(evacuations.release_held(7_100));
    assert!(!evacuations.contains("north"));
}

/// Guards against a zone that stays evacuated after its entry was removed in the new era.
#[test]
fn removal_in_the_new_era_counts_at_once() {
    let mut evacuations = evacuated(&["north"]);
    evacuations.begin_store_era(1_000);
    evacuations.reset([], 1_100);
    evacuations.apply("north".into(), false);
    assert!(!evacuations.contains("north"));
}
