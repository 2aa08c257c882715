//! Starts a site on the loopback interface: a store, backend servers and instances.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::caller::FleetCaller;
use super::configuration::configuration_json;
use super::instance_links::InstanceLinks;
use super::received::ReceivedRequest;
use super::server::{FleetServer, ServerKind};
use super::settings::InstanceSettings;
use super::store::FleetStore;
use super::version::SECOND_VERSION;
use crate::harness::{Process, Relay, find_binary, free_address, wait_for};

/// Limits how many sites of one test program run at the same time.
static PERMITS: Semaphore = Semaphore::const_new(3);

/// Share of a core that a large machine states.
const LARGE_CORE_SHARE: f64 = 0.5;
/// Share of a core that other machines state.
const SMALL_CORE_SHARE: f64 = 0.12;

/// Name of the engines' service.
pub const ENGINES: &str = "engines";
/// Name of the plain servers' service.
pub const DESK: &str = "desk";
/// Name of the engines' base model.
pub const MODEL: &str = "base";
/// Host name of all routes.
pub const HOST: &str = "site.example";
/// API key of the organisation.
pub const KEY: &str = "key-of-the-clinics";
/// Name of the organisation that owns [`KEY`].
pub const ORGANISATION: &str = "clinics";

/// Sizes and settings of a site.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of engines with the second software version, beside them.
    pub new_engines: usize,
    /// Number of plain servers.
    pub plain_servers: usize,
    /// Number of adapters that fit in an engine.
    pub adapter_slots: usize,
    /// Rate of the organisation, in tokens per second.
    pub rate_per_s: u64,
    /// Burst of the organisation, in tokens.
    pub burst: u64,
    /// Grace period of an instance when it stops, in seconds.
    pub grace_s: u64,
    /// Whether the store and the servers are reached through relays, which can inject faults.
    pub has_relays: bool,
    /// Whether each instance has links of its own to the servers that are there at the start.
    pub has_instance_links: bool,
    /// Index of the only instance on a large machine.
    pub large_instance: Option<usize>,
    /// Parts of the platform's protocol that the settings name.
    pub contracts: &'static [&'static str],
    /// Requests a second that a cold engine takes; 0 if that is not limited.
    pub cold_per_s: f64,
    /// Program of an earlier build with which the instances start. A restart replaces it by this build.
    pub old_build: Option<&'static Path>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            instances: 2,
            engines: 2,
            new_engines: 0,
            plain_servers: 2,
            adapter_slots: 3,
            rate_per_s: 1_000_000,
            burst: 1_000_000,
            grace_s: 8,
            has_relays: false,
            has_instance_links: false,
            large_instance: None,
            contracts: &["base"],
            cold_per_s: 0.0,
            old_build: None,
        }
    }
}

/// A running site. Dropping it ends its processes.
#[derive(Debug)]
pub struct FleetSite {
    /// The platform's object store.
    pub store: FleetStore,
    /// The engines, by index in their names.
    pub engines: Vec<FleetServer>,
    /// The plain servers, by index in their names.
    pub plain_servers: Vec<FleetServer>,
    /// The instances, by index in their names.
    pub instances: Vec<FleetInstance>,
    /// Relay from each instance to the store; empty if the site has no relays.
    pub store_relays: Vec<Relay>,
    /// Relays to the engines, then those to the plain servers; empty if the site has no relays.
    pub server_relays: Vec<Relay>,
    /// Links from each instance to the servers; empty if the instances have none of their own.
    pub instance_links: Vec<InstanceLinks>,
    options: FleetOptions,
    directory: PathBuf,
    _permit: SemaphorePermit<'static>,
}

/// An instance of a site, which runs as a separate process.
#[derive(Debug)]
pub struct FleetInstance {
    /// Node name in the instance's settings.
    pub name: String,
    /// The current process; replaced when the instance restarts.
    pub process: Process,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    /// Output of the processes before the current one.
    earlier_output: String,
}

/// An address on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// For callers.
    Callers,
    /// For readiness checks.
    Ready,
    /// For other instances.
    Peers,
    /// For readers of the metrics.
    Metrics,
}

impl FleetSite {
    /// Starts a site and waits until all instances are ready, one of them is the placer, and they
    /// are connected to it.
    ///
    /// # Panics
    ///
    /// Panics if the site cannot be started.
    pub async fn start(options: FleetOptions) -> Self {
        let permit = PERMITS.acquire().await.expect("permits are never closed");
        let directory = create_test_directory();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store_address = listener.local_addr().expect("an address");
        let store = FleetStore::start(listener);
        let mut site = Self {
            store,
            engines: Vec::new(),
            plain_servers: Vec::new(),
            instances: Vec::new(),
            store_relays: Vec::new(),
            server_relays: Vec::new(),
            instance_links: Vec::new(),
            options,
            directory,
            _permit: permit,
        };
        site.configure(1, |_| {});
        site.start_servers().await;
        for index in 0..site.options.instances {
            let store_address = site.link_to_servers(store_address).await;
            let store_address = site.relay_to_store(store_address).await;
            let instance = site.start_instance(index, store_address);
            site.instances.push(instance);
        }
        for index in 0..site.instances.len() {
            site.wait_ready(index).await;
        }
        site.wait_placer().await;
        site.wait_connected().await;
        site
    }

    /// Writes the site's configuration, modified by `change`, to the store. Returns the revision.
    pub fn configure(&self, version: u64, change: impl FnOnce(&mut Value)) -> u64 {
        let mut configuration = configuration_json(version, &self.options);
        change(&mut configuration);
        self.store.put("config", "main", &configuration)
    }

    /// Starts engines with a software version, beside the others.
    pub async fn add_engines(&mut self, count: usize, version: &str) {
        let kind = ServerKind::Engine {
            adapter_slots: self.options.adapter_slots,
        };
        for _ in 0..count {
            let id = format!("engine-{}", self.engines.len());
            let server = FleetServer::start_version(&self.store, &id, ENGINES, kind, version);
            self.relay_to_server(&server).await;
            self.engines.push(server);
        }
    }

    /// Returns a caller of an instance that uses the organisation's key.
    pub fn caller(&self, index: usize) -> FleetCaller {
        FleetCaller::new(self.instances[index].caller_address).key(KEY)
    }

    /// Returns whether the readiness endpoint of an instance answers with status 200.
    pub async fn is_ready(&self, index: usize) -> bool {
        let caller = FleetCaller::new(self.instances[index].ready_address);
        let response = caller.get("/api/readyz", "ready").await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Returns the metrics of an instance as text; empty if it does not answer.
    pub async fn metrics(&self, index: usize) -> String {
        let caller = FleetCaller::new(self.instances[index].metrics_address);
        let response = caller.get("/metrics", "metrics").await;
        response.map_or(String::new(), |it| {
            String::from_utf8_lossy(&it.body).into_owned()
        })
    }

    /// Waits until an instance is ready.
    pub async fn wait_ready(&self, index: usize) {
        wait_for("a ready instance", async || {
            self.is_ready(index).await.then_some(())
        })
        .await;
    }

    /// Waits until the site has a placer; returns the instance's index.
    pub async fn wait_placer(&self) -> usize {
        wait_for("a placer", async || self.placer_index()).await
    }

    /// Waits until every engine has been asked for a report and every instance has logged that it
    /// follows a placer.
    async fn wait_connected(&self) {
        wait_for("a placer that knows all engines", async || {
            let are_known = self.engines.iter().all(|engine| engine.report_count() > 0);
            let mut instances = self.instances.iter();
            let are_connected = instances.all(|instance| instance.has_logged("placer_changed"));
            (are_known && are_connected).then_some(())
        })
        .await;
    }

    /// Returns the index of the instance named in the placer record.
    pub fn placer_index(&self) -> Option<usize> {
        let record = self.placer_record()?;
        let name = record["instance"].as_str()?;
        self.instances
            .iter()
            .position(|instance| instance.name == name)
    }

    /// Returns the placer's address for other instances, from the placer record.
    pub fn placer_address(&self) -> Option<String> {
        let record = self.placer_record()?;
        Some(record["address"].as_str()?.to_owned())
    }

    fn placer_record(&self) -> Option<Value> {
        self.store.spec("placers", "cell-0")
    }

    /// Kills the process of an instance and starts it again.
    pub fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.process.kill();
        instance.change_settings("bootstrap = true", "bootstrap = false");
        instance.start();
    }

    /// Returns how often the servers ran a request, given the identifier of the caller's attempt.
    pub fn run_count(&self, id: &str) -> usize {
        let received = self.received(id);
        received.filter(|request| request.has_run).count()
    }

    /// Returns the number of times that a request reached a server, whether it ran or not.
    pub fn arrival_count(&self, id: &str) -> usize {
        self.received(id).count()
    }

    fn received(&self, id: &str) -> impl Iterator<Item = ReceivedRequest> {
        let servers = self.engines.iter().chain(&self.plain_servers);
        let requests = servers.flat_map(FleetServer::requests);
        requests.filter(move |request| request.id == id)
    }

    /// Returns the store's address for the next instance: that of a new relay, if the site has
    /// relays.
    async fn relay_to_store(&mut self, store_address: SocketAddr) -> SocketAddr {
        if !self.options.has_relays {
            return store_address;
        }
        let relay = Relay::start(store_address.to_string()).await;
        let address = relay.address.parse().expect("a relay has an address");
        self.store_relays.push(relay);
        address
    }

    /// Starts links to the servers for the next instance, if the instances have their own. Returns the
    /// address of the store for it.
    async fn link_to_servers(&mut self, store_address: SocketAddr) -> SocketAddr {
        if !self.options.has_instance_links {
            return store_address;
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store_address = listener.local_addr().expect("an address");
        let servers = self.engines.iter().chain(&self.plain_servers);
        let links = InstanceLinks::start(&self.store, listener, servers).await;
        self.instance_links.push(links);
        store_address
    }

    /// Starts a relay to a server and registers the server at it, if the site has relays.
    async fn relay_to_server(&mut self, server: &FleetServer) {
        if self.options.has_relays {
            let relay = Relay::start(server.address.to_string()).await;
            let address = relay.address.parse().expect("a relay has an address");
            server.register_at(address);
            self.server_relays.push(relay);
        }
    }

    async fn start_servers(&mut self) {
        let kind = ServerKind::Engine {
            adapter_slots: self.options.adapter_slots,
        };
        for index in 0..self.options.engines {
            let id = format!("engine-{index}");
            let server = FleetServer::start(&self.store, &id, ENGINES, kind);
            self.relay_to_server(&server).await;
            self.engines.push(server);
        }
        self.add_engines(self.options.new_engines, SECOND_VERSION)
            .await;
        for index in 0..self.options.plain_servers {
            let id = format!("desk-{index}");
            let server = FleetServer::start(&self.store, &id, DESK, ServerKind::Plain);
            self.relay_to_server(&server).await;
            self.plain_servers.push(server);
        }
    }

    fn core_share(&self, index: usize) -> f64 {
        if self.options.large_instance == Some(index) {
            LARGE_CORE_SHARE
        } else {
            SMALL_CORE_SHARE
        }
    }

    fn start_instance(&self, index: usize, store_address: SocketAddr) -> FleetInstance {
        let name = format!("instance-{index}");
        let peer_address = free_socket_address();
        let settings = InstanceSettings {
            name: name.clone(),
            caller_address: free_socket_address(),
            ready_address: free_socket_address(),
            peer_port: peer_address.port(),
            store_address,
            grace_s: self.options.grace_s,
            lease_ms: 1_500,
            core_share: self.core_share(index),
            contracts: self.options.contracts,
        };
        let settings_file = self.directory.join(format!("{name}.toml"));
        std::fs::write(&settings_file, settings.to_toml()).expect("the test directory is writable");
        let log_file = self.directory.join(format!("{name}.log"));
        let metrics_address = free_socket_address();
        let program = self.options.old_build.map(Path::to_path_buf);
        let program = program.unwrap_or_else(this_build);
        FleetInstance {
            process: start_process(&program, &settings_file, metrics_address, &log_file),
            name,
            caller_address: settings.caller_address,
            ready_address: settings.ready_address,
            peer_address,
            metrics_address,
            settings_file,
            log_file,
            earlier_output: String::new(),
        }
    }
}

impl Drop for FleetSite {
    fn drop(&mut self) {
        self.instances.clear();
        if !std::thread::panicking() {
            // A failure to remove the directory only costs disk space.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl FleetInstance {
    /// Replaces the first occurrence of `from` in the settings file. Takes effect at a restart.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings_file).expect("a settings file");
        let text = text.replacen(from, to, 1);
        std::fs::write(&self.settings_file, text).expect("the test directory is writable");
    }

    /// Returns the output of all processes of the instance so far.
    pub fn whole_output(&self) -> String {
        format!("{}{}", self.earlier_output, self.process.output())
    }

    /// Returns the path of the settings file.
    pub fn settings_file(&self) -> &Path {
        &self.settings_file
    }

    /// Returns the address of one of its listeners.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Callers => self.caller_address,
            Listener::Ready => self.ready_address,
            Listener::Peers => self.peer_address,
            Listener::Metrics => self.metrics_address,
        }
    }

    /// Starts the process again after it has ended.
    pub fn start(&mut self) {
        self.earlier_output.push_str(&self.process.output());
        let metrics_address = self.metrics_address;
        self.process = start_process(
            &this_build(),
            &self.settings_file,
            metrics_address,
            &self.log_file,
        );
    }

    /// Returns the JSON lines logged by the instance.
    pub fn log(&self) -> Vec<Value> {
        let output = self.process.output();
        let lines = output.lines();
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Returns whether the instance logged an event.
    pub fn has_logged(&self, event: &str) -> bool {
        self.log().iter().any(|line| line["event"] == event)
    }

    /// Returns the logged lines about a request.
    pub fn log_about(&self, id: &str) -> Vec<Value> {
        let lines = self.log().into_iter();
        lines.filter(|line| line["id"] == id).collect()
    }
}

fn this_build() -> PathBuf {
    find_binary("mimosabayd")
}

fn start_process(
    program: &Path,
    settings_file: &Path,
    metrics_address: SocketAddr,
    log_file: &Path,
) -> Process {
    let settings_file = settings_file.to_string_lossy();
    let variables = [("MIMOSABAY_BOOT", &*settings_file)];
    let port = metrics_address.port().to_string();
    let arguments = ["--metrics-port", &port];
    Process::start_with(program, &arguments, &variables, log_file)
}

fn free_socket_address() -> SocketAddr {
    free_address().parse().expect("an address")
}

fn create_test_directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("mimosabay-fleet-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("a directory for the test");
    directory
}
