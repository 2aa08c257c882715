//! Settings of an instance, read from an INI file.
//!
//! A process reads the file once, at start. It holds the process's addresses, its availability
//! zone and its local settings; everything that may change at run time is a resource instead.

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

/// Identity and addresses of the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Name in the platform's list of instances.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address at which callers reach the instance.
    pub caller_address: SocketAddr,
    /// Address at which other instances reach it. Invariant: differs from `caller_address`.
    pub peer_address: SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the object store and the instance list.
    pub address: SocketAddr,
}

/// Authentication between instances.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Secret that all instances of the site share.
    pub secret: Secret,
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum size of a request head.
    pub max_header_bytes: u64,
    /// Time within which a caller must send its complete request.
    pub read_timeout_ms: u64,
    /// Timeout of requests whose route sets none.
    pub request_timeout_ms: u64,
}

/// Timing of a graceful shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct StopSettings {
    /// Time that the load balancer needs to notice that the instance is not ready.
    pub balancer_lag_ms: u64,
    /// Time after `balancer_lag_ms` within which requests in progress must end.
    pub drain_timeout_ms: u64,
}

/// Destination and naming of metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricSettings {
    /// UDP address of a statsd server; `None` sends no metrics.
    pub statsd_address: Option<SocketAddr>,
    /// Prefix of every metric name.
    pub prefix: Name,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Lowest severity that is written.
    pub level: LogLevel,
}

/// Intervals and timeouts of the communication with other instances and with the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct TimingSettings {
    /// Interval between heartbeats to a peer.
    pub heartbeat_ms: u64,
    /// Time without contact after which a peer counts as lost. Invariant: at least twice
    /// `heartbeat_ms`.
    pub peer_timeout_ms: u64,
    /// Time that a watch request waits for a change.
    pub watch_wait_ms: u64,
    /// Time without contact to the store and to peers after which the instance refuses requests.
    pub config_stale_ms: u64,
    /// Interval between additions to the stored service-level counters.
    pub slo_flush_ms: u64,
}

/// Policies; those other than the defaults are baselines for measurements.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// How the instances share an organisation's rate.
    pub budget: BudgetPolicy,
    /// How a backend server is chosen.
    pub placement: PlacementPolicy,
    /// Order in which queued requests are dispatched.
    pub queue: QueuePolicy,
    /// Which adapter is evicted to free a slot.
    pub eviction: EvictionPolicy,
}

impl Settings {
    /// Parses the text of an INI file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, or only the first one if its syntax is invalid.
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
            let problem = format!("`{}` is also the caller_address", instance.peer_address);
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
