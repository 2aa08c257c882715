//! Service-level counters and their stored format.
//!
//! Each instance name has one object of kind [`SLO_KIND`] with counters by organisation and route.
//! Counters are kept in time windows that become longer with age, which bounds the object's size. A
//! new process of the same instance name continues the object of its predecessor.

use mimosabay_core::name::Name;

/// Kind of the objects that hold service-level counters, named after their instance.
pub const SLO_KIND: &str = "slo";

/// Upper bucket bounds of the histogram of the time to the first token. One more bucket counts
/// larger values.
pub const FIRST_TOKEN_BOUNDS_MS: [u64; 10] = [
    50, 100, 200, 500, 1_000, 1_700, 2_500, 5_000, 10_000, 30_000,
];

/// Upper bucket bounds of the histogram of the mean time between tokens. One more bucket counts
/// larger values.
pub const BETWEEN_TOKENS_BOUNDS_MS: [u64; 9] = [10, 20, 30, 45, 60, 100, 200, 500, 1_000];

/// Maximum number of series in one record. Further ones are counted under [`OTHER`].
pub const MAX_SERIES: usize = 16;

/// Organisation of the series that counts all requests beyond [`MAX_SERIES`] series.
pub const OTHER: &str = "other";

/// Maximum number of writers that one record lists.
const MAX_WRITERS: usize = 8;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Window lengths, each with the maximum age of its windows. Older windows are merged into the next
/// tier.
const TIERS: [Tier; 3] = [
    Tier {
        length_ms: 5 * MINUTE_MS,
        max_age_ms: 2 * HOUR_MS,
    },
    Tier {
        length_ms: HOUR_MS,
        max_age_ms: 74 * HOUR_MS,
    },
    Tier {
        length_ms: DAY_MS,
        max_age_ms: 30 * DAY_MS,
    },
];

struct Tier {
    length_ms: u64,
    max_age_ms: u64,
}

mimosabay_core::record! {
    /// How a request ended, as counted for service levels.
    #[derive(Copy)]
    pub enum Outcome {
        /// The complete answer was sent.
        Answered {
            /// Time from the arrival of the request to the first token; `None` for plain calls.
            first_token_ms: Option<u64>,
            /// Mean time between two tokens; `None` for fewer than two tokens.
            between_tokens_ms: Option<u64>,
        },
        /// The request was admitted, but its answer is incomplete for a reason on the service's
        /// side.
        Failed,
        /// The request was refused although its organisation was within its rate.
        RefusedWithinRate,
        /// The request was refused because its organisation exceeded its rate.
        RefusedOverRate,
    }

    /// Counters of requests by outcome.
    #[derive(Default)]
    pub struct Counts {
        /// Requests with a complete answer.
        pub answered: u64,
        /// Requests that failed on the service's side.
        pub failed: u64,
        /// Requests refused although within the rate.
        pub refused_within_rate: u64,
        /// Requests refused because over the rate.
        pub refused_over_rate: u64,
        /// Histogram with the buckets of [`FIRST_TOKEN_BOUNDS_MS`]; trailing zeros are omitted.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub first_token: Vec<u64>,
        /// Histogram with the buckets of [`BETWEEN_TOKENS_BOUNDS_MS`]; trailing zeros are omitted.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub between_tokens: Vec<u64>,
    }

    /// Counters of a series in one time window.
    pub struct Window {
        /// Start in milliseconds since 1970-01-01. Invariant: a multiple of the length at which the
        /// window was created.
        pub start_ms: u64,
        /// Length of the window. Invariant: windows of a series do not overlap.
        pub length_ms: u64,
        /// Counters of the window.
        pub counts: Counts,
    }

    /// Counters of an organisation on a route.
    pub struct Series {
        /// Name of the organisation; empty on a route that is open to all.
        pub organisation: Name,
        /// Name of the route; empty for adapters that callers name directly.
        pub route: Name,
        /// Windows. Invariant: sorted by start.
        pub windows: Vec<Window>,
    }

    /// Last addition of one process of the instance to the record.
    #[derive(Copy)]
    pub struct Writer {
        /// Incarnation of the process.
        pub incarnation: u64,
        /// Number of the addition, from 1.
        pub sequence: u64,
    }

    /// Value of an object of kind [`SLO_KIND`].
    #[derive(Default)]
    pub struct SloRecord {
        /// Latest additions, by which a process that lost the store's response determines whether
        /// its addition was stored. Invariant: at most one entry per incarnation, the latest last.
        pub writers: Vec<Writer>,
        /// Series. Invariant: at most [`MAX_SERIES`], plus the series of [`OTHER`].
        pub series: Vec<Series>,
    }
}

impl Counts {
    /// Counts one outcome.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered {
                first_token_ms,
                between_tokens_ms,
            } => {
                self.answered += 1;
                observe(
                    &mut self.first_token,
                    &FIRST_TOKEN_BOUNDS_MS,
                    first_token_ms,
                );
                observe(
                    &mut self.between_tokens,
                    &BETWEEN_TOKENS_BOUNDS_MS,
                    between_tokens_ms,
                );
            }
            Outcome::Failed => self.failed += 1,
            Outcome::RefusedWithinRate => self.refused_within_rate += 1,
            Outcome::RefusedOverRate => self.refused_over_rate += 1,
        }
    }

    /// Adds the counters of `other`, including its histograms.
    pub fn add(&mut self, other: &Counts) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.refused_within_rate += other.refused_within_rate;
        self.refused_over_rate += other.refused_over_rate;
        add_histogram(&mut self.first_token, &other.first_token);
        add_histogram(&mut self.between_tokens, &other.between_tokens);
    }
}

impl Window {
    /// Returns the end of the window in milliseconds since 1970-01-01.
    pub fn end_ms(&self) -> u64 {
        self.start_ms + self.length_ms
    }
}

impl Series {
    /// Counts one outcome at `now_ms` in a window of the shortest length, or in a longer one that
    /// already covers that time.
    pub fn count(&mut self, outcome: Outcome, now_ms: u64) {
        let length_ms = TIERS[0].length_ms;
        let start_ms = now_ms - now_ms % length_ms;
        let counts = Counts::default();
        let window = Window {
            start_ms,
            length_ms,
            counts,
        };
        self.window_for(window).counts.count(outcome);
    }

    /// Adds the counters of another series.
    pub fn add(&mut self, other: &Series) {
        for window in &other.windows {
            let empty = Window {
                counts: Counts::default(),
                ..window.clone()
            };
            self.window_for(empty).counts.add(&window.counts);
        }
    }

    /// Merges windows that exceed the maximum age of their tier into longer ones. Windows beyond
    /// the last tier are merged into the oldest window.
    fn compact(&mut self, now_ms: u64) {
        let mut merged = Series {
            windows: Vec::new(),
            ..self.clone()
        };
        for mut window in self.windows.drain(..) {
            let age_ms = now_ms.saturating_sub(window.end_ms());
            widen_window(&mut window, age_ms);
            let oldest = merged.windows.first_mut();
            match oldest.filter(|_| age_ms > TIERS[TIERS.len() - 1].max_age_ms) {
                Some(oldest) => oldest.merge_later(&window),
                None => merged.add(&Series {
                    windows: vec![window],
                    ..empty_series("", "")
                }),
            }
        }
        self.windows = merged.windows;
    }

    /// Returns the window that covers the start of `window`, and inserts `window` if there is none.
    fn window_for(&mut self, window: Window) -> &mut Window {
        let index = self
            .windows
            .partition_point(|known| known.end_ms() <= window.start_ms);
        let covers = |known: &Window| known.start_ms <= window.start_ms;
        if !self.windows.get(index).is_some_and(covers) {
            self.windows.insert(index, window);
        }
        &mut self.windows[index]
    }
}

impl Window {
    /// Adds the counters of a later window and extends this window to the later one's end.
    fn merge_later(&mut self, later: &Window) {
        self.length_ms = later.end_ms() - self.start_ms;
        self.counts.add(&later.counts);
    }
}

impl SloRecord {
    /// Returns the series of an organisation and a route, or the series of [`OTHER`] if the record
    /// already has [`MAX_SERIES`] series.
    pub fn series_mut(&mut self, organisation: &str, route: &str) -> &mut Series {
        let found = self.position(organisation, route);
        let index = match found {
            Some(index) => index,
            None if self.series.len() < MAX_SERIES => {
                self.series.push(empty_series(organisation, route));
                self.series.len() - 1
            }
            None => self.position(OTHER, "").unwrap_or_else(|| {
                self.series.push(empty_series(OTHER, ""));
                self.series.len() - 1
            }),
        };
        &mut self.series[index]
    }

    /// Adds the counters of all series of another record.
    pub fn add(&mut self, other: &SloRecord) {
        for series in &other.series {
            self.series_mut(&series.organisation, &series.route)
                .add(series);
        }
    }

    /// Merges old windows into longer ones, which bounds the number of windows.
    pub fn compact(&mut self, now_ms: u64) {
        for series in &mut self.series {
            series.compact(now_ms);
        }
    }

    /// Records an addition, and removes the oldest writers beyond the maximum number.
    pub(crate) fn record_writer(&mut self, writer: Writer) {
        self.writers
            .retain(|known| known.incarnation != writer.incarnation);
        self.writers.push(writer);
        let excess = self.writers.len().saturating_sub(MAX_WRITERS);
        self.writers.drain(..excess);
    }

    /// Returns whether the record contains the addition that `writer` identifies.
    pub fn contains_addition(&self, writer: Writer) -> bool {
        self.writers.iter().any(|known| {
            known.incarnation == writer.incarnation && known.sequence >= writer.sequence
        })
    }

    fn position(&self, organisation: &str, route: &str) -> Option<usize> {
        let matches =
            |series: &Series| &*series.organisation == organisation && &*series.route == route;
        self.series.iter().position(matches)
    }
}

fn empty_series(organisation: &str, route: &str) -> Series {
    Series {
        organisation: organisation.into(),
        route: route.into(),
        windows: Vec::new(),
    }
}

fn widen_window(window: &mut Window, age_ms: u64) {
    let tier = TIERS
        .iter()
        .find(|tier| age_ms <= tier.max_age_ms)
        .unwrap_or(&TIERS[2]);
    if tier.length_ms > window.length_ms {
        window.start_ms -= window.start_ms % tier.length_ms;
        window.length_ms = tier.length_ms;
    }
}

fn observe(histogram: &mut Vec<u64>, bounds_ms: &[u64], value_ms: Option<u64>) {
    let Some(value_ms) = value_ms else {
        return;
    };
    let bucket = bounds_ms.partition_point(|bound_ms| *bound_ms < value_ms);
    if histogram.len() <= bucket {
        histogram.resize(bucket + 1, 0);
    }
    histogram[bucket] += 1;
}

fn add_histogram(histogram: &mut Vec<u64>, other: &[u64]) {
    if histogram.len() < other.len() {
        histogram.resize(other.len(), 0);
    }
    for (count, more) in histogram.iter_mut().zip(other) {
        *count += more;
    }
}
