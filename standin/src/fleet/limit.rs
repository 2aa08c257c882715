//! Limits that a server states in its answers, and the check that they are kept.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};

use super::poison::CONTACT_MS;
use super::received::ReceivedRequest;
use super::server::FleetServer;

/// Length of the spans in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// Factor by which a span may exceed the limit.
const OVERAGE: f64 = 1.5;
/// Number of requests by which a span may exceed it beside that.
const SLACK: f64 = 5.0;

/// A limit that a server stated from some time on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedLimit {
    since: Instant,
    /// `None` if it stated no limit.
    requests_per_s: Option<f64>,
}

impl FleetServer {
    /// States a limit in the answers from now on, in requests a second; none if it is `None`.
    pub fn state_limit(&self, requests_per_s: Option<f64>) {
        let stated = StatedLimit {
            since: Instant::now(),
            requests_per_s,
        };
        self.with_state(|state| state.limits.push(stated));
    }

    /// Adds the limit to the headers of an answer.
    pub(super) fn add_limit(&self, headers: &mut HeaderMap) {
        let stated = self.with_state(|state| state.limits.last().copied());
        let limit = stated.and_then(|it| it.requests_per_s);
        let text = limit.map(|limit| limit.to_string());
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert("server-limit", value);
        }
    }

    /// Returns the spans in which the server received more than its limit allows, one for each
    /// limit, from [`CONTACT_MS`] after it was stated until the next statement. Only some requests are
    /// counted.
    pub fn limit_violations(&self, is_counted: impl Fn(&ReceivedRequest) -> bool) -> Vec<String> {
        let limits = self.with_state(|state| state.limits.clone());
        let requests = self.requests();
        let counted = requests.iter().filter(|request| is_counted(request));
        let arrivals: Vec<Instant> = counted.map(|request| request.arrived).collect();
        let ends = limits.iter().skip(1).map(|next| Some(next.since));
        let periods = limits.iter().zip(ends.chain([None]));
        let violations = periods.filter_map(|(stated, end)| {
            let allowed = stated.requests_per_s? * OVERAGE * SPAN_MS as f64 / 1_000.0 + SLACK;
            let from = stated.since + Duration::from_millis(CONTACT_MS);
            let is_counted = |at: &&Instant| **at >= from && end.is_none_or(|end| **at < end);
            let arrivals: Vec<Instant> = arrivals.iter().filter(is_counted).copied().collect();
            let most = most_in_a_span(&arrivals);
            (most as f64 > allowed).then(|| {
                let server = &self.id;
                format!("{server} received {most} requests in {SPAN_MS} ms, {allowed} allowed")
            })
        });
        violations.collect()
    }
}

/// Returns the largest number of arrivals, in order, within one span.
fn most_in_a_span(arrivals: &[Instant]) -> usize {
    let span = Duration::from_millis(SPAN_MS);
    let count_from = |first: usize| {
        let end = arrivals[first] + span;
        arrivals[first..].iter().filter(|at| **at < end).count()
    };
    (0..arrivals.len()).map(count_from).max().unwrap_or(0)
}
