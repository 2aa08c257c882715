//! Which failed attempts are retried, and what callers receive.

use mimosabay_core::cases;
use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetSite};
use mimosabay_standin::harness::block_on;

/// Planned behaviour of the servers for each attempt, and the answer that the caller must receive.
struct Case {
    path: &'static str,
    planned: &'static [Behaviour],
    status: u16,
    runs: usize,
}

fn check(case: &Case) {
    block_on(async {
        let options = FleetOptions {
            plain_servers: 1,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        for behaviour in case.planned {
            site.plain_servers[0].plan(*behaviour);
        }
        let caller = site.caller(0).deadline_ms(1_500);
        let answer = caller.post(case.path, "one", "a body").await.unwrap();
        assert_eq!(answer.status, case.status);
        assert_eq!(site.run_count("one"), case.runs);
    });
}

cases! {
    check;
    rejected_booking_is_retried: (&Case {
        path: "/book/x", planned: &[Behaviour::Reject], status: 200, runs: 1,
    });
    booking_with_lost_answer_is_not_retried: (&Case {
        path: "/book/x", planned: &[Behaviour::LoseAnswer], status: 502, runs: 1,
    });
    failed_booking_is_not_retried: (&Case {
        path: "/book/x", planned: &[Behaviour::Fail], status: 500, runs: 1,
    });
    booking_that_hangs_times_out: (&Case {
        path: "/book/x", planned: &[Behaviour::Hang], status: 504, runs: 1,
    });
    booking_with_a_foreign_answer_is_not_retried: (&Case {
        path: "/book/x", planned: &[Behaviour::AnswerWithWrongId], status: 502, runs: 1,
    });
    booking_whose_answer_is_cut_short_is_not_retried: (&Case {
        path: "/book/x", planned: &[Behaviour::CutShort(0)], status: 502, runs: 1,
    });
    lookup_whose_answer_is_cut_short_is_retried: (&Case {
        path: "/look/x", planned: &[Behaviour::CutShort(0)], status: 200, runs: 2,
    });
    lookup_with_lost_answer_is_retried: (&Case {
        path: "/look/x", planned: &[Behaviour::LoseAnswer], status: 200, runs: 2,
    });
    lookup_with_a_foreign_answer_is_retried: (&Case {
        path: "/look/x", planned: &[Behaviour::AnswerWithWrongId], status: 200, runs: 2,
    });
    failed_lookup_is_retried: (&Case {
        path: "/look/x", planned: &[Behaviour::Fail], status: 200, runs: 2,
    });
    lookup_runs_on_at_most_as_many_servers_as_its_route_allows: (&Case {
        path: "/look/x", planned: &[Behaviour::Fail, Behaviour::Fail], status: 500, runs: 2,
    });
    refusal_is_given_only_if_nothing_ran: (&Case {
        path: "/book/x",
        planned: &[Behaviour::Reject, Behaviour::Reject, Behaviour::Reject],
        status: 503,
        runs: 0,
    });
}

/// Guards against telling callers "not run" because a server repeats an earlier refusal on a kept
/// connection.
mod repeated_refusal_is_taken_for_one_of_a_request_that_ran {
    use mimosabay_core::cases;

    use super::booking_is_not_refused;

    cases! {
        booking_is_not_refused;
        with_the_earlier_id: (true);
        without_id: (false);
    }
}

fn booking_is_not_refused(has_id: bool) {
    block_on(async {
        let options = FleetOptions {
            plain_servers: 1,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        let caller = site.caller(0);
        let answer = caller.post("/book/x", "first", "a body").await.unwrap();
        assert_eq!(answer.status, 200);
        site.plain_servers[0].plan(Behaviour::RepeatRejection { has_id });
        let answer = caller.post("/book/x", "second", "a body").await.unwrap();
        assert_eq!(answer.status, 502, "it may have run");
        assert_eq!(site.run_count("second"), 1);
    });
}

#[test]
fn refused_caller_receives_a_retry_delay() {
    block_on(async {
        let options = FleetOptions {
            plain_servers: 0,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        let answer = site.caller(0).get("/look/x", "one").await.unwrap();
        assert_eq!(answer.status, 503);
        let retry_after: f64 = answer.header("retry-after").parse().unwrap();
        assert!(retry_after > 0.0);
    });
}
