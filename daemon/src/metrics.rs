//! Counters and timings, sent to a statsd server over UDP.

use std::net::UdpSocket;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use mimosabay_operator::settings::MetricSettings;
use tracing::warn;

/// Client for the metrics of one instance.
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Builds the client; without an address, metrics are discarded.
    pub fn new(settings: &MetricSettings) -> Self {
        let client = udp_client(settings)
            .unwrap_or_else(|| StatsdClient::from_sink(&settings.prefix, NopMetricSink));
        Self { client }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        // A lost metric is acceptable.
        let _ = self.client.count(name, 1);
    }

    /// Records a time in milliseconds.
    pub fn time(&self, name: &str, took_ms: u64) {
        let _ = self.client.time(name, took_ms);
    }
}

fn udp_client(settings: &MetricSettings) -> Option<StatsdClient> {
    let address = settings.statsd_address?;
    let any = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let sink = UdpSocket::bind(any)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(cadence::MetricError::from)
        .and_then(|socket| UdpMetricSink::from(address, socket));
    match sink {
        Ok(sink) => Some(StatsdClient::from_sink(
            &settings.prefix,
            QueuingMetricSink::from(sink),
        )),
        Err(cause) => {
            warn!(%address, %cause, "metrics are not sent");
            None
        }
    }
}
