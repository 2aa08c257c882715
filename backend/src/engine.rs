//! Client for an engine.

use http::StatusCode;
use mimosabay_core::name::Name;
use mimosabay_http::{Call, Client, Response, Url};
use serde_json::Value;

use crate::FENCING_HEADER;
use crate::error::{Category, Error};
use crate::generation::Generation;
use crate::order::{GenerateOrder, LoadOrder, LoadReport, UnloadOrder};

/// Timeout of loading an adapter.
const LOAD_TIMEOUT_MS: u64 = 20_000;
/// Timeout of unloading an adapter, of a load report and of a cancellation.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// A client for one engine. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    base_url: Name,
}

impl Engine {
    /// Creates a client for the engine at `address`, written as `IP:PORT`.
    pub fn new(client: Client, address: &str) -> Self {
        Self {
            client,
            base_url: format!("http://{address}").into(),
        }
    }

    /// Loads an adapter.
    ///
    /// # Errors
    ///
    /// [`Category::StaleFencing`], [`Category::NoSlot`], [`Category::LoadFailed`], or a failed call.
    pub async fn load(&self, order: &LoadOrder) -> Result<(), Error> {
        let call = self
            .order_call("load_lora_adapter", order.fencing)
            .json(order)?;
        let response = self.client.call(call.timeout_ms(LOAD_TIMEOUT_MS)).await?;
        expect_ok(&response).map(|_| ())
    }

    /// Unloads an adapter and frees its slot. Succeeds if the handle is not loaded.
    ///
    /// # Errors
    ///
    /// [`Category::StaleFencing`], or a failed call.
    pub async fn unload(&self, order: &UnloadOrder) -> Result<(), Error> {
        let call = self
            .order_call("unload_lora_adapter", order.fencing)
            .json(order)?;
        let response = self.client.call(call.timeout_ms(REPORT_TIMEOUT_MS)).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => expect_ok(&response).map(|_| ()),
        }
    }

    /// Raises the fencing number that the engine accepts.
    ///
    /// # Errors
    ///
    /// [`Category::StaleFencing`] if the engine has accepted a larger number, or a failed call.
    pub async fn raise_fencing(&self, fencing: u64) -> Result<(), Error> {
        // No adapter has an empty name, so the order has no effect except for its fencing number.
        let order = UnloadOrder {
            handle: "".into(),
            fencing,
        };
        self.unload(&order).await
    }

    /// Fetches the load report of the engine.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn fetch_report(&self) -> Result<LoadReport, Error> {
        let call = Call::get(format!("{}/load", self.base_url)).timeout_ms(REPORT_TIMEOUT_MS);
        Ok(expect_ok(&self.client.call(call).await?)?.json()?)
    }

    /// Starts a generation and returns the stream of its parts.
    ///
    /// # Errors
    ///
    /// [`Category::NotLoaded`] or [`Category::Rejected`] if nothing ran, or a failed call.
    pub async fn generate(&self, order: &GenerateOrder) -> Result<Generation, Error> {
        let path = if order.chat {
            "chat/completions"
        } else {
            "completions"
        };
        let body = completion_body(order)?;
        let call = Call::post(format!("{}/v1/{path}", self.base_url))
            .header("x-request-id", &order.request_id)
            .header(FENCING_HEADER, &order.fencing.to_string())
            .json(&body)?;
        let response = self
            .client
            .stream(call.timeout_ms(order.timeout_ms))
            .await?;
        Generation::open(response).await
    }

    /// Cancels a run. Succeeds if the run has already ended.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn cancel(&self, request_id: &str) -> Result<(), Error> {
        let url = Url::new(format!("{}/v1/requests", self.base_url));
        let call = Call::post(url.segment(request_id).segment("cancel"));
        self.client.call(call.timeout_ms(REPORT_TIMEOUT_MS)).await?;
        Ok(())
    }

    fn order_call(&self, action: &str, fencing: u64) -> Call {
        Call::post(format!("{}/v1/{action}", self.base_url))
            .header(FENCING_HEADER, &fencing.to_string())
    }
}

fn completion_body(order: &GenerateOrder) -> Result<Value, Error> {
    let mut body: Value =
        serde_json::from_str(&order.body).map_err(|cause| Error::new(Category::Rejected, cause))?;
    let Some(fields) = body.as_object_mut() else {
        return Err(Error::new(
            Category::Rejected,
            "request body is not a JSON object",
        ));
    };
    fields.insert("model".into(), (&*order.handle).into());
    fields.insert("stream".into(), true.into());
    fields.insert("priority".into(), order.priority.into());
    if !order.resume_text.is_empty() {
        fields.insert("resume_text".into(), order.resume_text.as_str().into());
    }
    Ok(body)
}

fn expect_ok(response: &Response) -> Result<&Response, Error> {
    if response.status.is_success() {
        return Ok(response);
    }
    Err(Error::from_status(response.status, &response.text()))
}
