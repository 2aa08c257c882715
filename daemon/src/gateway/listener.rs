//! Listens on the addresses of the process, as soon as they are free.
//!
//! An address may be in use for some time: by an earlier process that still ends, or by a connection of
//! another process whose local port it happens to be.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;
use tracing::{info, warn};

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time between two tries, in milliseconds.
const RETRY_PERIOD_MS: u64 = 50;
/// Number of tries between two log lines.
const TRIES_PER_LINE: u64 = 100;

/// Listens on an address; waits until it is free.
pub(super) async fn listen(address: SocketAddr) -> TcpListener {
    let mut tries = 0;
    loop {
        match try_listen(address) {
            Ok(listener) => {
                if tries > 0 {
                    info!(event = "listening", %address, tries);
                }
                return listener;
            }
            Err(cause) if tries % TRIES_PER_LINE == 0 => {
                warn!(event = "listen_failed", %address, tries, %cause);
            }
            Err(_) => {}
        }
        tries += 1;
        sleep(Duration::from_millis(RETRY_PERIOD_MS)).await;
    }
}

fn try_listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
