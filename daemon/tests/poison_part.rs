//! Requests with one part in their prompts that crash the servers that answer them, no two alike.

use std::time::{Duration, Instant};

use mimosabay_standin::fleet::{
    CONTACT_MS, Condition, CrashEnd, CrashTrigger, Disturber, FleetCaller, FleetServer, FleetSite,
    PartSpelling, ReceivedRequest, RestartId, has_part, quarantine_log, start_crashing_site,
};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// First part of the sound prompts and of most others.
const FIRST_PART: u64 = 0x5c1e_07a2;
/// Second part of some sound prompts.
const SOUND_PART: u64 = 0x91bd_3f06;
/// Parts that crash servers.
const POISON_PARTS: [u64; 2] = [0xe440_2b7d, 0xe440_2b7e];
/// Number of shared parts of a long prompt. With the other headers it fills a head of 16,384 bytes.
const LONG_PARTS: usize = 1_150;
/// Place of the part that crashes servers in a long prompt.
const LONG_PLACE: usize = 1_100;
const LONG_POISON: [u64; LONG_PARTS] = long_prompt(POISON_PARTS[0]);
const LONG_SOUND: [u64; LONG_PARTS] = long_prompt(SOUND_PART);

/// Shared parts of the prompts of a test, by identifier.
#[derive(Debug)]
struct Prompts {
    /// Prompts that crash servers.
    poisons: &'static [&'static [u64]],
    sound: [&'static [u64]; 2],
    spelling: PartSpelling,
}

const PROMPTS: Prompts = Prompts {
    poisons: &[&[FIRST_PART, POISON_PARTS[0]]],
    sound: [&[FIRST_PART], &[FIRST_PART, SOUND_PART]],
    spelling: PartSpelling::Short,
};
const SEVERAL_POISONS: Prompts = Prompts {
    poisons: &[
        &[FIRST_PART, POISON_PARTS[0]],
        &[POISON_PARTS[1], SOUND_PART],
    ],
    ..PROMPTS
};
const LONG_PROMPTS: Prompts = Prompts {
    poisons: &[&LONG_POISON],
    sound: [&[FIRST_PART], &LONG_SOUND],
    spelling: PartSpelling::Short,
};

const fn spelled(spelling: PartSpelling) -> Prompts {
    Prompts {
        spelling,
        ..PROMPTS
    }
}

const fn long_prompt(part: u64) -> [u64; LONG_PARTS] {
    let mut parts = [part; LONG_PARTS];
    let mut index = 0;
    while index < LONG_PARTS {
        if index != LONG_PLACE {
            parts[index] = FIRST_PART + index as u64;
        }
        index += 1;
    }
    parts
}

/// Number of crashes after which a part must be known.
const MAX_CRASHES: usize = 5;
/// Number of requests with the part that may still reach servers after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Smallest number of sound requests by which their service is judged.
const MIN_JUDGED: usize = 20;
/// Interval between two poison requests, in milliseconds.
const POISON_INTERVAL_MS: u64 = 150;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Least time for which poison requests are sent, in milliseconds.
const POISON_TIME_MS: u64 = 13_000;
/// Longest time for which poison requests are sent, in milliseconds.
const MAX_POISON_TIME_MS: u64 = 40_000;

/// Path of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// A stream that may be resumed.
    Draft,
    /// A stream that runs at most once.
    DraftOnce,
}

impl Route {
    fn path(self) -> &'static str {
        match self {
            Self::Draft => "/draft/x",
            Self::DraftOnce => "/once/x",
        }
    }
}

/// Guards against sending on requests that share a part with those that crashed five servers.
mod part_that_crashes_servers_is_sent_on {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::AnswerStart::{HalfEvent, Head};
    use mimosabay_standin::fleet::ConnectionEnd::{Broken, InOrder, Silent};
    use mimosabay_standin::fleet::{AnswerStart, Condition, ConnectionEnd, CrashEnd, RestartId};

    use super::{Route, poison_part_reaches_few_servers_after_its_fifth_crash};

    const fn at(start: AnswerStart, connections: ConnectionEnd) -> CrashEnd {
        CrashEnd::AtAnswer { start, connections }
    }

    cases! {
        poison_part_reaches_few_servers_after_its_fifth_crash;
        draft: (Route::Draft, at(HalfEvent, Broken), RestartId::New, Condition::Calm);
        draft_under_the_same_id: (Route::Draft, at(Head, Broken), RestartId::Same, Condition::Calm);
        draft_without_length: (Route::Draft, at(Head, InOrder), RestartId::New, Condition::Calm);
        draft_without_length_inside_event: (Route::Draft, at(HalfEvent, InOrder), RestartId::Same, Condition::Calm);
        draft_at_silent_servers: (Route::Draft, at(HalfEvent, Silent), RestartId::New, Condition::Calm);
        draft_without_head: (Route::Draft, CrashEnd::Close, RestartId::New, Condition::Calm);
        draft_placer_killed: (Route::Draft, at(HalfEvent, Broken), RestartId::New, Condition::PlacerKilledTwice);
        draft_placer_frozen: (Route::Draft, at(HalfEvent, InOrder), RestartId::New, Condition::PlacerFrozenTwice);
        draft_all_restarted: (Route::Draft, at(HalfEvent, Broken), RestartId::New, Condition::AllRestartedTwice);
        draft_store_down: (Route::Draft, at(Head, Broken), RestartId::New, Condition::StoreDown);
        two_drafts: (Route::Draft, at(HalfEvent, Broken), RestartId::New, Condition::SeveralPoisons);
        once: (Route::DraftOnce, at(HalfEvent, Broken), RestartId::Same, Condition::Calm);
        once_without_length: (Route::DraftOnce, at(Head, InOrder), RestartId::New, Condition::Calm);
        once_without_length_inside_event: (Route::DraftOnce, at(HalfEvent, InOrder), RestartId::New, Condition::Calm);
        once_at_silent_servers: (Route::DraftOnce, at(Head, Silent), RestartId::New, Condition::Calm);
        once_placer_killed: (Route::DraftOnce, at(Head, InOrder), RestartId::New, Condition::PlacerKilledTwice);
        once_placer_frozen: (Route::DraftOnce, at(HalfEvent, Broken), RestartId::Same, Condition::PlacerFrozenTwice);
        once_all_restarted: (Route::DraftOnce, at(Head, Broken), RestartId::New, Condition::AllRestartedTwice);
        once_store_down: (Route::DraftOnce, at(HalfEvent, InOrder), RestartId::New, Condition::StoreDown);
        two_once: (Route::DraftOnce, at(HalfEvent, InOrder), RestartId::New, Condition::SeveralPoisons);
    }
}

/// Guards against a part that crashes servers without end, because it stands behind many others.
mod part_behind_many_others_is_sent_on {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::AnswerStart::{HalfEvent, Head};
    use mimosabay_standin::fleet::ConnectionEnd::Broken;
    use mimosabay_standin::fleet::{Condition, CrashEnd, RestartId};

    use super::{LONG_PROMPTS, Route, poison_part_of_prompts_reaches_few_servers};

    const AT_EVENT: CrashEnd = CrashEnd::AtAnswer {
        start: HalfEvent,
        connections: Broken,
    };
    const AT_HEAD: CrashEnd = CrashEnd::AtAnswer {
        start: Head,
        connections: Broken,
    };

    cases! {
        poison_part_of_prompts_reaches_few_servers;
        draft: (&LONG_PROMPTS, Route::Draft, AT_EVENT, RestartId::New, Condition::Calm);
        once: (&LONG_PROMPTS, Route::DraftOnce, AT_HEAD, RestartId::Same, Condition::Calm);
        draft_placer_killed: (&LONG_PROMPTS, Route::Draft, AT_EVENT, RestartId::New, Condition::PlacerKilledTwice);
        draft_all_restarted: (&LONG_PROMPTS, Route::Draft, AT_EVENT, RestartId::New, Condition::AllRestartedTwice);
    }
}

/// Guards against a part that crashes servers without end, because an identifier in the prompt is larger than 64
/// bits, or is spelled in several ways.
mod part_beside_odd_identifiers_is_sent_on {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::AnswerStart::HalfEvent;
    use mimosabay_standin::fleet::ConnectionEnd::Broken;
    use mimosabay_standin::fleet::{Condition, CrashEnd, PartSpelling, RestartId};

    use super::{Prompts, Route, poison_part_of_prompts_reaches_few_servers, spelled};

    const AT_EVENT: CrashEnd = CrashEnd::AtAnswer {
        start: HalfEvent,
        connections: Broken,
    };
    const LONG_OWN: Prompts = spelled(PartSpelling::LongOwn);
    const LONG: Prompts = spelled(PartSpelling::Long);
    const MIXED: Prompts = spelled(PartSpelling::Mixed);

    cases! {
        poison_part_of_prompts_reaches_few_servers;
        long_own: (&LONG_OWN, Route::Draft, AT_EVENT, RestartId::New, Condition::Calm);
        long_own_once: (&LONG_OWN, Route::DraftOnce, AT_EVENT, RestartId::Same, Condition::Calm);
        long: (&LONG, Route::Draft, AT_EVENT, RestartId::New, Condition::Calm);
        long_placer_killed: (&LONG, Route::Draft, AT_EVENT, RestartId::New, Condition::PlacerKilledTwice);
        mixed: (&MIXED, Route::DraftOnce, AT_EVENT, RestartId::New, Condition::Calm);
    }
}

fn poison_part_reaches_few_servers_after_its_fifth_crash(
    route: Route,
    end: CrashEnd,
    restart: RestartId,
    condition: Condition,
) {
    let prompts = match condition {
        Condition::SeveralPoisons => &SEVERAL_POISONS,
        _ => &PROMPTS,
    };
    poison_part_of_prompts_reaches_few_servers(prompts, route, end, restart, condition);
}

fn poison_part_of_prompts_reaches_few_servers(
    prompts: &'static Prompts,
    route: Route,
    end: CrashEnd,
    restart: RestartId,
    condition: Condition,
) {
    block_on(async {
        let trigger = CrashTrigger::PromptPart(&POISON_PARTS);
        let mut site = start_crashing_site(trigger, end, restart).await;
        let mut load = Load::new(route, prompts);
        let mut disturber = Disturber::start(condition, &site);
        while load.is_needed(&site, disturber.advance()) {
            load.send(&site, &disturber);
            disturber.disturb(&mut site).await;
            sleep(Duration::from_millis(POISON_INTERVAL_MS)).await;
        }
        load.finish().await;
        check(&site, &load);
        check_sound_requests(&site, &load, &disturber.live_instances(&site)).await;
    });
}

/// Sends poison and sound requests to the instances in turn, and does not wait for the answers.
struct Load {
    route: Route,
    prompts: &'static Prompts,
    number: usize,
    poison: JoinSet<()>,
    sound: JoinSet<SoundRequest>,
    /// When the sound requests were sent, in order.
    sound_sent: Vec<Instant>,
    /// The sound requests that have ended.
    ended: Vec<SoundRequest>,
}

/// A sound request that has ended.
struct SoundRequest {
    sent: Instant,
    is_answered: bool,
}

impl Load {
    fn new(route: Route, prompts: &'static Prompts) -> Self {
        Self {
            route,
            prompts,
            number: 0,
            poison: JoinSet::new(),
            sound: JoinSet::new(),
            sound_sent: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Whether more requests are needed to judge the service of the sound ones.
    fn is_needed(&self, site: &FleetSite, now_ms: u64) -> bool {
        let judged_from = judged_from(site, self.prompts.poisons.len());
        let judged = self.sound_sent.iter().filter(|at| **at >= judged_from);
        now_ms < POISON_TIME_MS || (judged.count() < MIN_JUDGED && now_ms < MAX_POISON_TIME_MS)
    }

    fn send(&mut self, site: &FleetSite, disturber: &Disturber) {
        self.number += 1;
        let instances = site.instances.len();
        for (index, parts) in self.prompts.poisons.iter().enumerate() {
            let instance = (self.number + index) % instances;
            if disturber.is_in_contact(instance) {
                self.send_poison(&site.caller(instance), parts, index);
            }
        }
        let instance = self.number % instances;
        if disturber.is_in_contact(instance) {
            self.send_sound(&site.caller(instance));
        }
    }

    fn send_poison(&mut self, caller: &FleetCaller, parts: &'static [u64], index: usize) {
        let caller = self.caller(caller, parts);
        let path = self.route.path();
        let id = format!("poison-{index}-{}", self.number);
        self.poison.spawn(async move {
            // The answer does not matter, as only the arrivals at servers are checked.
            let _ = caller.generate(path, &id, "").await;
        });
    }

    fn send_sound(&mut self, caller: &FleetCaller) {
        let path = self.route.path();
        for (index, parts) in self.prompts.sound.into_iter().enumerate() {
            let caller = self.caller(caller, parts);
            let id = format!("sound-{index}-{}", self.number);
            let sent = Instant::now();
            self.sound_sent.push(sent);
            self.sound.spawn(async move {
                SoundRequest {
                    sent,
                    is_answered: is_answered(&caller, path, &id).await,
                }
            });
        }
    }

    fn caller(&self, caller: &FleetCaller, parts: &'static [u64]) -> FleetCaller {
        let caller = caller.clone().deadline_ms(DEADLINE_MS);
        let caller = caller.part_spelling(self.prompts.spelling);
        caller.prompt_parts(parts)
    }

    async fn finish(&mut self) {
        while self.poison.join_next().await.is_some() {}
        while let Some(ended) = self.sound.join_next().await {
            self.ended.push(ended.expect("a request ends"));
        }
    }
}

/// Sends a request; returns whether its answer is complete.
async fn is_answered(caller: &FleetCaller, path: &str, id: &str) -> bool {
    let answer = caller.generate(path, id, "").await;
    answer.is_ok_and(|it| it.status == 200 && it.event_ids() == [1, 2, 3, 4, 5, 6])
}

/// Returns the times at which requests with a part reached servers, in order.
fn arrivals(site: &FleetSite, part: u64) -> Vec<Instant> {
    let servers = site.engines.iter();
    let requests = servers.flat_map(|server| arrivals_at(server, part));
    let mut arrivals: Vec<Instant> = requests.collect();
    arrivals.sort_unstable();
    arrivals
}

fn arrivals_at(server: &FleetServer, part: u64) -> Vec<Instant> {
    let requests = server.requests().into_iter();
    let requests = requests.filter(|it| it.has_run && is_with_part(it, part));
    requests.map(|it| it.arrived).collect()
}

fn is_with_part(request: &ReceivedRequest, part: u64) -> bool {
    has_part(request.header("x-prompt-prefix").unwrap_or_default(), part)
}

/// Returns the times at which servers ended while they ran requests with a part, in order.
fn crashes(site: &FleetSite, part: u64) -> Vec<Instant> {
    let mut crashes = Vec::new();
    for server in &site.engines {
        let arrivals = arrivals_at(server, part);
        let mut previous = None;
        for crash in server.crash_times() {
            let ran = |at: &Instant| *at <= crash && previous.is_none_or(|it| *at > it);
            if arrivals.iter().any(ran) {
                crashes.push(crash);
            }
            previous = Some(crash);
        }
    }
    crashes.sort_unstable();
    crashes
}

/// Returns when the last part crashed its fifth server, or its last one if there are fewer.
fn known_crash(site: &FleetSite, poisons: usize) -> Option<Instant> {
    let parts = POISON_PARTS.iter().take(poisons);
    let crashes = parts.map(|part| crashes(site, *part));
    let known = crashes.map(|it| it.get(MAX_CRASHES - 1).or(it.last()).copied());
    known.max().flatten()
}

/// Returns from when on the service of sound requests is judged.
fn judged_from(site: &FleetSite, poisons: usize) -> Instant {
    let known = known_crash(site, poisons).unwrap_or_else(Instant::now);
    known + Duration::from_millis(2 * CONTACT_MS)
}

/// Checks how often each part reached servers once the instances must have known its fifth crash, and
/// that sound requests were served from then on.
fn check(site: &FleetSite, load: &Load) {
    let judged_from = judged_from(site, load.prompts.poisons.len());
    let judged = load.ended.iter().filter(|it| it.sent >= judged_from);
    let judged: Vec<bool> = judged.map(|it| it.is_answered).collect();
    let answered = judged.iter().filter(|is_answered| **is_answered).count();
    let sound = format!("{answered} of {} sound requests answered", judged.len());
    for part in POISON_PARTS.iter().take(load.prompts.poisons.len()) {
        let arrivals = arrivals(site, *part);
        let crashes = crashes(site, *part);
        assert!(crashes.len() >= 2, "part {part:x} crashed too few servers");
        let Some(fifth) = crashes.get(MAX_CRASHES - 1) else {
            continue;
        };
        let known_from = *fifth + Duration::from_millis(CONTACT_MS);
        let late = arrivals.iter().filter(|at| **at > known_from).count();
        let times: Vec<Duration> = arrivals.iter().map(|at| *at - arrivals[0]).collect();
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "{late} late arrivals of {} of part {part:x}, {} crashes; {sound}: {times:?}\n{}",
            arrivals.len(),
            crashes.len(),
            quarantine_log(site)
        );
    }
    assert!(judged.len() >= MIN_JUDGED, "too few: {sound}");
    assert!(
        answered * 2 >= judged.len(),
        "{sound}\n{}",
        quarantine_log(site)
    );
}

async fn check_sound_requests(site: &FleetSite, load: &Load, instances: &[usize]) {
    for index in instances {
        for parts in load.prompts.sound {
            wait_for("sound requests are answered", async || {
                let caller = load.caller(&site.caller(*index), parts);
                is_answered(&caller, load.route.path(), "sound")
                    .await
                    .then_some(())
            })
            .await;
        }
    }
}
