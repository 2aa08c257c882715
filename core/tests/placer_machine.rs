//! Which machines become the placer, and when a placer falls behind.

use mimosabay_core::placer_machine::{PlacerPace, Processor};

/// Time between two observations, in milliseconds.
const PERIOD_MS: u64 = 1_000;

fn check_takeover(own: Option<u64>, largest_other: Option<u64>, is_later: bool) {
    let delay_ms = Processor::stated(own).takeover_delay_ms(Processor::stated(largest_other));
    assert_eq!(delay_ms > 0, is_later);
}

mimosabay_core::cases! { check_takeover;
    small_machine_waits_for_a_large_one: (Some(120), Some(500), true);
    large_machine_does_not_wait: (Some(500), Some(120), false);
    equal_machines_do_not_wait: (Some(250), Some(250), false);
    little_larger_machine_is_not_waited_for: (Some(250), Some(500), false);
    machine_that_states_nothing_waits_for_any: (None, Some(120), true);
    machine_that_states_something_absurd_waits_for_any: (Some(u64::MAX), Some(120), true);
    machine_that_states_something_absurd_is_not_waited_for: (Some(120), Some(u64::MAX), false);
    nobody_waits_where_nobody_states_anything: (None, None, false);
}

fn check_cores(share: f64, cores: f64, millicores: u64) {
    assert_eq!(Processor::of_cores(share, cores).millicores(), millicores);
}

mimosabay_core::cases! { check_cores;
    share_of_one_core: (0.12, 1.0, 120);
    share_of_several_cores: (0.5, 4.0, 2_000);
    negative_share_counts_as_unknown: (-1.0, 1.0, 0);
    share_that_is_no_number_counts_as_unknown: (f64::NAN, 1.0, 0);
    endless_share_counts_as_unknown: (f64::INFINITY, 1.0, 0);
    absurd_share_counts_as_unknown: (1e18, 1.0, 0);
}

/// Observes delays one second after the other; returns whether the placer is behind at the end.
fn is_behind(delays_ms: &[u64]) -> bool {
    let mut pace = PlacerPace::default();
    let mut now_ms = 0;
    let mut is_behind = false;
    for delay_ms in delays_ms {
        now_ms += PERIOD_MS;
        is_behind = pace.observe(*delay_ms, now_ms);
    }
    is_behind
}

fn check_pace(delays_ms: &[u64], expected: bool) {
    assert_eq!(is_behind(delays_ms), expected, "{delays_ms:?}");
}

mimosabay_core::cases! { check_pace;
    placer_in_time: (&[10, 20, 30, 20], false);
    placer_that_was_paused_once: (&[10, 6_000, 20, 20], false);
    placer_that_is_late_by_turns: (&[300, 20, 300, 20, 300], false);
    placer_that_is_late_all_the_time: (&[300, 250, 400], true);
}

fn check_hand_over(own: u64, largest_other: u64, since_last_ms: Option<u64>, expected: bool) {
    let own = Processor::stated(Some(own));
    let largest_other = Processor::stated(Some(largest_other));
    assert_eq!(own.hands_over_to(largest_other, since_last_ms), expected);
}

mimosabay_core::cases! { check_hand_over;
    small_machine_hands_over: (120, 500, None, true);
    machine_among_equals_stays: (120, 120, None, false);
    machine_that_is_the_placer_again_soon_stays: (120, 500, Some(5_000), false);
    machine_that_is_the_placer_again_later_hands_over: (120, 500, Some(60_000), true);
}

/// A guard must not send the record around among small machines.
#[test]
fn record_moves_only_to_larger_machines() {
    let machines = [120, 250, 500].map(|millicores| Processor::stated(Some(millicores)));
    for from in machines {
        for to in machines {
            let hands_over = from.is_much_smaller_than(to);
            assert!(!hands_over || from < to);
        }
    }
}
