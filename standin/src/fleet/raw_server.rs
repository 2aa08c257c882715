//! Servers whose answers are written byte by byte, as no HTTP library would send them.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use super::server::FleetServer;

/// Size of the buffer for a request, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Replaces servers by one that passes each connection to `answer`, with the identifier of its first request.
pub async fn replace_by_raw_server<A, F>(servers: &[FleetServer], answer: A)
where
    A: Fn(TcpStream, String) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                if let Some(id) = read_request_id(&mut socket).await {
                    answer(socket, id).await;
                }
            });
        }
    });
    for server in servers {
        server.register_at(address);
        server.crash();
    }
}

/// Reads the first request of a connection; returns its identifier, if it has one.
async fn read_request_id(socket: &mut TcpStream) -> Option<String> {
    let mut request = vec![0; BUFFER_BYTES];
    let length = socket.read(&mut request).await.ok()?;
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let (_, rest) = request.split_once("x-attempt-id: ")?;
    let (id, _) = rest.split_once('\r')?;
    Some(id.to_owned())
}
