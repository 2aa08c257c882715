//! A whole site on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::caller::FleetCaller;
use super::configuration::configuration;
use super::server::{FleetServer, ServerKind};
use super::settings::InstanceSettings;
use super::store::FleetStore;
use crate::harness::{Process, Relay, find_binary, free_address, wait_for};

/// Sites that run at once in one test program.
static PERMITS: Semaphore = Semaphore::const_new(3);

/// Service of the engines.
pub const ENGINES: &str = "engines";
/// Service of the plain servers.
pub const DESK: &str = "desk";
/// Base model of the engines.
pub const MODEL: &str = "base";
/// Host of all routes.
pub const HOST: &str = "site.example";
/// Key of the organisation.
pub const KEY: &str = "key-of-the-clinics";
/// Organisation that has the key.
pub const ORGANISATION: &str = "clinics";

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain servers.
    pub plains: usize,
    /// Adapters that an engine can hold.
    pub places: usize,
    /// Tokens that the organisation may use each second.
    pub rate_per_s: u64,
    /// Tokens that it may use at once.
    pub burst: u64,
    /// Time that a process has to stop, in seconds.
    pub grace_s: u64,
    /// Whether instances and servers are reached through links that can be cut.
    pub has_links: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            instances: 2,
            engines: 2,
            plains: 2,
            places: 3,
            rate_per_s: 1_000_000,
            burst: 1_000_000,
            grace_s: 8,
            has_links: false,
        }
    }
}

/// A site that runs. Dropping it ends its processes.
#[derive(Debug)]
pub struct FleetSite {
    /// The platform's store.
    pub store: FleetStore,
    /// The engines.
    pub engines: Vec<FleetServer>,
    /// The plain servers.
    pub plains: Vec<FleetServer>,
    /// The instances.
    pub instances: Vec<FleetInstance>,
    /// Links from each instance to the store, if the site has links.
    pub store_links: Vec<Relay>,
    /// Links to the engines and then to the plain servers, if the site has links.
    pub server_links: Vec<Relay>,
    options: FleetOptions,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

/// A process of a site.
#[derive(Debug)]
pub struct FleetInstance {
    /// Name.
    pub name: String,
    /// The process.
    pub process: Process,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    metrics_address: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
}

impl FleetSite {
    /// Starts a site and waits until all its instances are ready and one of them places requests.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub async fn start(options: FleetOptions) -> Self {
        let permit = PERMITS.acquire().await.expect("permits are never closed");
        let folder = new_folder();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store_address = listener.local_addr().expect("an address");
        let store = FleetStore::start(listener);
        let mut site = Self {
            store,
            engines: Vec::new(),
            plains: Vec::new(),
            instances: Vec::new(),
            store_links: Vec::new(),
            server_links: Vec::new(),
            options,
            folder,
            _permit: permit,
        };
        site.configure(1, |_| {});
        site.start_servers().await;
        for index in 0..site.options.instances {
            let store_address = site.link_to_store(store_address).await;
            let instance = site.start_instance(index, store_address);
            site.instances.push(instance);
        }
        for index in 0..site.instances.len() {
            site.wait_ready(index).await;
        }
        site.wait_placer().await;
        site.wait_linked().await;
        site
    }

    /// Writes a version of the configuration after `change`; returns the store's revision.
    pub fn configure(&self, version: u64, change: impl FnOnce(&mut Value)) -> u64 {
        let mut configuration = configuration(version, &self.options);
        change(&mut configuration);
        self.store.put("config", "main", &configuration)
    }

    /// A caller of an instance with the organisation's key.
    pub fn caller(&self, index: usize) -> FleetCaller {
        FleetCaller::new(self.instances[index].caller_address).key(KEY)
    }

    /// Whether an instance says that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let caller = FleetCaller::new(self.instances[index].ready_address);
        let answer = caller.get("/api/readyz", "ready").await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The metrics of an instance as text.
    pub async fn metrics(&self, index: usize) -> String {
        let caller = FleetCaller::new(self.instances[index].metrics_address);
        let answer = caller.get("/metrics", "metrics").await;
        answer.map_or(String::new(), |it| {
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

    /// Waits until an instance places requests; returns its index.
    pub async fn wait_placer(&self) -> usize {
        wait_for("a placer", async || self.placer()).await
    }

    /// Waits until the placer knows all engines and all instances know the placer.
    async fn wait_linked(&self) {
        wait_for("a placer that knows all engines", async || {
            let are_known = self.engines.iter().all(|engine| engine.reports() > 0);
            let mut instances = self.instances.iter();
            let are_linked = instances.all(|instance| instance.has_logged("placer_changed"));
            (are_known && are_linked).then_some(())
        })
        .await;
    }

    /// The instance that places requests, if it lives.
    pub fn placer(&self) -> Option<usize> {
        let record = self.placer_record()?;
        let name = record["instance"].as_str()?;
        self.instances
            .iter()
            .position(|instance| instance.name == name)
    }

    /// Where the instance that places requests listens for other instances.
    pub fn placer_address(&self) -> Option<String> {
        let record = self.placer_record()?;
        Some(record["address"].as_str()?.to_owned())
    }

    fn placer_record(&self) -> Option<Value> {
        self.store.spec("placers", "cell-0")
    }

    /// Starts the process of an instance again.
    pub fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.process.kill();
        instance.start();
    }

    /// Requests that ran, over all servers, by the identifier of the caller's attempt.
    pub fn runs_of(&self, id: &str) -> usize {
        let servers = self.engines.iter().chain(&self.plains);
        let requests = servers.flat_map(FleetServer::requests);
        requests.filter(|it| it.id == id && it.has_run).count()
    }

    /// Where the next instance reaches the store.
    async fn link_to_store(&mut self, store_address: SocketAddr) -> SocketAddr {
        if !self.options.has_links {
            return store_address;
        }
        let link = Relay::start(store_address.to_string()).await;
        let address = link.address.parse().expect("a relay has an address");
        self.store_links.push(link);
        address
    }

    /// Puts a link in front of a server, if the site has links.
    async fn link_to(&mut self, server: &FleetServer) {
        if self.options.has_links {
            let link = Relay::start(server.address.to_string()).await;
            let address = link.address.parse().expect("a relay has an address");
            server.reach_at(address);
            self.server_links.push(link);
        }
    }

    async fn start_servers(&mut self) {
        let kind = ServerKind::Engine {
            places: self.options.places,
        };
        for index in 0..self.options.engines {
            let id = format!("engine-{index}");
            let server = FleetServer::start(&self.store, &id, ENGINES, kind).await;
            self.link_to(&server).await;
            self.engines.push(server);
        }
        for index in 0..self.options.plains {
            let id = format!("desk-{index}");
            let server = FleetServer::start(&self.store, &id, DESK, ServerKind::Plain).await;
            self.link_to(&server).await;
            self.plains.push(server);
        }
    }

    fn start_instance(&self, index: usize, store_address: SocketAddr) -> FleetInstance {
        let name = format!("instance-{index}");
        let settings = InstanceSettings {
            name: name.clone(),
            caller_address: free_socket(),
            ready_address: free_socket(),
            peer_port: free_socket().port(),
            store_address,
            grace_s: self.options.grace_s,
            lease_ms: 1_500,
        };
        let settings_file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings_file, settings.text()).expect("the test's folder can be written");
        let log_file = self.folder.join(format!("{name}.log"));
        let metrics_address = free_socket();
        FleetInstance {
            process: start_process(&settings_file, metrics_address, &log_file),
            name,
            caller_address: settings.caller_address,
            ready_address: settings.ready_address,
            metrics_address,
            settings_file,
            log_file,
        }
    }
}

impl Drop for FleetSite {
    fn drop(&mut self) {
        self.instances.clear();
        if !std::thread::panicking() {
            // Left behind, it would only take space.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl FleetInstance {
    /// Replaces a piece of the settings file.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings_file).expect("a settings file");
        let text = text.replacen(from, to, 1);
        std::fs::write(&self.settings_file, text).expect("the test's folder can be written");
    }

    fn start(&mut self) {
        let metrics_address = self.metrics_address;
        self.process = start_process(&self.settings_file, metrics_address, &self.log_file);
    }

    /// Lines that it logged.
    pub fn log(&self) -> Vec<Value> {
        let output = self.process.output();
        let lines = output.lines();
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Whether it logged an event.
    pub fn has_logged(&self, event: &str) -> bool {
        self.log().iter().any(|line| line["event"] == event)
    }

    /// Logged lines about a request.
    pub fn log_of(&self, id: &str) -> Vec<Value> {
        let lines = self.log().into_iter();
        lines.filter(|line| line["id"] == id).collect()
    }
}

fn start_process(settings_file: &Path, metrics_address: SocketAddr, log_file: &Path) -> Process {
    let settings_file = settings_file.to_string_lossy();
    let variables = [("MIMOSABAY_BOOT", &*settings_file)];
    let port = metrics_address.port().to_string();
    let arguments = ["--metrics-port", &port];
    Process::start_with(&find_binary("mimosabayd"), &arguments, &variables, log_file)
}

fn free_socket() -> SocketAddr {
    free_address().parse().expect("an address")
}

fn new_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("mimosabay-fleet-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}
