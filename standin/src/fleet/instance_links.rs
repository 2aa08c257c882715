//! Links from single instances to the servers, which can be lost while those of others are sound.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use tokio::net::TcpListener;

use super::server::FleetServer;
use super::store::FleetStore;
use crate::harness::Relay;
use crate::reply::Reply;
use crate::server::{self, Call, ConnectionFaults, Service};

/// How an instance loses its links to the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Connections go on, and new ones are refused.
    NewRefused,
    /// Connections hang, and new ones cannot be opened.
    Hang,
}

/// The links of one instance, each through a relay. The instance reads the addresses of the relays from a
/// store of its own, which is otherwise the store of the site.
#[derive(Debug)]
pub struct InstanceLinks {
    relays: Vec<Relay>,
}

/// The store as one instance sees it.
#[derive(Clone, Debug)]
struct InstanceStore {
    store: FleetStore,
    /// Addresses of relays by those of the servers.
    addresses: Arc<Mutex<BTreeMap<String, String>>>,
}

impl InstanceLinks {
    /// Starts a relay to each server, and a store on a listener that names them.
    pub(super) async fn start<'a>(
        store: &FleetStore,
        listener: TcpListener,
        servers: impl Iterator<Item = &'a FleetServer>,
    ) -> Self {
        let mut relays = Vec::new();
        let mut addresses = BTreeMap::new();
        for server in servers {
            let address = server.registered_address().to_string();
            let relay = Relay::start(address.clone()).await;
            addresses.insert(address, relay.address.clone());
            relays.push(relay);
        }
        let store = InstanceStore {
            store: store.clone(),
            addresses: Arc::new(Mutex::new(addresses)),
        };
        tokio::spawn(server::serve(listener, store));
        Self { relays }
    }

    /// Loses the links to all servers.
    pub fn lose(&self, loss: LinkLoss) {
        for relay in &self.relays {
            match loss {
                LinkLoss::Reset => relay.refuse(),
                LinkLoss::NewRefused => relay.refuse_new(),
                LinkLoss::Hang => relay.partition(),
            }
        }
    }

    /// Restores the links.
    pub fn heal(&self) {
        for relay in &self.relays {
            relay.heal();
        }
    }
}

impl InstanceStore {
    fn with_relays(&self, body: &[u8]) -> Bytes {
        let mut text = String::from_utf8_lossy(body).into_owned();
        for (server, relay) in self.addresses.lock().expect("addresses lock").iter() {
            text = text.replace(&format!("\"{server}\""), &format!("\"{relay}\""));
        }
        text.into()
    }
}

impl Service for InstanceStore {
    fn connection_faults(&self) -> &ConnectionFaults {
        self.store.connection_faults()
    }

    async fn handle(&self, call: Call) -> Reply {
        let (parts, body) = self.store.handle(call).await?.into_parts();
        let body = self.with_relays(&body.collect().await?.to_bytes());
        let body = Full::new(body).map_err(|never| match never {});
        Ok(http::Response::from_parts(parts, body.boxed()))
    }
}
