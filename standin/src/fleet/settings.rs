//! Formats the settings file that the platform writes for an instance.

use std::net::SocketAddr;

/// Memory of an instance, in units of 1,048,576 bytes.
pub const MEMORY_MIB: u64 = 160;

/// Settings that differ between instances or between sites.
pub(super) struct InstanceSettings {
    pub(super) name: String,
    pub(super) caller_address: SocketAddr,
    pub(super) ready_address: SocketAddr,
    pub(super) peer_port: u16,
    pub(super) store_address: SocketAddr,
    pub(super) grace_s: u64,
    pub(super) lease_ms: u64,
    pub(super) core_share: f64,
    pub(super) contracts: &'static [&'static str],
}

impl InstanceSettings {
    /// Returns the settings file as TOML.
    pub(super) fn to_toml(&self) -> String {
        format!(
            r#"nodeName = "{name}"
role = "instance"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone-1"
region = "region-1"
internalPorts = [{peer_port},{peer_port}]
seeds = []
bootstrap = true
heartbeatMs = 1200
contracts = {contracts:?}
aFieldThatNobodyKnows = [1, 2]
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
graceS = {grace_s}
leaseMs = {lease_ms}
retryRatio = 0.2
retryBurst = 60
[limits]
cpuShare = {core_share}
cores = 1
memoryMb = {MEMORY_MIB}
[platform]
address = "{store}"
form = "objects"
"#,
            name = self.name,
            ip = self.caller_address.ip(),
            peer_port = self.peer_port,
            front = self.caller_address,
            ready = self.ready_address,
            store = self.store_address,
            grace_s = self.grace_s,
            lease_ms = self.lease_ms,
            core_share = self.core_share,
            contracts = self.contracts,
        )
    }
}
