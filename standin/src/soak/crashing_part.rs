//! Requests with a part in their prompts that crashes servers: sends them, and checks how many reach
//! servers.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::checker::Violation;
use super::elapsed_ms;
use super::load::{FIRST_PART, SECOND_PARTS, SentRequest};
use super::plan::{Fault, Strike};
use crate::fleet::{
    AnswerStart, CONTACT_MS, ConnectionEnd, CrashEnd, CrashPlan, CrashTrigger, FleetCaller,
    FleetServer, FleetSite, RestartId,
};

/// The part that crashes servers, which no sound prompt has.
const CRASHING_PART: u64 = 0xe440_2b7d;
/// Shared parts of the prompts with it.
const PROMPTS: [&[u64]; 3] = [
    &[FIRST_PART, CRASHING_PART],
    &[CRASHING_PART, SECOND_PARTS[0]],
    &[FIRST_PART, SECOND_PARTS[1], CRASHING_PART],
];
/// Beginning of the ids of requests with the part; the index of the instance follows.
const ID_PREFIX: &str = "crash-";
/// Time between two requests to one instance, in milliseconds.
const INTERVAL_MS: u64 = 300;
/// Time from a crash to the restart, in milliseconds.
const DOWN_MS: u64 = 1_200;
/// Time from a crash until the store removes the entry of the server, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 3_000;
/// Number of crashes after which the part must be known.
const MAX_CRASHES: usize = 5;
/// Number of requests with the part that may reach servers after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Smallest number of sound requests by which their service is judged.
const MIN_JUDGED: usize = 20;

/// Makes requests with the part crash the engines of a site, and sends such requests to all
/// instances until the returned tasks are dropped.
pub(super) fn start_crashing(site: &FleetSite, target: usize) -> JoinSet<()> {
    for engine in &site.engines {
        engine.crash_on(crash_plan(target));
    }
    let mut senders = JoinSet::new();
    for instance in 0..site.instances.len() {
        senders.spawn(send_requests(site.caller(instance), instance));
    }
    senders
}

fn crash_plan(target: usize) -> CrashPlan {
    let starts = [AnswerStart::Head, AnswerStart::HalfEvent];
    let ends = [ConnectionEnd::Broken, ConnectionEnd::InOrder];
    let restarts = [RestartId::New, RestartId::Same];
    CrashPlan {
        trigger: CrashTrigger::PromptPart(&[CRASHING_PART]),
        end: CrashEnd::AtAnswer {
            start: starts[target % 2],
            connections: ends[target / 2 % 2],
        },
        restart: restarts[target / 4 % 2],
        down_ms: DOWN_MS,
        entry_expiry_ms: ENTRY_EXPIRY_MS,
    }
}

async fn send_requests(caller: FleetCaller, instance: usize) {
    let mut requests = JoinSet::new();
    for number in 0_usize.. {
        let caller = caller.clone().prompt_parts(PROMPTS[number % PROMPTS.len()]);
        let path = ["/draft/x", "/once/x"][number % 2];
        requests.spawn(async move {
            let id = format!("{ID_PREFIX}{instance}-{number}");
            // Only the arrivals at servers are checked.
            let _ = caller.generate(path, &id, "").await;
        });
        sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

/// Checks the requests with the part, and the sound ones beside them.
pub(super) struct CrashingPartCheck<'a> {
    /// All injected faults.
    pub(super) injections: &'a [Strike],
    /// Number of instances.
    pub(super) instances: usize,
    /// Start of the soak.
    pub(super) started: Instant,
}

impl CrashingPartCheck<'_> {
    /// Returns the violations, none if no part crashes servers.
    pub(super) fn run(&self, site: &FleetSite, sent: &[SentRequest]) -> Vec<Violation> {
        let mut crashes: Vec<Instant> = site
            .engines
            .iter()
            .flat_map(FleetServer::crash_times)
            .collect();
        crashes.sort_unstable();
        let known = crashes.get(MAX_CRASHES - 1).or(crashes.last());
        let Some(known_ms) = known.map(|at| elapsed_ms(self.started, *at)) else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        if crashes.len() >= MAX_CRASHES {
            violations.extend(self.check_arrivals(site, known_ms, crashes.len()));
        }
        violations.extend(self.check_sound_requests(sent, known_ms));
        violations
    }

    fn check_arrivals(&self, site: &FleetSite, known_ms: u64, crashes: usize) -> Option<Violation> {
        let requests = site.engines.iter().flat_map(FleetServer::requests);
        let arrivals = requests.filter(|request| request.has_run).filter_map(|it| {
            let instance = it.id.strip_prefix(ID_PREFIX)?.split('-').next()?.parse();
            let instance: usize = instance.expect("the id names an instance");
            Some((elapsed_ms(self.started, it.arrived), instance, it.id))
        });
        let mut late: Vec<(u64, usize, String)> = arrivals
            .filter(|(at_ms, instance, _)| {
                *at_ms > known_ms + CONTACT_MS && self.is_in_contact(*instance, *at_ms)
            })
            .collect();
        late.sort_unstable();
        let late: Vec<String> = late
            .into_iter()
            .map(|(at_ms, _, id)| format!("{id} at {at_ms} ms"))
            .collect();
        (late.len() > MAX_LATE_ARRIVALS).then(|| {
            let details = format!(
                "{} requests with the part reached servers later than {CONTACT_MS} ms after the \
                 fifth of {crashes} crashes, which was at {known_ms} ms: {late:?}",
                late.len()
            );
            Violation::new("crashing part", details)
        })
    }

    /// Checks that at least half of the sound streams are answered that begin later than twice the
    /// contact time, while requests with the part still come.
    fn check_sound_requests(&self, sent: &[SentRequest], known_ms: u64) -> Option<Violation> {
        let from_ms = known_ms + 2 * CONTACT_MS;
        let until_ms = self.end_ms();
        let judged = sent.iter().filter(|request| {
            request.kind.is_stream()
                && (from_ms..until_ms).contains(&request.sent_ms)
                && self.is_in_contact(request.instance, request.sent_ms)
        });
        let judged: Vec<bool> = judged.map(SentRequest::is_answered).collect();
        let answered = judged.iter().filter(|is_answered| **is_answered).count();
        (judged.len() >= MIN_JUDGED && 2 * answered < judged.len()).then(|| {
            let details = format!(
                "{answered} of {} sound streams answered from {from_ms} ms on",
                judged.len()
            );
            Violation::new("sound requests", details)
        })
    }

    /// Returns when the last request with the part was sent, in milliseconds.
    fn end_ms(&self) -> u64 {
        let parts = self.injections.iter();
        let parts = parts.filter(|it| it.fault == Fault::PromptPartCrashesServers);
        parts.map(Strike::end_ms).max().unwrap_or_default()
    }

    /// Returns whether nothing disturbed an instance within the contact time before `at_ms`.
    fn is_in_contact(&self, instance: usize, at_ms: u64) -> bool {
        let disturbs = |strike: &&Strike| match strike.fault {
            Fault::Kill
            | Fault::Freeze
            | Fault::Stop
            | Fault::StoreLinkCut
            | Fault::StoreLinkSilent => strike.target % self.instances == instance,
            Fault::StoreConnectionsSilent
            | Fault::StoreDown
            | Fault::StoreLosesAnswers
            | Fault::StoreRefusesWrites
            | Fault::StoreExecutesLate
            | Fault::StoreForgets
            | Fault::ServerLinkCut
            | Fault::ServerLinkSilent => true,
            Fault::HangUp
            | Fault::ServerCrash
            | Fault::ServerLosesAnswers
            | Fault::ServerBreaks
            | Fault::ServerRejects
            | Fault::ServerFails
            | Fault::ServerAnswersAnother
            | Fault::ServerHangs
            | Fault::ServerDrains
            | Fault::ServerPauses
            | Fault::ServerStatesLimit
            | Fault::PromptPartCrashesServers
            | Fault::ServerLinksLost
            | Fault::StoreReturnsOlder
            | Fault::Configuration
            | Fault::ZoneEvacuated => false,
        };
        let mut disturbances = self.injections.iter().filter(disturbs);
        disturbances.all(|it| at_ms < it.at_ms || at_ms > it.end_ms() + CONTACT_MS)
    }
}
