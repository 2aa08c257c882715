//! Opens connections to backend servers: directly, or through another instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;
use mimosabay_core::rendezvous;
use mimosabay_peer::{ByteStream, Message, NotConnected, Peer, Reply, Responder};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::connection::{self, Connection};
use super::link::{envelope, peer_secret};
use super::request::OpenRequest;
use super::server_links;
use super::state::State;

/// Time after which a connection is also opened through another instance, in milliseconds.
const RELAY_AFTER_MS: u64 = 100;
/// Time limit for a connection through one other instance, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 300;
/// Largest number of instances that are asked for a connection.
const MAX_ASKED: usize = 4;
/// Number of instances that do not reach a server after which no other is asked. A single one may have
/// lost its links and not know it yet.
const MAX_UNREACHED: usize = 2;

/// Why there is no connection through another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotRelayed {
    /// Others do not reach the server either.
    ServerUnreached,
    /// No other instance could try.
    NoInstance,
}

/// The instances through which connections are opened.
#[derive(Default)]
pub(crate) struct Relays {
    peers: Mutex<HashMap<Name, Peer>>,
    /// The one that opened the latest connection.
    preferred: Mutex<Option<Name>>,
}

/// No connection to the server could be opened, so nothing was sent.
pub(super) struct Unreached;

/// Opens a connection to a server.
///
/// # Errors
///
/// The server is reached neither directly nor through another instance.
pub(super) async fn open(state: &Arc<State>, backend: &Backend) -> Result<Connection, Unreached> {
    if state.server_links.are_lost() {
        return relayed(state, backend).await.map_err(|_| Unreached);
    }
    let direct = Connection::open(backend.address);
    tokio::pin!(direct);
    match timeout(Duration::from_millis(RELAY_AFTER_MS), &mut direct).await {
        Ok(Ok(connection)) => {
            state.server_links.record_opened();
            return Ok(connection);
        }
        Ok(Err(_)) => return open_relayed(state, backend).await,
        Err(_) => {}
    }
    tokio::select! {
        biased;
        Ok(connection) = &mut direct => {
            state.server_links.record_opened();
            Ok(connection)
        }
        Ok(connection) = open_relayed(state, backend) => Ok(connection),
        else => Err(Unreached),
    }
}

/// Whether other instances reach a server to which this one cannot open a connection.
pub(super) async fn is_reached_by_others(state: &Arc<State>, backend: &Backend) -> bool {
    match relayed(state, backend).await {
        Ok(_) => {
            server_links::record_unreached(state, backend);
            true
        }
        Err(NotRelayed::ServerUnreached) => false,
        Err(NotRelayed::NoInstance) => state.server_links.are_lost(),
    }
}

/// Whether a server that sent no report is silent or has ended, and is not only out of reach for this
/// instance.
pub(super) async fn is_unresponsive(state: &Arc<State>, backend: &Backend) -> bool {
    let is_connected = connection::connect(backend.address).await.is_ok();
    is_connected || !is_reached_by_others(state, backend).await
}

/// Opens a connection through another instance to a server that is not reached directly.
async fn open_relayed(state: &Arc<State>, backend: &Backend) -> Result<Connection, Unreached> {
    let relayed = relayed(state, backend).await;
    if relayed.as_ref().err() != Some(&NotRelayed::ServerUnreached) {
        server_links::record_unreached(state, backend);
    }
    relayed.map_err(|_| Unreached)
}

/// Opens a connection through the first of some instances that reaches the server.
async fn relayed(state: &State, backend: &Backend) -> Result<Connection, NotRelayed> {
    let mut unreached = 0;
    for address in candidates(state) {
        let limit = Duration::from_millis(RELAY_TIMEOUT_MS);
        let opened = timeout(limit, open_through(state, &address, backend)).await;
        match opened {
            Ok(Ok(bytes)) => {
                debug!(event = "connection_relayed", server = %backend.id, instance = %address);
                state.relays.set_preferred(Some(address));
                return Connection::over(bytes)
                    .await
                    .map_err(|_| NotRelayed::NoInstance);
            }
            // A server that another instance does not know has ended, or has just started.
            Ok(Err(Some(NotConnected::Refused | NotConnected::Silent | NotConnected::Unknown))) => {
                unreached += 1;
            }
            Ok(Err(Some(NotConnected::Unavailable) | None)) | Err(_) => {}
        }
        state.relays.set_preferred(None);
        if unreached == MAX_UNREACHED {
            break;
        }
    }
    Err(if unreached > 0 {
        NotRelayed::ServerUnreached
    } else {
        NotRelayed::NoInstance
    })
}

/// Whether bytes of a request may not pass through every other instance: some requests may only be sent
/// to certain regions, and the regions of other instances are not known.
fn must_stay_in_region(state: &State) -> bool {
    let settings = state.settings();
    let mut regions = settings.regions.values();
    let first = regions.next();
    let has_several = regions.any(|region| Some(region) != first);
    has_several && state.site().is_some_and(|site| site.has_homes())
}

/// Returns the instances to ask, the best one first.
fn candidates(state: &State) -> Vec<Name> {
    if must_stay_in_region(state) {
        return Vec::new();
    }
    let mut addresses = state.members.addresses();
    addresses.retain(|address| address != state.link.own_address());
    let preferred = state.relays.preferred();
    let own = state.incarnation.to_string();
    addresses.sort_by_cached_key(|address| {
        let is_other = Some(address) != preferred.as_ref();
        (is_other, rendezvous::weight(address, &own))
    });
    addresses.truncate(MAX_ASKED);
    addresses
}

/// Asks an instance for a connection. Its reason is `None` if it did not answer.
async fn open_through(
    state: &State,
    address: &Name,
    backend: &Backend,
) -> Result<ByteStream, Option<NotConnected>> {
    let message = Message::OpenConnection {
        server: backend.id.clone(),
        boot: backend.started_unix_ms,
    };
    let peer = state.relays.peer(address);
    let replies = peer.call_streaming(&envelope(state, message)).await;
    let mut replies = replies.map_err(|_| None)?;
    match replies.next().await {
        Ok(Some(Reply::Connected)) => Ok(replies.into_bytes()),
        Ok(Some(Reply::NotConnected(reason))) => Err(Some(reason)),
        _ => Err(None),
    }
}

impl Relays {
    fn peer(&self, address: &Name) -> Peer {
        let mut peers = self.peers.lock().expect("relays lock");
        let new_peer = || Peer::new(&**address, peer_secret());
        peers
            .entry(address.clone())
            .or_insert_with(new_peer)
            .clone()
    }

    fn preferred(&self) -> Option<Name> {
        self.preferred.lock().expect("relays lock").clone()
    }

    fn set_preferred(&self, address: Option<Name>) {
        *self.preferred.lock().expect("relays lock") = address;
    }

    /// Removes the clients of instances that are gone.
    pub(crate) fn retain(&self, members: &[Name]) {
        let mut peers = self.peers.lock().expect("relays lock");
        peers.retain(|address, _| members.contains(address));
    }
}

/// Opens a connection to a server for another instance, and copies bytes until one side closes it.
pub(crate) async fn serve(state: Arc<State>, server: Name, boot: u64, responder: Responder) {
    // A planned stop waits for the connection.
    let _open = OpenRequest::new(&state);
    let mut socket = match connect_for_other(&state, &server, boot).await {
        Ok(socket) => socket,
        Err(reason) => {
            let reply = Reply::NotConnected(reason);
            if let Err(cause) = responder.finish(&reply).await {
                debug!(event = "peer_left", %cause);
            }
            return;
        }
    };
    let copied = match responder.into_bytes(&Reply::Connected).await {
        Ok(mut bytes) => copy_bidirectional(&mut bytes, &mut socket).await,
        Err(cause) => return debug!(event = "peer_left", %cause),
    };
    // Either side may break the connection, which the other instance notices.
    if let Err(cause) = copied {
        debug!(event = "relayed_connection_broke", %server, %cause);
    }
}

async fn connect_for_other(
    state: &Arc<State>,
    server: &str,
    boot: u64,
) -> Result<TcpStream, NotConnected> {
    if state.server_links.are_lost() || state.is_stopping() {
        return Err(NotConnected::Unavailable);
    }
    let backend = state.backend(server);
    let backend = backend.filter(|backend| backend.started_unix_ms == boot);
    let backend = backend.ok_or(NotConnected::Unknown)?;
    let connected = connection::connect(backend.address).await;
    match &connected {
        Ok(_) => state.server_links.record_opened(),
        Err(_) => server_links::start_check(state),
    }
    connected.map_err(|cause| match cause.kind() {
        std::io::ErrorKind::ConnectionRefused => NotConnected::Refused,
        _ => NotConnected::Silent,
    })
}
