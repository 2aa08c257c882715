//! A TCP relay that can cut or silence the connections between two processes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::connection::ConnectionSilencing;

/// Time between two attempts to reach a target that refuses connections, in milliseconds.
const RETRY_MS: u64 = 20;

/// Forwards connections to a target address, unless the link is cut or silent. Refuses connections
/// while the target does, once an open one has ended.
#[derive(Debug)]
pub struct Relay {
    /// IP number and port on which the relay listens.
    pub address: String,
    silencer: ConnectionSilencing,
    state: watch::Sender<LinkState>,
    /// Dropping it closes all connections.
    _task: JoinSet<()>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    /// All data is forwarded.
    Up,
    /// Open connections are closed, and new ones are closed on arrival.
    Cut,
    /// Open and new connections stay open, and no data is forwarded.
    Silent,
}

impl Relay {
    /// Listens on a free port of loopback and forwards connections to `target`.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub async fn start(target: impl Into<Arc<str>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let silencer = ConnectionSilencing::default();
        let (state, changes) = watch::channel(LinkState::Up);
        let mut task = JoinSet::new();
        task.spawn(accept_connections(
            listener,
            target.into(),
            silencer.clone(),
            changes,
        ));
        Self {
            address: address.to_string(),
            silencer,
            state,
            _task: task,
        }
    }

    /// Closes all open connections, and new ones on arrival.
    pub fn cut(&self) {
        self.state.send_replace(LinkState::Cut);
    }

    /// Stops forwarding data without closing any connection.
    pub fn silence(&self) {
        self.silencer.silence_open();
        self.state.send_replace(LinkState::Silent);
    }

    /// Permanently silences the connections that are open now; new ones are forwarded.
    pub fn silence_open(&self) {
        self.silencer.silence_open();
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.state.send_replace(LinkState::Up);
    }
}

/// Accepts connections, and refuses them while the target does.
async fn accept_connections(
    mut listener: TcpListener,
    target: Arc<str>,
    silencer: ConnectionSilencing,
    changes: watch::Receiver<LinkState>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let link = forward(stream, target.clone(), silencer.clone(), changes.clone());
                connections.spawn(link);
            }
            // The target may have ended with the link.
            Some(_) = connections.join_next() => {
                if refuses_connections(&target).await {
                    listener = listen_again(listener, &target).await;
                }
            }
        }
    }
}

async fn refuses_connections(target: &str) -> bool {
    let connected = TcpStream::connect(target).await;
    connected.is_err_and(|cause| cause.kind() == ErrorKind::ConnectionRefused)
}

/// Closes the listener, and listens on its address again once the target accepts connections.
async fn listen_again(listener: TcpListener, target: &str) -> TcpListener {
    let address: SocketAddr = listener.local_addr().expect("a listener has an address");
    drop(listener);
    loop {
        sleep(Duration::from_millis(RETRY_MS)).await;
        if refuses_connections(target).await {
            continue;
        }
        // The port may be in use for a moment.
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
    }
}

async fn forward(
    stream: TcpStream,
    target: Arc<str>,
    silencer: ConnectionSilencing,
    mut changes: watch::Receiver<LinkState>,
) {
    let state = *changes.borrow_and_update();
    match state {
        LinkState::Cut => return,
        LinkState::Silent => std::future::pending().await,
        LinkState::Up => {}
    }
    let Ok(mut upstream) = TcpStream::connect(&*target).await else {
        return;
    };
    // Without Nagle's algorithm, so that the relay adds no delay to small writes.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let mut downstream = silencer.wrap(stream);
    tokio::select! {
        // An error on one side closes both.
        _ = copy_bidirectional(&mut downstream, &mut upstream) => {}
        _ = changes.wait_for(|state| *state == LinkState::Cut) => {}
    }
}
