//! A link between two processes that can be cut or go silent.

use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::wire::Silencer;

/// Passes connections on to an address until it is cut.
#[derive(Debug)]
pub struct Relay {
    /// IP number and port at which it takes connections.
    pub address: String,
    silencer: Silencer,
    state: watch::Sender<LinkState>,
    /// Dropping it closes all connections.
    _task: JoinSet<()>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    /// Everything is passed on.
    Up,
    /// Open connections are closed, and new ones at once.
    Cut,
    /// Nothing is passed on, on open connections and new ones; none is closed.
    Silent,
}

impl Relay {
    /// Takes connections for `target`.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub async fn start(target: impl Into<Arc<str>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let silencer = Silencer::default();
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

    /// Closes the open connections, and new ones at once.
    pub fn cut(&self) {
        self.state.send_replace(LinkState::Cut);
    }

    /// Makes the link silent without closing anything.
    pub fn silence(&self) {
        self.silencer.silence_open();
        self.state.send_replace(LinkState::Silent);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence_open(&self) {
        self.silencer.silence_open();
    }

    /// Passes new connections on again.
    pub fn heal(&self) {
        self.state.send_replace(LinkState::Up);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: Arc<str>,
    silencer: Silencer,
    changes: watch::Receiver<LinkState>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let link = forward(stream, target.clone(), silencer.clone(), changes.clone());
        connections.spawn(link);
    }
}

async fn forward(
    stream: TcpStream,
    target: Arc<str>,
    silencer: Silencer,
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
    // Each part goes on at once, as without a relay.
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let mut downstream = silencer.wrap(stream);
    tokio::select! {
        // A connection that breaks ends on both sides.
        _ = copy_bidirectional(&mut downstream, &mut upstream) => {}
        _ = changes.wait_for(|state| *state == LinkState::Cut) => {}
    }
}
