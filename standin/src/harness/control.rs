//! Fault orders to a stand-in and what it recorded.

use mimosabay_http::{Call, Client, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The control side of one stand-in.
#[derive(Clone, Debug)]
pub struct Control {
    address: String,
}

impl Control {
    /// IP number and port of the stand-in.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The control side of the stand-in at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
        }
    }

    /// Sends a fault order, such as `json!({ "slow_ms": 50 })`. It replaces the one before.
    ///
    /// # Panics
    ///
    /// If the stand-in does not know such a fault.
    pub async fn set_faults(&self, faults: &impl Serialize) {
        let call = Call::put(self.url("faults"));
        self.send(call.json(faults).expect("faults have a JSON form"))
            .await;
    }

    /// Reads what the stand-in tells at `/control/{name}`.
    ///
    /// # Panics
    ///
    /// If the stand-in tells nothing of the kind.
    pub async fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        let answer = self.send(Call::get(self.url(name))).await;
        answer.json().expect("a stand-in's record can be read")
    }

    /// Writes a value to `/control/{path}`.
    ///
    /// # Panics
    ///
    /// If the stand-in does not accept it.
    pub async fn put(&self, path: &str, value: &impl Serialize) {
        let call = Call::put(self.url(path)).json(value);
        self.send(call.expect("the value has a JSON form")).await;
    }

    /// Deletes `/control/{path}`.
    ///
    /// # Panics
    ///
    /// If the stand-in does not accept it.
    pub async fn delete(&self, path: &str) {
        self.send(Call::delete(self.url(path))).await;
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/control/{path}", self.address)
    }

    async fn send(&self, call: Call) -> Response {
        // A connection of its own, which no fault has made silent.
        let answer = Client::new().call(call).await;
        let answer = answer.unwrap_or_else(|cause| panic!("{}: {cause}", self.address));
        assert!(answer.status.is_success(), "{}", answer.text());
        answer
    }
}

/// An order that takes all faults back.
pub(crate) fn no_faults() -> Value {
    Value::Object(serde_json::Map::new())
}
