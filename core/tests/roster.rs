//! Shares by roster version never add up to more than one.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::name::InstanceId;
use mimosabay_core::roster::Roster;

/// Length of the random input, in the low half of an arbtest seed.
const INPUT_BYTES: u64 = 4_000;
/// Distance between two seeds, so that close numbers give unlike inputs.
const SEED_STRIDE: u64 = 0x9e37_79b9;

fn id(number: u64) -> InstanceId {
    InstanceId::new(format!("i{number}"), 1)
}

#[test]
fn a_joiner_waits_for_every_older_member() {
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
fn nobody_has_a_share_while_the_first_members_gather() {
    let gathering = Roster::bootstrapping().join(&id(1)).expect("joins");
    let gathering = gathering.join(&id(2)).expect("joins");
    let gathering = gathering.confirm(&id(1), 2).expect("confirms");
    let gathering = gathering.confirm(&id(2), 2).expect("confirms");
    assert!(gathering.share_of(&id(1)) == 0.0);
    assert!(gathering.initial_share(&id(1)) == 0.0);
    let founded = gathering.finish_bootstrap().expect("ends the gathering");
    assert!((founded.share_of(&id(1)) - 0.5).abs() < 1e-9);
    assert!((founded.initial_share(&id(2)) - 0.5).abs() < 1e-9);
    assert!(founded.finish_bootstrap().is_none());
}

#[test]
fn who_joins_after_the_first_members_holds_nothing_from_the_start() {
    let founded = Roster::bootstrapping().join(&id(1)).expect("joins");
    let founded = founded.finish_bootstrap().expect("ends the gathering");
    let later = founded.join(&id(2)).expect("joins");
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

/// Members act on any version between the last that they have confirmed and the newest, and know
/// confirmations late; their shares still never exceed one together.
#[test]
fn shares_of_members_with_different_knowledge_fit_together() {
    for seed in 1..=100_u64 {
        let seed = seed.wrapping_mul(SEED_STRIDE) << 32 | INPUT_BYTES;
        arbtest(random_history).seed(seed).run();
    }
}

fn random_history(u: &mut Unstructured) -> Result<()> {
    let mut history = vec![Roster::default()];
    // What each process has read last, and the version that it may confirm.
    let mut known: Vec<(InstanceId, usize)> = Vec::new();
    for step in 0..200 {
        let newest = history.len() - 1;
        if known.len() < 2 || u.ratio(1_u8, 20_u8)? {
            known.push((id(step), newest));
        }
        let process = u.choose_index(known.len())?;
        let (me, read) = known[process].clone();
        let read = u.int_in_range(read..=newest)?;
        known[process].1 = read;
        let roster = &history[newest];
        let changed = match u.int_in_range(0..=5_u8)? {
            0 if read == newest && known.len() > 2 && u.ratio(1_u8, 4_u8)? => {
                known.remove(process);
                roster.remove(|member| *member == me)
            }
            1 | 2 => roster.join(&me),
            // A write is based on the newest version, a confirmation on what was read.
            _ => roster.confirm(&me, history[read].version),
        };
        history.extend(changed);
        let sum: f64 = known
            .iter()
            .map(|(me, read)| history[*read].share_of(me))
            .sum();
        assert!(sum <= 1.0 + 1e-9, "shares add up to {sum}");
    }
    Ok(())
}
