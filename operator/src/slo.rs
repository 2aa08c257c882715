//! Counters of service levels, as instances keep and store them.
//!
//! Each instance slot has one object of kind [`SLO_KIND`]. It holds counters by organisation and
//! route in windows of time that grow with their age, so that its size is bounded and a new
//! process of the slot continues where the last one ended.

use mimosabay_core::name::Name;

/// Kind of the objects that hold service-level counters; the name is that of the instance.
pub const SLO_KIND: &str = "slo";

/// Upper bounds of the histogram of the time to the first token; one more bucket is above them.
pub const FIRST_TOKEN_BOUNDS_MS: [u64; 10] = [
    50, 100, 200, 500, 1_000, 1_700, 2_500, 5_000, 10_000, 30_000,
];

/// Upper bounds of the histogram of the mean time between tokens; one more bucket is above them.
pub const BETWEEN_TOKENS_BOUNDS_MS: [u64; 9] = [10, 20, 30, 45, 60, 100, 200, 500, 1_000];

/// Largest number of series in one record; later ones are counted under [`OTHER`].
pub const MAX_SERIES: usize = 16;

/// Organisation of the series that takes what has no series of its own.
pub const OTHER: &str = "other";

/// Largest number of writers in one record.
const MAX_WRITERS: usize = 8;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Lengths of windows, and the age up to which they are kept.
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
    /// How one request ended, as far as service levels count it.
    #[derive(Copy)]
    pub enum Outcome {
        /// The whole answer was sent.
        Answered {
            /// Time from the arrival of the request to the first token; `None` for plain calls.
            first_token_ms: Option<u64>,
            /// Mean time between two tokens; `None` below two tokens.
            between_tokens_ms: Option<u64>,
        },
        /// It was admitted and its answer did not become whole for a reason on the service's side.
        Failed,
        /// It was refused although its organisation was within its rate.
        RefusedWithinRate,
        /// It was refused because its organisation was over its rate.
        RefusedOverRate,
    }

    /// Counters of a series in a window.
    #[derive(Default)]
    pub struct Counts {
        /// Requests that got their whole answer.
        pub answered: u64,
        /// Requests that failed on the service's side.
        pub failed: u64,
        /// Requests refused although within the rate.
        pub refused_within_rate: u64,
        /// Requests refused because over the rate.
        pub refused_over_rate: u64,
        /// Histogram by [`FIRST_TOKEN_BOUNDS_MS`], zeros at its end left out.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub first_token: Vec<u64>,
        /// Histogram by [`BETWEEN_TOKENS_BOUNDS_MS`], zeros at its end left out.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub between_tokens: Vec<u64>,
    }

    /// Counters of a series in one window of time.
    pub struct Window {
        /// Start in milliseconds since 1970-01-01. Invariant: a multiple of its first length.
        pub start_ms: u64,
        /// Length. Invariant: windows of a series do not overlap.
        pub length_ms: u64,
        /// The counters.
        pub counts: Counts,
    }

    /// Counters of an organisation on a route.
    pub struct Series {
        /// The organisation; empty on a route open to all.
        pub organisation: Name,
        /// The route; empty for adapters that are named directly.
        pub route: Name,
        /// Windows. Invariant: sorted by start.
        pub windows: Vec<Window>,
    }

    /// The last counters that one process of the slot added.
    #[derive(Copy)]
    pub struct Writer {
        /// Incarnation of the process.
        pub incarnation: u64,
        /// Number of its last addition, from 1.
        pub sequence: u64,
    }

    /// Value of an object of kind [`SLO_KIND`].
    #[derive(Default)]
    pub struct SloRecord {
        /// Latest additions, so that a process whose answer was lost can tell whether its own is
        /// in. Invariant: at most one entry for each incarnation, the latest last.
        pub writers: Vec<Writer>,
        /// The series. Invariant: at most [`MAX_SERIES`] and the one of [`OTHER`].
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

    /// Adds other counters.
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
    /// End in milliseconds since 1970-01-01.
    pub fn end_ms(&self) -> u64 {
        self.start_ms + self.length_ms
    }
}

impl Series {
    /// Counts one outcome at `now_ms` in its newest kind of window.
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

    /// Merges windows that are too old for their length into longer ones.
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

    /// The window that covers the start of `window`, which is put in if there is none.
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
    /// Adds a later window and grows up to its end.
    fn merge_later(&mut self, later: &Window) {
        self.length_ms = later.end_ms() - self.start_ms;
        self.counts.add(&later.counts);
    }
}

impl SloRecord {
    /// The series of an organisation and a route, or the one that takes the rest.
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

    /// Adds the counters of another record.
    pub fn add(&mut self, other: &SloRecord) {
        for series in &other.series {
            self.series_mut(&series.organisation, &series.route)
                .add(series);
        }
    }

    /// Bounds the number of windows: the older a window, the longer it is.
    pub fn compact(&mut self, now_ms: u64) {
        for series in &mut self.series {
            series.compact(now_ms);
        }
    }

    /// Notes an addition; the oldest writers are forgotten.
    pub(crate) fn record_writer(&mut self, writer: Writer) {
        self.writers
            .retain(|known| known.incarnation != writer.incarnation);
        self.writers.push(writer);
        let excess = self.writers.len().saturating_sub(MAX_WRITERS);
        self.writers.drain(..excess);
    }

    /// Whether the addition of `writer` is in.
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
