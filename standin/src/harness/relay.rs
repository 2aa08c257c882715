//! A TCP relay that can cut or silence the connections between two processes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::connection::ConnectionSilencing;

/// Time between two attempts to reach a target that refuses connections, in milliseconds.
const RETRY_MS: u64 = 20;
/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time after which a connection that is not open shows that the queue is full, in milliseconds.
const FULL_AFTER_MS: u64 = 20;

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
    /// Open connections are closed, and new ones are refused.
    Refusing,
    /// Open connections go on, and new ones are refused.
    RefusingNew,
    /// No data is forwarded, and connections cannot be opened, as behind a partition.
    Partitioned,
}

impl LinkState {
    /// Whether open connections are closed.
    fn closes_connections(self) -> bool {
        matches!(self, Self::Cut | Self::Refusing)
    }
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

    /// Closes all open connections, and refuses new ones.
    pub fn refuse(&self) {
        self.state.send_replace(LinkState::Refusing);
    }

    /// Refuses new connections; open ones go on.
    pub fn refuse_new(&self) {
        self.state.send_replace(LinkState::RefusingNew);
    }

    /// Stops forwarding data without closing any connection, and lets nobody open a new one.
    pub fn partition(&self) {
        self.silencer.silence_open();
        self.state.send_replace(LinkState::Partitioned);
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.state.send_replace(LinkState::Up);
    }
}

/// Accepts connections, and refuses them while the target does.
async fn accept_connections(
    listener: TcpListener,
    target: Arc<str>,
    silencer: ConnectionSilencing,
    mut changes: watch::Receiver<LinkState>,
) {
    let address: SocketAddr = listener.local_addr().expect("a listener has an address");
    let mut entrance = Entrance::Open(listener);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            stream = entrance.accept() => {
                let link = forward(stream, target.clone(), silencer.clone(), changes.clone());
                connections.spawn(link);
            }
            // The target may have ended with the link.
            Some(_) = connections.join_next() => {
                let is_open = matches!(entrance, Entrance::Open(_));
                if is_open && refuses_connections(&target).await {
                    drop(entrance);
                    entrance = Entrance::Open(listen_again(address, &target).await);
                }
            }
            Ok(()) = changes.changed() => {
                let state = *changes.borrow_and_update();
                entrance = entrance.change(state, address).await;
            }
        }
    }
}

/// How a relay meets new connections.
enum Entrance {
    /// It accepts them.
    Open(TcpListener),
    /// It refuses them.
    Closed,
    /// They hang, because the queue of the listener is full.
    Full {
        _listener: TcpListener,
        _queued: Vec<TcpStream>,
    },
}

impl Entrance {
    async fn accept(&self) -> TcpStream {
        if let Self::Open(listener) = self {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    return stream;
                }
            }
        }
        std::future::pending().await
    }

    async fn change(self, state: LinkState, address: SocketAddr) -> Self {
        match (state, self) {
            (LinkState::Up | LinkState::Cut | LinkState::Silent, Self::Open(listener)) => {
                Self::Open(listener)
            }
            (LinkState::Up | LinkState::Cut | LinkState::Silent, before) => {
                drop(before);
                Self::Open(listen(address, BACKLOG).await)
            }
            (LinkState::Refusing | LinkState::RefusingNew, _) => Self::Closed,
            (LinkState::Partitioned, before) => {
                drop(before);
                Self::full(address).await
            }
        }
    }

    async fn full(address: SocketAddr) -> Self {
        let listener = listen(address, 0).await;
        let mut queued = Vec::new();
        let limit = Duration::from_millis(FULL_AFTER_MS);
        while let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(address)).await {
            queued.push(stream);
        }
        Self::Full {
            _listener: listener,
            _queued: queued,
        }
    }
}

async fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        // The port may be in use for a moment.
        if socket.bind(address).is_ok()
            && let Ok(listener) = socket.listen(backlog)
        {
            return listener;
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn refuses_connections(target: &str) -> bool {
    let connected = TcpStream::connect(target).await;
    connected.is_err_and(|cause| cause.kind() == ErrorKind::ConnectionRefused)
}

/// Listens on the address again once the target accepts connections.
async fn listen_again(address: SocketAddr, target: &str) -> TcpListener {
    loop {
        sleep(Duration::from_millis(RETRY_MS)).await;
        if !refuses_connections(target).await {
            return listen(address, BACKLOG).await;
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
        LinkState::Cut | LinkState::Refusing | LinkState::RefusingNew => return,
        LinkState::Silent | LinkState::Partitioned => std::future::pending().await,
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
        _ = changes.wait_for(|state| state.closes_connections()) => {}
    }
}
