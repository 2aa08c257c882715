//! Client of a stand-in's control endpoints, which set faults and return recorded data.

use mimosabay_http::{Call, Client, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Client of the control endpoints of one stand-in.
#[derive(Clone, Debug)]
pub struct Control {
    address: String,
}

impl Control {
    /// IP number and port of the stand-in.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Creates a client for the stand-in at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
        }
    }

    /// Sets the active faults, such as `json!({ "slow_ms": 50 })`, in place of all earlier ones.
    ///
    /// # Panics
    ///
    /// If the stand-in rejects the faults or cannot be reached.
    pub async fn set_faults(&self, faults: &impl Serialize) {
        let call = Call::put(self.url("faults"));
        self.send(call.json(faults).expect("faults have a JSON form"))
            .await;
    }

    /// Reads `/control/{name}`.
    ///
    /// # Panics
    ///
    /// If the stand-in has no such endpoint, or its body is not a `T`.
    pub async fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        let answer = self.send(Call::get(self.url(name))).await;
        answer.json().expect("a stand-in's record can be read")
    }

    /// Writes a value to `/control/{path}`.
    ///
    /// # Panics
    ///
    /// If the stand-in rejects the call or cannot be reached.
    pub async fn put(&self, path: &str, value: &impl Serialize) {
        let call = Call::put(self.url(path)).json(value);
        self.send(call.expect("the value has a JSON form")).await;
    }

    /// Deletes `/control/{path}`.
    ///
    /// # Panics
    ///
    /// If the stand-in rejects the call or cannot be reached.
    pub async fn delete(&self, path: &str) {
        self.send(Call::delete(self.url(path))).await;
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/control/{path}", self.address)
    }

    async fn send(&self, call: Call) -> Response {
        // A new client opens a new connection, which no fault has silenced.
        let answer = Client::new().call(call).await;
        let answer = answer.unwrap_or_else(|cause| panic!("{}: {cause}", self.address));
        assert!(answer.status.is_success(), "{}", answer.text());
        answer
    }
}

/// Body for `/control/faults` that removes all faults.
pub(crate) fn no_faults() -> Value {
    Value::Object(serde_json::Map::new())
}
