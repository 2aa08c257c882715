//! Mutual challenge-response authentication with a shared secret.
//!
//! Each side sends a random challenge and an HMAC-SHA-256 (RFC 2104) over its role and both
//! challenges. The challenges prevent the replay of a recorded MAC, and the role prevents the
//! reflection of a side's own MAC.

use std::fmt;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Category, Error};

const CHALLENGE_BYTES: usize = 32;
const MAC_BYTES: usize = 32;
/// Timeout of the whole handshake.
const HANDSHAKE_TIMEOUT_MS: u64 = 1_000;

/// The secret that all instances of a site share.
#[derive(Clone)]
pub struct Secret {
    bytes: std::sync::Arc<[u8]>,
}

#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

impl Secret {
    /// Creates a secret from its text in the settings.
    pub fn new(text: &str) -> Self {
        Self {
            bytes: text.as_bytes().into(),
        }
    }

    pub(crate) async fn authenticate_as_client(&self, socket: &mut TcpStream) -> Result<(), Error> {
        with_handshake_timeout(self.client_handshake(socket)).await
    }

    pub(crate) async fn authenticate_as_server(&self, socket: &mut TcpStream) -> Result<(), Error> {
        with_handshake_timeout(self.server_handshake(socket)).await
    }

    async fn client_handshake(&self, socket: &mut TcpStream) -> Result<(), Error> {
        let server_challenge: [u8; CHALLENGE_BYTES] = read_array(socket).await?;
        let client_challenge: [u8; CHALLENGE_BYTES] = rand::random();
        socket
            .write_all(&client_challenge)
            .await
            .map_err(Error::not_sent)?;
        let client_mac = self
            .mac(Role::Client, &server_challenge, &client_challenge)
            .finalize()
            .into_bytes();
        socket
            .write_all(&client_mac)
            .await
            .map_err(Error::not_sent)?;
        let server_mac: [u8; MAC_BYTES] = read_array(socket).await?;
        verify_mac(
            self.mac(Role::Server, &server_challenge, &client_challenge),
            &server_mac,
        )
    }

    async fn server_handshake(&self, socket: &mut TcpStream) -> Result<(), Error> {
        let server_challenge: [u8; CHALLENGE_BYTES] = rand::random();
        socket
            .write_all(&server_challenge)
            .await
            .map_err(Error::not_sent)?;
        let client_challenge: [u8; CHALLENGE_BYTES] = read_array(socket).await?;
        let client_mac: [u8; MAC_BYTES] = read_array(socket).await?;
        verify_mac(
            self.mac(Role::Client, &server_challenge, &client_challenge),
            &client_mac,
        )?;
        let server_mac = self
            .mac(Role::Server, &server_challenge, &client_challenge)
            .finalize()
            .into_bytes();
        socket.write_all(&server_mac).await.map_err(Error::not_sent)
    }

    fn mac(&self, role: Role, server_challenge: &[u8], client_challenge: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.bytes).expect("HMAC takes a key of any length");
        mac.update(role.label());
        mac.update(server_challenge);
        mac.update(client_challenge);
        mac
    }
}

impl Role {
    const fn label(self) -> &'static [u8] {
        match self {
            Role::Client => b"mimosabay client",
            Role::Server => b"mimosabay server",
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

async fn with_handshake_timeout(
    handshake: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake)
        .await
        .unwrap_or_else(|_| Err(Error::not_sent("peer authentication timed out")))
}

async fn read_array<const N: usize>(socket: &mut TcpStream) -> Result<[u8; N], Error> {
    let mut bytes = [0; N];
    socket
        .read_exact(&mut bytes)
        .await
        .map_err(Error::not_sent)?;
    Ok(bytes)
}

fn verify_mac(expected: Hmac<Sha256>, received: &[u8]) -> Result<(), Error> {
    expected.verify_slice(received).map_err(|_| {
        Error::new(
            Category::Unauthenticated,
            "peer authentication failed: the shared secrets differ",
        )
    })
}
