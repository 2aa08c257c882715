//! A link between two processes that can be cut or go silent.

use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::connection::ConnectionSilencing;

/// Passes connections on to an address until it is cut.
#[derive(Debug)]
pub struct Relay {
    /// IP number and port at which it takes connections.
    pub address: String,
    silencer: ConnectionSilencing,
    state: watch::Sender<State>,
    /// Dropping it closes all connections.
    _task: JoinSet<()>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
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
        let silencer = ConnectionSilencing::default();
        let (state, changes) = watch::channel(State::Up);
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target.into(), silencer.clone(), changes));
        Self {
            address: address.to_string(),
            silencer,
            state,
            _task: task,
        }
    }

    /// Closes the open connections, and new ones at once.
    pub fn cut(&self) {
        self.state.send_replace(State::Cut);
    }

    /// Makes the link silent without closing anything.
    pub fn silence(&self) {
        self.silencer.silence_open();
        self.state.send_replace(State::Silent);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence_open(&self) {
        self.silencer.silence_open();
    }

    /// Passes new connections on again.
    pub fn mend(&self) {
        self.state.send_replace(State::Up);
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<str>,
    silencer: ConnectionSilencing,
    changes: watch::Receiver<State>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let link = pass_on(stream, target.clone(), silencer.clone(), changes.clone());
        connections.spawn(link);
    }
}

async fn pass_on(
    stream: TcpStream,
    target: Arc<str>,
    silencer: ConnectionSilencing,
    mut changes: watch::Receiver<State>,
) {
    let state = *changes.borrow_and_update();
    match state {
        State::Cut => return,
        State::Silent => std::future::pending().await,
        State::Up => {}
    }
    let Ok(mut onward) = TcpStream::connect(&*target).await else {
        return;
    };
    // Each part goes on at once, as without a relay.
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let mut wire = silencer.wrap(stream);
    tokio::select! {
        // A connection that breaks ends on both sides.
        _ = copy_bidirectional(&mut wire, &mut onward) => {}
        _ = changes.wait_for(|state| *state == State::Cut) => {}
    }
}
