//! Compares the answers that callers received with the requests that servers received.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use mimosabay_http::Category;

use super::excuse::{Excuses, ServerRun};
use super::injector::DrainPeriod;
use super::load::SentRequest;
use super::{STREAM_EVENTS, SoakMode, elapsed_ms};
use crate::fleet::{FleetReply, FleetServer, FleetSite, ORGANISATION, ReceivedRequest};

/// Time after which a leaving server receives no new requests, in milliseconds.
const DRAIN_EFFECT_MS: u64 = 2_000;
/// Time after the sending of a request from which an instance has read it, in milliseconds.
const LOSS_SLACK_MS: u64 = 200;
/// Statuses that report that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Statuses that report that a request is not allowed. All requests of a soak are allowed.
const DENIED: [u16; 4] = [400, 401, 403, 404];
/// Statuses that report that a request may have run.
const MAY_HAVE_RUN: [u16; 2] = [502, 504];

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the violated guarantee.
    pub guarantee: &'static str,
    /// Evidence of the violation.
    pub details: String,
}

impl Violation {
    pub(super) fn new(guarantee: &'static str, details: impl Into<String>) -> Self {
        let details = details.into();
        Self { guarantee, details }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.guarantee, self.details)
    }
}

/// Returns all violations, including those in orders to the servers.
pub(super) fn check_soak(
    site: &FleetSite,
    sent_requests: &[SentRequest],
    drains: &[DrainPeriod],
    excuses: &Excuses<'_>,
    started: Instant,
) -> Vec<Violation> {
    let servers = || site.engines.iter().chain(&site.plain_servers);
    let mut runs: HashMap<String, Vec<ServerRun>> = HashMap::new();
    for (server, received) in servers().map(FleetServer::requests).enumerate() {
        for request in received.into_iter().filter(|request| request.has_run) {
            let arrived_ms = elapsed_ms(started, request.arrived);
            let run = ServerRun { server, arrived_ms };
            runs.entry(request.id).or_default().push(run);
        }
    }
    let mut violations = Vec::new();
    for sent in sent_requests {
        let runs = runs.get(&sent.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_request(sent, runs, excuses));
    }
    for server in servers() {
        violations.extend(check_server_requests(server, drains));
        violations.extend(check_orders(server));
    }
    violations
}

/// Checks a request and its answer, given its runs at servers.
fn check_request(
    sent: &SentRequest,
    server_runs: &[ServerRun],
    excuses: &Excuses<'_>,
) -> Option<Violation> {
    let runs = server_runs.len();
    let may_be_cut =
        || excuses.options.mode != SoakMode::Planned || excuses.allow_cut(sent, server_runs);
    let violation = |guarantee, observation: &str| {
        let SentRequest {
            id, kind, instance, ..
        } = sent;
        let SentRequest {
            sent_ms, ended_ms, ..
        } = sent;
        let details = format!(
            "{id} ({kind:?}, instance {instance}, {runs} runs, {sent_ms} to {ended_ms} ms) {observation}"
        );
        Some(Violation::new(guarantee, details))
    };
    if sent.kind.is_once() && runs > 1 {
        return violation("at most once", "ran more than once");
    }
    match &sent.reply {
        Err(Category::Interrupted | Category::Timeout) if runs > 0 && !may_be_cut() => {
            violation("planned work", "was cut though a server ran it")
        }
        Err(Category::Interrupted | Category::Timeout)
            if sent.ended_ms - sent.sent_ms > LOSS_SLACK_MS && !may_be_cut() =>
        {
            violation("planned work", "was cut though an instance had read it")
        }
        Ok(reply) if DENIED.contains(&reply.status) => violation(
            "allowed requests",
            &format!("was answered {}", reply.status),
        ),
        Ok(reply) if NOT_RUN.contains(&reply.status) && sent.kind.is_once() && runs > 0 => {
            violation("true refusals", &format!("was answered {}", reply.status))
        }
        Ok(reply) if MAY_HAVE_RUN.contains(&reply.status) && !may_be_cut() => {
            violation("planned work", &format!("was answered {}", reply.status))
        }
        Ok(reply) if sent.is_answered() => {
            let wrong = find_wrong_answer(sent, reply, runs)?;
            violation("whole answers", &wrong)
        }
        _ => None,
    }
}

/// Returns what is wrong with a successful answer, `None` if it is correct.
fn find_wrong_answer(sent: &SentRequest, reply: &FleetReply, runs: usize) -> Option<String> {
    if runs == 0 {
        return Some("was answered though no server ran it".to_owned());
    }
    if reply.header("x-attempt-id") != sent.id {
        let other = reply.header("x-attempt-id");
        return Some(format!("has the answer to {other:?}"));
    }
    let seal = reply.header("x-server-seal");
    if seal.is_empty() {
        return Some("has an answer without a seal".to_owned());
    }
    if sent.kind.is_stream() {
        return find_wrong_stream(sent, reply);
    }
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let server = body["server"].as_str().unwrap_or_default();
    (seal != format!("seal-{server}")).then(|| format!("has the body of {server:?} under {seal}"))
}

/// Returns what is wrong with a complete stream: its events, or their software versions.
fn find_wrong_stream(sent: &SentRequest, reply: &FleetReply) -> Option<String> {
    let taken_up = sent.taken_up.as_ref();
    let after = taken_up.map_or(0, |stream| stream.last_event);
    let events = reply.event_ids();
    if !events.iter().copied().eq(after + 1..=STREAM_EVENTS) {
        return Some(format!("has events {events:?} after {after}"));
    }
    let mut versions = reply.software_versions();
    if let Some(stream) = taken_up {
        versions.extend(stream.versions.iter().cloned());
    }
    (versions.len() > 1).then(|| {
        let began_as = taken_up.map(|stream| &stream.began_as);
        format!("has events of the software versions {versions:?}, began as {began_as:?}")
    })
}

fn check_server_requests(server: &FleetServer, drains: &[DrainPeriod]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in server.requests() {
        let id = &request.id;
        if request.header("authorization").is_some() {
            let details = format!("{id} reached {} with its key", server.id);
            violations.push(Violation::new("keys stay here", details));
        }
        if request.header("x-tenant") != Some(ORGANISATION) {
            let details = format!("{id} reached {} for another organisation", server.id);
            violations.push(Violation::new("right organisation", details));
        }
        if drains.iter().any(|drain| is_late(&request, server, drain)) {
            let details = format!("{id} reached {} while it was leaving", server.id);
            violations.push(Violation::new("leaving servers", details));
        }
    }
    violations
}

fn is_late(request: &ReceivedRequest, server: &FleetServer, drain: &DrainPeriod) -> bool {
    drain.is_observable
        && *drain.server == *server.id
        && request.arrived > drain.since + Duration::from_millis(DRAIN_EFFECT_MS)
        && request.arrived < drain.until
}

fn check_orders(server: &FleetServer) -> Vec<Violation> {
    let wrong = server.order_violations().into_iter();
    wrong
        .map(|order| Violation::new("orders", format!("{}: {order}", server.id)))
        .collect()
}
