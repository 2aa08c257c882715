//! Which faults strike, and when.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::SoakOptions;
use super::injector::STOP_MS;

/// Time between the beginnings of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..1_400;
/// Time that a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..3_500;

/// Something that goes wrong, or planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of an instance is killed and started again.
    Kill,
    /// The process is paused.
    Freeze,
    /// The process is asked to stop, and started again once it has.
    Stop,
    /// The process is told that its settings have changed.
    HangUp,
    /// The link from an instance to the store is cut.
    StoreLinkCut,
    /// That link is silent.
    StoreLinkSilent,
    /// Open connections to the store go silent for good.
    StoreConnectionsSilent,
    /// The store refuses all calls.
    StoreDown,
    /// The store carries out writes without an answer.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// The link to a server is cut.
    ServerLinkCut,
    /// That link is silent.
    ServerLinkSilent,
    /// A server crashes at its next request, and knows nothing afterwards.
    ServerCrash,
    /// A server runs requests and loses their answers.
    ServerLosesAnswers,
    /// A server breaks streams off.
    ServerBreaks,
    /// A server refuses requests.
    ServerRejects,
    /// A server fails requests.
    ServerFails,
    /// A server answers under the identifiers of other requests.
    ServerAnswersAnother,
    /// A server never answers.
    ServerHangs,
    /// A server is leaving, and is back later.
    ServerDrains,
    /// A new version of the configuration.
    Configuration,
}

/// Planned work, which costs no request.
const PLANNED: [Fault; 3] = [Fault::Stop, Fault::HangUp, Fault::Configuration];

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

/// One fault at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// What happens.
    pub fault: Fault,
    /// When it begins, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Which instance or server it meets, modulo their number.
    pub target: usize,
}

impl Strike {
    /// When it ends, in milliseconds from the start of the load.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

/// The faults of a soak, in the order in which they begin.
pub fn plan_faults(options: &SoakOptions) -> Vec<Strike> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let faults: &[Fault] = if options.is_planned_only {
        &PLANNED
    } else {
        &ALL
    };
    let mut injections = Vec::new();
    let mut at_ms = random.random_range(GAP_MS);
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
        at_ms += random.random_range(GAP_MS);
    }
    injections
}
