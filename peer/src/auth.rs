//! Mutual proof that both sides know the shared secret.
//!
//! Each side sends a random challenge and answers the other's with HMAC-SHA-256 (RFC 2104) over
//! its role and both challenges, so that neither a recorded answer nor one's own answer sent back
//! is accepted.

use std::fmt;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Category, Error};

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
/// Time that the whole exchange may take.
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
    /// Takes the secret from the settings.
    pub fn new(text: &str) -> Self {
        Self {
            bytes: text.as_bytes().into(),
        }
    }

    pub(crate) async fn prove_as_client(&self, socket: &mut TcpStream) -> Result<(), Error> {
        bounded(self.client_exchange(socket)).await
    }

    pub(crate) async fn prove_as_server(&self, socket: &mut TcpStream) -> Result<(), Error> {
        bounded(self.server_exchange(socket)).await
    }

    async fn client_exchange(&self, socket: &mut TcpStream) -> Result<(), Error> {
        let theirs: [u8; CHALLENGE_BYTES] = read(socket).await?;
        let ours: [u8; CHALLENGE_BYTES] = rand::random();
        socket.write_all(&ours).await.map_err(Error::not_sent)?;
        let proof = self
            .mac(Role::Client, &theirs, &ours)
            .finalize()
            .into_bytes();
        socket.write_all(&proof).await.map_err(Error::not_sent)?;
        let answer: [u8; PROOF_BYTES] = read(socket).await?;
        check(self.mac(Role::Server, &theirs, &ours), &answer)
    }

    async fn server_exchange(&self, socket: &mut TcpStream) -> Result<(), Error> {
        let ours: [u8; CHALLENGE_BYTES] = rand::random();
        socket.write_all(&ours).await.map_err(Error::not_sent)?;
        let theirs: [u8; CHALLENGE_BYTES] = read(socket).await?;
        let answer: [u8; PROOF_BYTES] = read(socket).await?;
        check(self.mac(Role::Client, &ours, &theirs), &answer)?;
        let proof = self
            .mac(Role::Server, &ours, &theirs)
            .finalize()
            .into_bytes();
        socket.write_all(&proof).await.map_err(Error::not_sent)
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

async fn bounded(exchange: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), exchange)
        .await
        .unwrap_or_else(|_| Err(Error::not_sent("no proof within the timeout")))
}

async fn read<const N: usize>(socket: &mut TcpStream) -> Result<[u8; N], Error> {
    let mut bytes = [0; N];
    socket
        .read_exact(&mut bytes)
        .await
        .map_err(Error::not_sent)?;
    Ok(bytes)
}

fn check(mac: Hmac<Sha256>, proof: &[u8]) -> Result<(), Error> {
    mac.verify_slice(proof).map_err(|_| {
        Error::new(
            Category::Unauthenticated,
            "the other side has another secret",
        )
    })
}
