//! Settings of an instance, read from an INI file.
//!
//! A process learns its addresses and its availability zone from this file and reads it once, at
//! its start. Everything that may change while it runs is a resource instead.

use std::net::SocketAddr;

use mimosabay_core::name::Name;

use crate::ini_reader::{IniReader, Number};
use crate::policy::{BudgetPolicy, EvictionPolicy, LogLevel, PlacementPolicy, QueuePolicy};
use crate::secret::Secret;
use crate::settings_error::SettingsErrors;

const MIN_SECRET_CHARS: usize = 16;
const BYTES: &str = "bytes";
const MILLISECONDS: &str = "milliseconds";

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Section `[instance]`.
    pub instance: InstanceSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[stop]`.
    pub stop: StopSettings,
    /// Section `[metrics]`.
    pub metrics: MetricSettings,
    /// Section `[log]`.
    pub log: LogSettings,
    /// Section `[timing]`.
    pub timing: TimingSettings,
    /// Section `[policy]`.
    pub policy: PolicySettings,
}

/// Who this instance is and where it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Name in the platform's list of instances.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other instances reach it. Invariant: differs from `caller_address`.
    pub peer_address: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the object store and the instance list.
    pub address: SocketAddr,
}

/// How instances recognise each other.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Secret that all instances of the site share.
    pub secret: Secret,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// Largest head of a request.
    pub max_header_bytes: u64,
    /// Time for a caller to send its whole request.
    pub read_timeout_ms: u64,
    /// Time for a request whose route sets none.
    pub request_timeout_ms: u64,
}

/// A planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct StopSettings {
    /// Time for the balancer to notice that the instance is not ready.
    pub balancer_lag_ms: u64,
    /// Time for requests in progress to end after that.
    pub drain_timeout_ms: u64,
}

/// Where metrics go.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricSettings {
    /// UDP address of a statsd server; no metrics if absent.
    pub statsd_address: Option<SocketAddr>,
    /// First part of every metric's name.
    pub prefix: Name,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Smallest level that is written.
    pub level: LogLevel,
}

/// Intervals and timeouts between instances and towards the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct TimingSettings {
    /// Time between heartbeats to a peer.
    pub heartbeat_ms: u64,
    /// Silence after which a peer counts as lost. Invariant: at least two heartbeats.
    pub peer_timeout_ms: u64,
    /// Time that a watch waits for a change.
    pub watch_wait_ms: u64,
    /// Time without store and peers after which the instance refuses requests.
    pub config_stale_ms: u64,
    /// Time between two additions to the stored service-level counters.
    pub slo_flush_ms: u64,
}

/// Policies, and the baselines that they are measured against.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// How an organisation's rate is shared.
    pub budget: BudgetPolicy,
    /// How a backend server is chosen.
    pub placement: PlacementPolicy,
    /// In which order requests are dispatched.
    pub queue: QueuePolicy,
    /// Which adapter leaves a slot.
    pub eviction: EvictionPolicy,
}

impl Settings {
    /// Reads settings from the text of an INI file.
    ///
    /// # Errors
    ///
    /// All errors of the file at once, or the first one if its syntax is wrong.
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = IniReader::new(text).map_err(|error| SettingsErrors::new(vec![error]))?;
        let settings = Self::read(&mut reader);
        settings.check_relations(&mut reader);
        let errors = reader.finish();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsErrors::new(errors))
        }
    }

    fn read(reader: &mut IniReader) -> Self {
        Self {
            instance: InstanceSettings {
                name: reader.name("instance", "name"),
                zone: reader.name("instance", "zone"),
                caller_address: reader.address("instance", "caller_address"),
                peer_address: reader.address("instance", "peer_address"),
            },
            platform: PlatformSettings {
                address: reader.address("platform", "address"),
            },
            peers: PeerSettings {
                secret: reader.secret("peers", "secret", MIN_SECRET_CHARS),
            },
            limits: read_limits(reader),
            stop: read_stop(reader),
            metrics: MetricSettings {
                statsd_address: reader.optional_address("metrics", "statsd_address"),
                prefix: reader.name_or("metrics", "prefix", "mimosabay"),
            },
            log: LogSettings {
                level: reader.choice("log", "level", &LogLevel::NAMES, LogLevel::Info),
            },
            timing: read_timing(reader),
            policy: read_policy(reader),
        }
    }

    fn check_relations(&self, reader: &mut IniReader) {
        let (heartbeat_ms, timeout_ms) = (self.timing.heartbeat_ms, self.timing.peer_timeout_ms);
        if timeout_ms < 2 * heartbeat_ms {
            let problem = format!("`{timeout_ms}` is too short");
            let allowed = format!(
                "at least twice heartbeat_ms, {} milliseconds",
                2 * heartbeat_ms
            );
            reader.add_error("timing", "peer_timeout_ms", problem, &allowed);
        }
        let instance = &self.instance;
        if instance.peer_address.port() != 0 && instance.peer_address == instance.caller_address {
            let problem = format!("`{}` is caller_address too", instance.peer_address);
            reader.add_error("instance", "peer_address", problem, "another address");
        }
    }
}

fn read_limits(reader: &mut IniReader) -> LimitSettings {
    const MAX_BODY_BYTES: u64 = 1 << 30;
    const MAX_HEADER_BYTES: u64 = 1 << 20;
    const MAX_TIMEOUT_MS: u64 = 3_600_000;
    let mut number = |key, default, range, unit| {
        let number = Number {
            default,
            range,
            unit,
        };
        reader.number("limits", key, &number)
    };
    LimitSettings {
        max_body_bytes: number("max_body_bytes", 4_194_304, 1_024..=MAX_BODY_BYTES, BYTES),
        max_header_bytes: number("max_header_bytes", 65_536, 8_192..=MAX_HEADER_BYTES, BYTES),
        read_timeout_ms: number("read_timeout_ms", 10_000, 10..=MAX_TIMEOUT_MS, MILLISECONDS),
        request_timeout_ms: number(
            "request_timeout_ms",
            60_000,
            10..=MAX_TIMEOUT_MS,
            MILLISECONDS,
        ),
    }
}

fn read_stop(reader: &mut IniReader) -> StopSettings {
    const MAX_STOP_MS: u64 = 3_600_000;
    let mut number = |key, default| {
        let number = Number {
            default,
            range: 0..=MAX_STOP_MS,
            unit: MILLISECONDS,
        };
        reader.number("stop", key, &number)
    };
    StopSettings {
        balancer_lag_ms: number("balancer_lag_ms", 2_000),
        drain_timeout_ms: number("drain_timeout_ms", 60_000),
    }
}

fn read_timing(reader: &mut IniReader) -> TimingSettings {
    let mut number = |key, default, range| {
        let number = Number {
            default,
            range,
            unit: MILLISECONDS,
        };
        reader.number("timing", key, &number)
    };
    TimingSettings {
        heartbeat_ms: number("heartbeat_ms", 250, 10..=60_000),
        peer_timeout_ms: number("peer_timeout_ms", 1_000, 20..=120_000),
        watch_wait_ms: number("watch_wait_ms", 10_000, 100..=300_000),
        config_stale_ms: number("config_stale_ms", 3_000, 100..=60_000),
        slo_flush_ms: number("slo_flush_ms", 60_000, 100..=600_000),
    }
}

fn read_policy(reader: &mut IniReader) -> PolicySettings {
    PolicySettings {
        budget: reader.choice(
            "policy",
            "budget",
            &BudgetPolicy::NAMES,
            BudgetPolicy::Lending,
        ),
        placement: reader.choice(
            "policy",
            "placement",
            &PlacementPolicy::NAMES,
            PlacementPolicy::Product,
        ),
        queue: reader.choice("policy", "queue", &QueuePolicy::NAMES, QueuePolicy::Product),
        eviction: reader.choice(
            "policy",
            "eviction",
            &EvictionPolicy::NAMES,
            EvictionPolicy::Product,
        ),
    }
}
