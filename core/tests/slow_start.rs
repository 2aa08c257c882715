//! The pace of a server that has just started, under load.

use arbtest::arbtest;
use mimosabay_core::slow_start::{AnswerSign, SlowStart};

/// Rate at which the servers begin, in requests a second.
const FIRST_PER_S: f64 = 6.0;
/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 5;

/// A server that runs a number of requests at once and rejects others.
struct Server {
    slots: usize,
    run_ms: u64,
    /// When the running requests end, in milliseconds.
    ends_ms: Vec<u64>,
    answered: usize,
    rejected: usize,
}

impl Server {
    fn new(slots: usize, run_ms: u64) -> Self {
        Self {
            slots,
            run_ms,
            ends_ms: Vec::new(),
            answered: 0,
            rejected: 0,
        }
    }

    /// Sends as many requests as the pace allows, for some time.
    fn load(&mut self, pace: &mut SlowStart, from_ms: u64, until_ms: u64) {
        let mut now_ms = from_ms;
        while now_ms < until_ms {
            let ended = self.ends_ms.extract_if(.., |end_ms| *end_ms <= now_ms);
            let ended = ended.count();
            self.answered += ended;
            for _ in 0..ended {
                pace.record(AnswerSign::Timely, now_ms);
            }
            while pace.try_take(now_ms) {
                self.receive(pace, now_ms);
            }
            now_ms += STEP_MS;
        }
    }

    fn receive(&mut self, pace: &mut SlowStart, now_ms: u64) {
        if self.ends_ms.len() < self.slots {
            self.ends_ms.push(now_ms + self.run_ms);
        } else {
            self.rejected += 1;
            pace.record(AnswerSign::Rejected, now_ms);
        }
    }
}

fn begin() -> SlowStart {
    SlowStart::new(1, FIRST_PER_S, 1.0, 0, 0)
}

/// Guards against a server that is left idle: one that answers at once soon gets what it can take.
#[test]
fn fast_server_is_used_soon() {
    let mut pace = begin();
    let mut server = Server::new(6, 30);
    let mut now_ms = 0;
    while !pace.is_over(now_ms) && now_ms < 3_000 {
        server.load(&mut pace, now_ms, now_ms + 100);
        now_ms += 100;
    }
    assert!(now_ms < 3_000, "{} requests a second", pace.per_s());
    assert_eq!(server.rejected, 0);
}

/// Guards against a server that is flooded: one that is slow after its start gets little more than it
/// answers.
#[test]
fn slow_server_is_not_flooded() {
    let mut pace = begin();
    let mut server = Server::new(6, 800);
    server.load(&mut pace, 0, 6_000);
    let share = server.rejected as f64 / server.answered as f64;
    assert!(share < 0.5, "{} of {}", server.rejected, server.answered);
    assert!(server.answered > 30, "{}", server.answered);
}

#[test]
fn pace_stays_while_the_server_is_cold() {
    let mut pace = SlowStart::new(1, FIRST_PER_S, 1.0, 3_000, 0);
    let mut server = Server::new(6, 30);
    server.load(&mut pace, 0, 3_000);
    assert!((17..=19).contains(&server.answered), "{}", server.answered);
    assert!(!pace.is_over(2_999));
}

/// Guards against all requests that waited being sent at the moment at which a server is warm.
#[test]
fn server_that_has_become_warm_gets_no_burst() {
    let mut pace = SlowStart::new(1, FIRST_PER_S, 1.0, 3_000, 0);
    let mut server = Server::new(64, 200);
    server.load(&mut pace, 0, 3_000);
    let before = server.answered;
    server.load(&mut pace, 3_000, 3_500);
    let count = server.answered + server.ends_ms.len() - before;
    assert!((count as f64) < FIRST_PER_S * 2.0, "{count}");
}

/// Guards against a server that stays slow for good if nothing is answered in time.
#[test]
fn slow_start_ends_by_itself() {
    let mut pace = begin();
    for now_ms in (0..10_000).step_by(100) {
        pace.record(AnswerSign::Late, now_ms);
    }
    assert!((pace.per_s() - FIRST_PER_S).abs() < 1e-9);
    assert!(pace.is_over(10_000));
}

#[test]
fn server_that_turns_cold_again_falls_back() {
    let mut pace = begin();
    let mut server = Server::new(6, 30);
    server.load(&mut pace, 0, 1_500);
    assert!(pace.per_s() > FIRST_PER_S);
    pace.extend_cold(4_500, 1_500);
    assert!((pace.per_s() - FIRST_PER_S).abs() < 1e-9);
    assert!(!pace.is_over(4_499));
}

/// Whatever a server answers, all instances together send no more than the rate allows.
#[test]
fn shares_add_up_to_the_pace() {
    arbtest(|choices| {
        let instances = choices.int_in_range(1..=90_u32)?;
        let mut sent = 0;
        for _ in 0..instances {
            let share = 1.0 / f64::from(instances);
            let mut pace = SlowStart::new(1, FIRST_PER_S, share, 3_000, 0);
            let times = (0..3_000).step_by(50);
            sent += times.filter(|now_ms| pace.try_take(*now_ms)).count();
        }
        assert!(sent as f64 <= FIRST_PER_S * 3.0, "{sent} by {instances}");
        Ok(())
    })
    .budget_ms(300);
}
