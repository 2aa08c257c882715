//! Client for one engine.

use http::StatusCode;
use mimosabay_core::name::Name;
use mimosabay_http::{Call, Client, Response};
use serde_json::Value;

use crate::FENCING_HEADER;
use crate::error::{Category, Error};
use crate::generation::Generation;
use crate::order::{GenerateOrder, LoadOrder, LoadReport, UnloadOrder};

/// Time that loading an adapter may take.
const LOAD_TIMEOUT_MS: u64 = 20_000;
/// Time that a report or a cancellation may take.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// A client for one engine. Cloning it shares the connections.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    base_url: Name,
}

impl Engine {
    /// Builds a client for the engine at `address`, an IP number and port.
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
        let answer = self.client.call(call.timeout_ms(LOAD_TIMEOUT_MS)).await?;
        expect_ok(&answer).map(|_| ())
    }

    /// Frees the slot of an adapter. A handle that is not loaded is no error.
    ///
    /// # Errors
    ///
    /// [`Category::StaleFencing`], or a failed call.
    pub async fn unload(&self, order: &UnloadOrder) -> Result<(), Error> {
        let call = self
            .order_call("unload_lora_adapter", order.fencing)
            .json(order)?;
        let answer = self.client.call(call.timeout_ms(REPORT_TIMEOUT_MS)).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => expect_ok(&answer).map(|_| ()),
        }
    }

    /// Raises the fencing number that the engine accepts.
    ///
    /// # Errors
    ///
    /// [`Category::StaleFencing`] if it has accepted a larger one, or a failed call.
    pub async fn raise_fencing(&self, fencing: u64) -> Result<(), Error> {
        // No adapter has an empty name, so that the order does nothing but carry the number.
        let order = UnloadOrder {
            handle: "".into(),
            fencing,
        };
        self.unload(&order).await
    }

    /// Reads the engine's report of itself.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn fetch_report(&self) -> Result<LoadReport, Error> {
        let call = Call::get(format!("{}/load", self.base_url)).timeout_ms(REPORT_TIMEOUT_MS);
        Ok(expect_ok(&self.client.call(call).await?)?.json()?)
    }

    /// Starts generating; the parts are read from the returned value.
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
        let answer = self
            .client
            .stream(call.timeout_ms(order.timeout_ms))
            .await?;
        Generation::open(answer).await
    }

    /// Cancels a run. A run that has ended is no error.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn cancel(&self, request_id: &str) -> Result<(), Error> {
        let call = Call::post(format!("{}/v1/requests/{request_id}/cancel", self.base_url));
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
            "the body is not a JSON object",
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

fn expect_ok(answer: &Response) -> Result<&Response, Error> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    Err(Error::from_status(answer.status, &answer.text()))
}
