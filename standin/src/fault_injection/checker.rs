//! One checker per guarantee. Each applies its guarantee exactly as worded, and tolerates an
//! ambiguous observation only where the history does not show in which order two events happened.

use std::collections::{HashMap, HashSet};

use crate::engine::RunRecord;
use crate::harness::{Attempt, BookingOutcome, CallOutcome, CallRecord};
use crate::text::count_tokens;

use super::history::{AcceptedChange, History, OrganisationCalls};

/// Time within which an accepted change has to be in force on all instances.
const IN_FORCE_MS: u64 = 3_000;

mimosabay_core::key_record! {
    /// A guarantee of the system. Reports print the variant names.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Guarantee {
        /// Each request runs on the adapter and version that it names.
        Adapter,
        /// An adapter that is serving a request is never evicted.
        Eviction,
        /// A request runs only for the organisation of its key, no backend server receives the key,
        /// and a withdrawn key stops working.
        Organisation,
        /// No organisation uses more tokens than its rate and burst allow.
        Rate,
        /// Every caller receives the complete answer to its own request.
        WholeAnswer,
        /// A request whose error reports that it has not run has not run.
        TruthfulRefusal,
        /// A request that is not safe to retry runs at most once.
        AtMostOnce,
        /// A leaving backend server receives no new runs.
        LeavingServer,
        /// No event except a kill, and in particular no planned stop, breaks a caller's connection.
        NothingCut,
        /// Changes by operators are accepted, and the system recovers from faults.
        Configuration,
    }

    /// A guarantee that a history violates.
    pub struct Violation {
        /// The violated guarantee.
        #[serde(rename = "promise")]
        pub guarantee: Guarantee,
        /// Evidence in the history.
        #[serde(rename = "seen")]
        pub details: String,
    }
}

impl Guarantee {
    /// All guarantees.
    pub const ALL: [Guarantee; 10] = [
        Guarantee::Adapter,
        Guarantee::Eviction,
        Guarantee::Organisation,
        Guarantee::Rate,
        Guarantee::WholeAnswer,
        Guarantee::TruthfulRefusal,
        Guarantee::AtMostOnce,
        Guarantee::LeavingServer,
        Guarantee::NothingCut,
        Guarantee::Configuration,
    ];
}

/// Checks a history for violations of all guarantees.
pub fn check(history: &History) -> Vec<Violation> {
    let check_guarantee = |guarantee| {
        let findings = match guarantee {
            Guarantee::Adapter => check_adapters(history),
            Guarantee::Eviction => engine_violations(history, "unloaded"),
            Guarantee::Organisation => check_organisations(history),
            Guarantee::Rate => history
                .organisations
                .iter()
                .filter_map(|group| check_rate(group, history))
                .collect(),
            Guarantee::WholeAnswer => check_complete_answers(history),
            Guarantee::TruthfulRefusal => check_refusals(history),
            Guarantee::AtMostOnce => check_at_most_once(history),
            Guarantee::LeavingServer => check_leaving_servers(history),
            Guarantee::NothingCut => check_broken_connections(history),
            Guarantee::Configuration => history.unmet_conditions.clone(),
        };
        findings
            .into_iter()
            .map(move |details| Violation { guarantee, details })
    };
    Guarantee::ALL
        .into_iter()
        .flat_map(check_guarantee)
        .collect()
}

fn check_adapters(history: &History) -> Vec<String> {
    let requested_sources: HashMap<&str, &str> = history
        .calls()
        .map(|call| (&*call.prompt, call.source))
        .collect();
    let runs = history.runs().map(|(_, run)| run);
    let wrong = runs.filter(|run| requested_sources.get(&*run.prompt) != Some(&&*run.source));
    wrong
        .map(|run| format!("`{}` ran on {}", run.prompt, run.source))
        .collect()
}

fn engine_violations(history: &History, prefix: &str) -> Vec<String> {
    let engines = history.engines.iter();
    let all = engines.flat_map(|(_, record)| &record.violations);
    all.filter(|details| details.starts_with(prefix))
        .cloned()
        .collect()
}

fn check_organisations(history: &History) -> Vec<String> {
    let on_engines = history.runs().flat_map(|(_, run)| &run.headers);
    let calls = history
        .plain_servers
        .iter()
        .flat_map(|record| &record.calls);
    let on_plains = calls.flat_map(|call| &call.headers);
    let leaked = on_engines
        .chain(on_plains)
        .filter(|(_, value)| history.keys.iter().any(|key| value.contains(key)))
        .map(|(name, _)| format!("a backend server saw a key in {name}"));
    let mut findings: Vec<String> = leaked.collect();
    if let Some(change) = &history.withdrawn_key {
        findings.extend(runs_after_withdrawal(history, change));
    }
    findings
}

fn runs_after_withdrawal(history: &History, change: &AcceptedChange) -> Vec<String> {
    let limit_ms = change.accepted_ms + IN_FORCE_MS;
    let organisations = history.organisations.iter();
    let calls = organisations
        .filter(|group| group.organisation == &*change.name)
        .flat_map(|group| &group.calls);
    let prompts: HashSet<&str> = calls.map(|call| &*call.prompt).collect();
    history
        .runs()
        .filter(|(_, run)| run.started_ms >= limit_ms && prompts.contains(&*run.prompt))
        .map(|(_, run)| {
            let late_ms = run.started_ms - change.accepted_ms;
            format!("`{}` started {late_ms} ms after the withdrawal", run.prompt)
        })
        .collect()
}

/// Compares the tokens used in each interval with the rate and burst. Counts only the calls that
/// were both sent and finished within the interval, as only their charge certainly falls within it.
fn check_rate(group: &OrganisationCalls, history: &History) -> Option<String> {
    let mut used: Vec<(u64, u64, u64)> = usage(group, history);
    used.sort_by_key(|(_, ended_ms, _)| *ended_ms);
    let mut starts: Vec<u64> = used.iter().map(|(asked_ms, ..)| *asked_ms).collect();
    starts.sort_unstable();
    starts.dedup();
    for from_ms in starts {
        let mut tokens = 0;
        for (_, ended_ms, used_tokens) in used.iter().filter(|(asked, ..)| *asked >= from_ms) {
            tokens += used_tokens;
            let time_ms = ended_ms - from_ms;
            let refill = (group.rate_tokens_per_s * time_ms).div_ceil(1_000);
            if tokens > group.burst_tokens + refill {
                let organisation = group.organisation;
                return Some(format!(
                    "{organisation} used {tokens} tokens in {time_ms} ms"
                ));
            }
        }
    }
    None
}

/// Returns for each call when it was sent, when its last run ended, and the tokens of its prompt and
/// answer.
fn usage(group: &OrganisationCalls, history: &History) -> Vec<(u64, u64, u64)> {
    let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for (_, run) in history.runs() {
        runs.entry(&run.prompt).or_default().push(run);
    }
    let call_usage = |call: &CallRecord| {
        // Retries after a fault are made by the system; the caller is charged for one run.
        let runs = runs.get(&*call.prompt)?;
        let last = runs.iter().max_by_key(|run| run.started_ms)?;
        let tokens = last.resumed_tokens + last.generated_tokens + count_tokens(&call.prompt);
        Some((call.sent_ms, last.ended_ms?.max(call.sent_ms), tokens))
    };
    group.calls.iter().filter_map(call_usage).collect()
}

fn check_complete_answers(history: &History) -> Vec<String> {
    let is_wrong = |call: &&CallRecord| match &call.outcome {
        CallOutcome::Complete => false,
        CallOutcome::Wrong(_) => true,
        CallOutcome::Refused { prefix_right, .. } | CallOutcome::Broken { prefix_right, .. } => {
            !prefix_right
        }
    };
    let wrong = history.calls().filter(is_wrong);
    let mut findings: Vec<String> = wrong
        .map(|call| format!("`{}` got {:?}", call.prompt, call.outcome))
        .collect();
    findings.extend(engine_violations(history, "a run on"));
    findings
}

fn check_refusals(history: &History) -> Vec<String> {
    let ran: HashSet<&str> = history.runs().map(|(_, run)| &*run.prompt).collect();
    let reports_not_run = |call: &&CallRecord| {
        matches!(
            &call.outcome,
            CallOutcome::Refused { ran, .. } if ran == "no"
        )
    };
    let generations = history
        .calls()
        .filter(reports_not_run)
        .map(|call| &*call.prompt)
        .filter(|prompt| ran.contains(prompt));
    let calls = history
        .plain_servers
        .iter()
        .flat_map(|record| &record.calls);
    let called: HashSet<&str> = calls.map(|call| &*call.body).collect();
    let attempt_reports_not_run = |attempt: &Attempt| {
        matches!(
            &attempt.outcome,
            BookingOutcome::Refused { ran, .. } if ran == "no"
        )
    };
    let bookings = history
        .bookings
        .iter()
        .filter(|booking| booking.attempts.iter().all(attempt_reports_not_run))
        .map(|booking| &*booking.order)
        .filter(|order| called.contains(order));
    generations
        .chain(bookings)
        .map(|asked| format!("`{asked}` ran and was said not to have"))
        .collect()
}

fn check_at_most_once(history: &History) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for call in history
        .plain_servers
        .iter()
        .flat_map(|record| &record.calls)
    {
        if call.path.ends_with("/book") {
            *counts.entry(&call.body).or_default() += 1;
        }
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    let mut findings: Vec<String> = repeated
        .map(|(order, count)| format!("`{order}` was sent {count} times"))
        .collect();
    let bookings_made = history
        .plain_servers
        .iter()
        .flat_map(|record| &record.bookings);
    let bookings_made: HashSet<&str> = bookings_made.map(|booking| &*booking.body).collect();
    for record in &history.bookings {
        let mut outcomes = record.attempts.iter().map(|attempt| &attempt.outcome);
        let is_booked = outcomes.any(|outcome| matches!(outcome, BookingOutcome::Booked(_)));
        if is_booked && !bookings_made.contains(&*record.order) {
            findings.push(format!("`{}` was confirmed and not made", record.order));
        }
    }
    findings.sort_unstable();
    findings
}

fn check_leaving_servers(history: &History) -> Vec<String> {
    let Some(change) = &history.leaving_server else {
        return Vec::new();
    };
    let limit_ms = change.accepted_ms + IN_FORCE_MS;
    history
        .runs()
        .filter(|(server, run)| **server == change.name && run.started_ms >= limit_ms)
        .map(|(_, run)| {
            let late_ms = run.started_ms - change.accepted_ms;
            format!(
                "`{}` started {late_ms} ms after the server was leaving",
                run.prompt
            )
        })
        .collect()
}

fn check_broken_connections(history: &History) -> Vec<String> {
    let broken = history.calls().filter_map(|call| match &call.outcome {
        CallOutcome::Broken { cause, .. } => Some((&call.address, &call.prompt, cause)),
        _ => None,
    });
    let attempts = history
        .bookings
        .iter()
        .flat_map(|record| record.attempts.iter().map(move |attempt| (record, attempt)));
    let broken_bookings = attempts.filter_map(|(record, attempt)| match &attempt.outcome {
        BookingOutcome::Broken(cause) => Some((&attempt.address, &record.order, cause)),
        _ => None,
    });
    broken
        .chain(broken_bookings)
        .filter(|(address, ..)| !history.killed_addresses.contains(address))
        .map(|(address, asked, cause)| format!("`{asked}` at {address}: {cause}"))
        .collect()
}
