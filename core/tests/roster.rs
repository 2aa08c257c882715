//! Shares by roster version never add up to more than one.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::name::InstanceId;
use mimosabay_core::roster::Roster;

/// Length of the random input, in the low half of an arbtest seed.
const INPUT_BYTES: u64 = 4_000;
/// Distance between two seeds, so that consecutive numbers give unrelated inputs.
const SEED_STRIDE: u64 = 0x9e37_79b9;

fn id(number: u64) -> InstanceId {
    InstanceId::new(format!("i{number}"), 1)
}

#[test]
fn a_new_member_has_no_share_until_every_older_member_confirms() {
    let first = Roster::default().join(&id(1)).expect("joins");
    let first = first.confirm(&id(1), 1).expect("confirms");
    let second = first.join(&id(2)).expect("joins");
    let second = second.confirm(&id(2), 2).expect("confirms");
    assert!((second.share_of(&id(1)) - 0.5).abs() < 1e-9);
    assert!(second.share_of(&id(2)) == 0.0);
    let both = second.confirm(&id(1), 2).expect("confirms");
    assert!((both.share_of(&id(2)) - 0.5).abs() < 1e-9);
}

#[test]
fn no_member_has_a_share_during_the_bootstrap() {
    let bootstrapping = Roster::bootstrapping().join(&id(1)).expect("joins");
    let bootstrapping = bootstrapping.join(&id(2)).expect("joins");
    let bootstrapping = bootstrapping.confirm(&id(1), 2).expect("confirms");
    let bootstrapping = bootstrapping.confirm(&id(2), 2).expect("confirms");
    assert!(bootstrapping.share_of(&id(1)) == 0.0);
    assert!(bootstrapping.initial_share(&id(1)) == 0.0);
    let bootstrapped_roster = bootstrapping
        .finish_bootstrap()
        .expect("finishes the bootstrap");
    assert!((bootstrapped_roster.share_of(&id(1)) - 0.5).abs() < 1e-9);
    assert!((bootstrapped_roster.initial_share(&id(2)) - 0.5).abs() < 1e-9);
    assert!(bootstrapped_roster.finish_bootstrap().is_none());
}

#[test]
fn member_that_joins_after_the_bootstrap_has_no_initial_share() {
    let bootstrapped_roster = Roster::bootstrapping().join(&id(1)).expect("joins");
    let bootstrapped_roster = bootstrapped_roster
        .finish_bootstrap()
        .expect("finishes the bootstrap");
    let later = bootstrapped_roster.join(&id(2)).expect("joins");
    let restarted = later.join(&InstanceId::new("i1", 2)).expect("joins");
    assert!(restarted.initial_share(&id(2)) == 0.0);
    assert!(restarted.initial_share(&InstanceId::new("i1", 2)) == 0.0);
}

#[test]
fn a_freed_share_is_used_after_the_others_have_confirmed() {
    let two = Roster::default().join(&id(1)).expect("joins");
    let two = two.join(&id(2)).expect("joins");
    let two = two.confirm(&id(1), 2).expect("confirms");
    let two = two.confirm(&id(2), 2).expect("confirms");
    let one = two.remove(|member| *member == id(2)).expect("removes");
    assert!((one.share_of(&id(1)) - 0.5).abs() < 1e-9);
    let one = one.confirm(&id(1), 3).expect("confirms");
    assert!((one.share_of(&id(1)) - 1.0).abs() < 1e-9);
}

#[test]
fn a_restarted_instance_replaces_its_earlier_process() {
    let roster = Roster::default().join(&id(1)).expect("joins");
    let restarted = InstanceId::new("i1", 2);
    let roster = roster.join(&restarted).expect("joins");
    assert_eq!(roster.members.len(), 1);
    assert!(roster.member(&restarted).is_some());
}

/// Members act on any version between the last that they have confirmed and the newest, and receive
/// confirmations late; the sum of their shares still never exceeds one.
#[test]
fn shares_of_members_on_different_versions_never_exceed_one() {
    for seed in 1..=100_u64 {
        let seed = seed.wrapping_mul(SEED_STRIDE) << 32 | INPUT_BYTES;
        arbtest(random_history).seed(seed).run();
    }
}

fn random_history(u: &mut Unstructured) -> Result<()> {
    let mut history = vec![Roster::default()];
    // The roster that each process has read last, which determines the version that it may confirm.
    let mut known: Vec<(InstanceId, usize)> = Vec::new();
    for step in 0..200 {
        let newest = history.len() - 1;
        if known.len() < 2 || u.ratio(1_u8, 20_u8)? {
            known.push((id(step), newest));
        }
        let process = u.choose_index(known.len())?;
        let (own_id, read) = known[process].clone();
        let read = u.int_in_range(read..=newest)?;
        known[process].1 = read;
        let roster = &history[newest];
        let changed = match u.int_in_range(0..=5_u8)? {
            0 if read == newest && known.len() > 2 && u.ratio(1_u8, 4_u8)? => {
                known.remove(process);
                roster.remove(|member| *member == own_id)
            }
            1 | 2 => roster.join(&own_id),
            // A write is based on the newest version, a confirmation on the version that was read.
            _ => roster.confirm(&own_id, history[read].version),
        };
        history.extend(changed);
        let sum: f64 = known
            .iter()
            .map(|(own_id, read)| history[*read].share_of(own_id))
            .sum();
        assert!(sum <= 1.0 + 1e-9, "sum of the shares is {sum}");
    }
    Ok(())
}
