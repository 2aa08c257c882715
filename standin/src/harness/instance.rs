//! Starts `mimosabayd` processes with generated settings.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use mimosabay_core::name::Name;
use mimosabay_platform::{Instance, InstanceState};
use tokio::net::TcpSocket;

use super::binary::find_binary;
use super::caller::Caller;
use super::process::Process;

/// Port of the next daemon of this test process; below the system's ephemeral ports.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Settings of the daemon: section, key and value.
pub(super) type Settings<'a> = Vec<(&'a str, &'a str, String)>;

/// A `mimosabayd` process that was started.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Its entry in the platform's list of instances.
    pub listed: Instance,
    /// The process, which may have ended.
    pub process: Process,
}

/// An instance with assigned ports and a settings file whose process has not been started.
#[derive(Debug)]
pub(super) struct PreparedInstance {
    /// Its entry in the platform's list of instances.
    pub(super) listed: Instance,
    settings_file: PathBuf,
    log_file: PathBuf,
}

impl PreparedInstance {
    /// Chooses free ports and writes the settings file.
    pub(super) fn new(folder: &Path, name: &str, zone: &str, settings: Settings) -> Self {
        let listed = Instance {
            name: name.into(),
            peer_address: free_address(),
            caller_address: free_address(),
            zone: zone.into(),
            state: InstanceState::Live,
        };
        let file = folder.join(format!("{name}.ini"));
        let text = settings_text(&listed, settings);
        std::fs::write(&file, text).expect("the test's folder can be written");
        Self {
            listed,
            settings_file: file,
            log_file: folder.join(format!("{name}.log")),
        }
    }

    /// Starts the process.
    pub(super) fn start(self) -> InstanceProcess {
        let settings_file = self.settings_file.to_string_lossy();
        let program = find_binary("mimosabayd");
        InstanceProcess {
            process: Process::start(&program, &[&settings_file], &self.log_file),
            listed: self.listed,
        }
    }
}

impl InstanceProcess {
    /// Name in the platform's list of instances.
    pub fn name(&self) -> &str {
        &self.listed.name
    }

    /// Returns a caller of this instance without a key.
    pub fn caller(&self) -> Caller {
        Caller::new(&*self.listed.caller_address)
    }

    /// Returns whether `/readyz` answers 200.
    pub async fn is_ready(&self) -> bool {
        let answer = self.caller().get("/readyz").await;
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

fn settings_text(listed: &Instance, settings: Settings) -> String {
    let own = vec![
        ("instance", "name", listed.name.to_string()),
        ("instance", "zone", listed.zone.to_string()),
        (
            "instance",
            "caller_address",
            listed.caller_address.to_string(),
        ),
        ("instance", "peer_address", listed.peer_address.to_string()),
    ];
    let mut all: Settings = own.into_iter().chain(settings).collect();
    all.sort_by_key(|(section, ..)| *section);
    let mut text = String::new();
    let mut last = "";
    for (section, key, value) in all {
        if section != last {
            writeln!(text, "[{section}]").expect("writing to a string succeeds");
            last = section;
        }
        writeln!(text, "{key} = {value}").expect("writing to a string succeeds");
    }
    text
}

/// Returns a free address that no other test process uses.
///
/// An ephemeral port can be assigned again before the daemon listens on it. Each test process
/// therefore has its own IP number on the loopback network and assigns its ports in sequence.
///
/// A process that another thread is starting shares the socket that is bound here for a moment. The
/// socket does not listen, so that the address can be bound again meanwhile.
///
/// # Panics
///
/// If no socket can be created.
pub fn free_address() -> Name {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((own_ip(), port));
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option of the socket");
        if socket.bind(address).is_ok() {
            return address.to_string().into();
        }
    }
}

fn own_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // Never 127.0.x.y, where other programs and the stand-ins listen.
    Ipv4Addr::new(127, 1 + high % 250, low, 1)
}
