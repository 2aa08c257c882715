//! Chooses the faults of a soak, and their times and targets, from a seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::injector::STOP_MS;
use super::{SoakMode, SoakOptions};

/// Range of the time between the beginnings of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..1_400;
/// The same beside a part that crashes servers, in milliseconds.
const SPARSE_GAP_MS: std::ops::Range<u64> = 1_500..4_500;
/// Time before the first request with a part that crashes servers, in milliseconds.
const CRASHING_PART_AFTER_MS: u64 = 500;
/// Range of the duration of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..3_500;
/// Range of the time between the beginnings of two pauses of servers, in milliseconds.
const SERVER_PAUSE_GAP_MS: std::ops::Range<u64> = 300..2_400;
/// Range of the duration of a server's pause, in milliseconds.
const SERVER_PAUSE_MS: std::ops::RangeInclusive<u64> = 800..=1_900;
/// Range of the time between the beginnings of two limits of servers, in milliseconds.
const SERVER_LIMIT_GAP_MS: std::ops::Range<u64> = 500..4_000;
/// Range of the duration of a server's limit, in milliseconds.
const SERVER_LIMIT_MS: std::ops::Range<u64> = 4_000..9_000;
/// Distinguishes the random numbers of the limits from those of the other faults.
const SERVER_LIMIT_SEED: u64 = 0x6c69_6d69_7400_0000;
/// Range of the time between the beginnings of two losses of links, in milliseconds.
const LINKS_LOST_GAP_MS: std::ops::Range<u64> = 800..4_000;
/// Range of the time between the beginnings of two copies from which the store comes back, in milliseconds.
const STORE_RETURNS_GAP_MS: std::ops::Range<u64> = 1_500..5_000;
/// Distinguishes the random numbers of the returns from older copies from those of the other faults.
const STORE_RETURNS_SEED: u64 = 0x6f6c_6465_7200_0000;
/// Range of the time between the beginnings of two refusals or two delays of writes, in milliseconds.
const STORE_WRITES_GAP_MS: std::ops::Range<u64> = 1_000..6_000;
/// Distinguishes the random numbers of the refused writes from those of the other faults.
const REFUSED_WRITES_SEED: u64 = 0x7265_6675_7365_0000;
/// Distinguishes the random numbers of the late writes from those of the other faults.
const LATE_WRITES_SEED: u64 = 0x6c61_7465_0000_0000;
/// Distinguishes the random numbers of the losses of links from those of the other faults.
const LINKS_LOST_SEED: u64 = 0x6c69_6e6b_7300_0000;
/// Range of the time between two evacuations, in milliseconds. An evacuation ends before the next one.
const EVACUATION_GAP_MS: std::ops::Range<u64> = 9_500..11_000;
/// Range of the duration of an evacuation, in milliseconds.
const EVACUATION_MS: std::ops::Range<u64> = 6_500..9_000;
/// Distinguishes the random numbers of the evacuations from those of the other faults.
const EVACUATION_SEED: u64 = 0x6576_6163_0000_0000;
/// Distinguishes the random numbers of the pauses from those of the other faults.
const SERVER_PAUSE_SEED: u64 = 0x7061_7573_6500_0000;

/// A fault or planned work. Reports print the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of an instance is killed, and started again at the end.
    Kill,
    /// The process of an instance is suspended.
    Freeze,
    /// The process of an instance is stopped gracefully, and started again at the end.
    Stop,
    /// The process of an instance is told to reload its settings.
    HangUp,
    /// The link from an instance to the store is cut.
    StoreLinkCut,
    /// The link from an instance to the store is silent.
    StoreLinkSilent,
    /// Open connections of all instances to the store are permanently silenced.
    StoreConnectionsSilent,
    /// The store refuses all calls.
    StoreDown,
    /// Writes to the store take effect, but their answers are lost.
    StoreLosesAnswers,
    /// The store refuses writes and answers reads.
    StoreRefusesWrites,
    /// The store does not answer writes, and executes them after the end, if their conditions still hold.
    StoreExecutesLate,
    /// The store compacts its history of changes.
    StoreForgets,
    /// The store comes back at the end from a copy that it made at the beginning.
    StoreReturnsOlder,
    /// The link to a server is cut.
    ServerLinkCut,
    /// The link to a server is silent.
    ServerLinkSilent,
    /// A server crashes at its next request and loses its state.
    ServerCrash,
    /// A server runs requests, but their answers are lost.
    ServerLosesAnswers,
    /// A server closes streams before their end.
    ServerBreaks,
    /// A server refuses requests.
    ServerRejects,
    /// A server fails requests.
    ServerFails,
    /// A server labels its answers with the ids of other requests.
    ServerAnswersAnother,
    /// A server does not answer its next request.
    ServerHangs,
    /// A server registers as leaving, and as ready again at the end.
    ServerDrains,
    /// A sound server neither reads nor writes, and goes on where it was at the end.
    ServerPauses,
    /// A server states a limit in its answers, and lifts it at the end.
    ServerStatesLimit,
    /// Requests with one part in their prompts, no two alike, crash each engine that begins to answer
    /// them.
    PromptPartCrashesServers,
    /// An instance loses its links to all servers.
    ServerLinksLost,
    /// A new version of the configuration is published.
    Configuration,
    /// Operators evacuate the availability zone of each second server, and take it back at the end. Its
    /// engines say that they are cold then.
    ZoneEvacuated,
}

/// Planned work, which must not make a request fail.
const PLANNED: [Fault; 3] = [Fault::Stop, Fault::HangUp, Fault::Configuration];

/// Faults of the first series. A change of this list changes the faults of every seed.
const ALL: [Fault; 21] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::HangUp,
    Fault::StoreLinkCut,
    Fault::StoreLinkSilent,
    Fault::StoreConnectionsSilent,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::StoreForgets,
    Fault::ServerLinkCut,
    Fault::ServerLinkSilent,
    Fault::ServerCrash,
    Fault::ServerLosesAnswers,
    Fault::ServerBreaks,
    Fault::ServerRejects,
    Fault::ServerFails,
    Fault::ServerAnswersAnother,
    Fault::ServerHangs,
    Fault::ServerDrains,
    Fault::Configuration,
];

/// Faults beside a part that crashes servers: those of single instances, and some of servers.
const SPARSE: [Fault; 10] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::HangUp,
    Fault::StoreLinkCut,
    Fault::StoreLinkSilent,
    Fault::StoreDown,
    Fault::ServerRejects,
    Fault::ServerFails,
    Fault::Configuration,
];

/// The injection of one fault at one time. Reports print the names of the type and its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The fault.
    pub fault: Fault,
    /// Begin of the fault, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
    /// Index of the instance or server, modulo their number.
    pub target: usize,
}

impl Strike {
    /// Returns the end of the fault, in milliseconds from the start of the load.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

/// Returns the faults of a soak, in the order in which they begin.
///
/// They come in series, which overlap: pauses of sound servers, limits that servers state, losses of links,
/// returns of the store from older copies, refused and late writes, evacuations of a zone, and all others. Pauses and limits excuse no failure, so that they are also part of the planned work.
pub fn plan_faults(options: &SoakOptions) -> Vec<Strike> {
    let mut injections = plan_series(options);
    injections.extend(plan_server_pauses(options));
    injections.extend(plan_server_limits(options));
    if options.mode.is_release() {
        injections.extend(plan_lost_links(options));
        injections.extend(plan_store_returns(options));
        injections.extend(plan_store_writes(options));
    }
    if options.evacuates_zones() {
        injections.extend(plan_evacuations(options));
    }
    if options.mode == SoakMode::CrashingPart {
        injections.push(plan_crashing_part(options));
    }
    injections.sort_by_key(|injection| injection.at_ms);
    injections
}

/// Returns the faults and the planned work of all kinds but pauses.
fn plan_series(options: &SoakOptions) -> Vec<Strike> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let (faults, gap_ms): (&[Fault], _) = match options.mode {
        SoakMode::Mixed | SoakMode::Release => (&ALL, GAP_MS),
        SoakMode::Planned => (&PLANNED, GAP_MS),
        SoakMode::CrashingPart => (&SPARSE, SPARSE_GAP_MS),
    };
    let mut injections = Vec::new();
    let mut at_ms = random.random_range(gap_ms.clone());
    while at_ms < options.duration_ms {
        let fault = *faults.choose(&mut random).expect("there are faults");
        let for_ms = random.random_range(LENGTH_MS);
        injections.push(Strike {
            fault,
            at_ms,
            for_ms: if fault == Fault::Stop {
                STOP_MS
            } else {
                for_ms
            },
            target: random.random_range(0..64),
        });
        at_ms += random.random_range(gap_ms.clone());
    }
    injections
}

/// Returns a part that crashes servers for the rest of the soak; the target chooses how they end.
fn plan_crashing_part(options: &SoakOptions) -> Strike {
    Strike {
        fault: Fault::PromptPartCrashesServers,
        at_ms: CRASHING_PART_AFTER_MS,
        for_ms: options.duration_ms,
        target: usize::try_from(options.seed).expect("a seed fits"),
    }
}

fn plan_server_pauses(options: &SoakOptions) -> Vec<Strike> {
    plan_server_series(
        options,
        Fault::ServerPauses,
        SERVER_PAUSE_SEED,
        SERVER_PAUSE_GAP_MS,
        |random| random.random_range(SERVER_PAUSE_MS),
    )
}

fn plan_server_limits(options: &SoakOptions) -> Vec<Strike> {
    plan_server_series(
        options,
        Fault::ServerStatesLimit,
        SERVER_LIMIT_SEED,
        SERVER_LIMIT_GAP_MS,
        |random| random.random_range(SERVER_LIMIT_MS),
    )
}

fn plan_lost_links(options: &SoakOptions) -> Vec<Strike> {
    plan_server_series(
        options,
        Fault::ServerLinksLost,
        LINKS_LOST_SEED,
        LINKS_LOST_GAP_MS,
        |random| random.random_range(LENGTH_MS),
    )
}

fn plan_store_returns(options: &SoakOptions) -> Vec<Strike> {
    plan_server_series(
        options,
        Fault::StoreReturnsOlder,
        STORE_RETURNS_SEED,
        STORE_RETURNS_GAP_MS,
        |random| random.random_range(LENGTH_MS),
    )
}

/// Returns the times at which the store refuses writes, and those at which it executes them late.
fn plan_store_writes(options: &SoakOptions) -> Vec<Strike> {
    let series = [
        (Fault::StoreRefusesWrites, REFUSED_WRITES_SEED),
        (Fault::StoreExecutesLate, LATE_WRITES_SEED),
    ];
    let plan = |(fault, seed)| {
        plan_server_series(options, fault, seed, STORE_WRITES_GAP_MS, |random| {
            random.random_range(LENGTH_MS)
        })
    };
    series.into_iter().flat_map(plan).collect()
}

fn plan_evacuations(options: &SoakOptions) -> Vec<Strike> {
    plan_server_series(
        options,
        Fault::ZoneEvacuated,
        EVACUATION_SEED,
        EVACUATION_GAP_MS,
        |random| random.random_range(EVACUATION_MS),
    )
}

/// Returns a series of one fault. `gap_ms` is the time between two beginnings in milliseconds, and
/// `length_ms` chooses a duration.
fn plan_server_series(
    options: &SoakOptions,
    fault: Fault,
    series_seed: u64,
    gap_ms: std::ops::Range<u64>,
    length_ms: impl Fn(&mut StdRng) -> u64,
) -> Vec<Strike> {
    let mut random = StdRng::seed_from_u64(options.seed ^ series_seed);
    let mut injections = Vec::new();
    let mut at_ms = random.random_range(gap_ms.clone());
    while at_ms < options.duration_ms {
        injections.push(Strike {
            fault,
            at_ms,
            for_ms: length_ms(&mut random),
            target: random.random_range(0..64),
        });
        at_ms += random.random_range(gap_ms.clone());
    }
    injections
}
