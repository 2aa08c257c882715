//! Admission of calls: turns each admitted call into a request and starts its run.

use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream;
use mimosabay_caller::{AcceptedCall, Call, EventStream, Gateway, Operation};
use mimosabay_core::admission::{self, Admitted, CallTarget};
use mimosabay_core::date::Date;
use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal, Request, Work};
use mimosabay_core::resource::Kind;
use tokio::sync::mpsc;

use crate::budgets;
use crate::clock::unix_ms;
use crate::instance::Instance;
use crate::service_level;
use crate::supervise;

/// Events that are buffered between a run and its caller.
const EVENT_BUFFER: usize = 64;
/// `retry-after` of a refusal because this instance is not ready.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Gateway for the callers of one instance.
pub struct Entry {
    instance: Arc<Instance>,
}

impl Entry {
    /// Builds the gateway of `instance`.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }

    fn admit(&self, call: &Call) -> Result<Admitted, Refusal> {
        let instance = &self.instance;
        if !instance.is_fresh() {
            let refusal = Refusal::not_run(Code::NotReady, "the configuration may be out of date");
            return Err(refusal.retry_after_ms(NOT_READY_RETRY_MS));
        }
        let target = match &call.operation {
            Operation::Generate { model, .. } => CallTarget::Model(model),
            Operation::Plain { method, path, .. } => CallTarget::Plain { method, path },
        };
        let key = call.key_sha256.as_deref();
        let is_keyed = call.idempotency_key.is_some();
        instance.with_config(|config| {
            check_sunset(config.site().and_then(|site| site.sunset_date.as_ref()))?;
            admission::admit(config, key, target, is_keyed)
        })
    }

    fn accept_call(&self, call: Call) -> Result<AcceptedCall, Refusal> {
        let route = self.route(&call.operation);
        let admitted = self.admit(&call).inspect_err(|refusal| {
            self.count_refused(&call, &route, refusal);
        })?;
        let request_id = self.request_id(&call);
        let request = request(call, admitted, request_id.clone());
        let (sender, events) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(supervise::run(
            self.instance.clone(),
            request,
            route,
            sender,
        ));
        Ok(AcceptedCall {
            request_id,
            events: into_stream(events),
        })
    }

    /// The route that a call names; empty if it names an adapter directly.
    fn route(&self, operation: &Operation) -> Name {
        self.instance.with_config(|config| match operation {
            Operation::Generate { model, .. } => match config.route(model) {
                Some(_) => model.clone(),
                None => Name::default(),
            },
            Operation::Plain { path, .. } => {
                let route = config.plain_route(path);
                route.map_or_else(Name::default, |(name, _)| name.clone())
            }
        })
    }

    fn count_refused(&self, call: &Call, route: &Name, refusal: &Refusal) {
        let organisation = self.instance.with_config(|config| {
            let (_, key) = config.key_by_sha256(call.key_sha256.as_deref()?)?;
            Some(key.organisation.clone())
        });
        if let Some(organisation) = organisation {
            service_level::count_refused(&self.instance, &organisation, route, refusal);
        }
    }

    /// Makes a request id that is unique even if callers propose the same id twice, because backend
    /// servers and the journal identify requests by it.
    fn request_id(&self, call: &Call) -> Name {
        let unique: u64 = rand::random();
        match &call.request_id {
            Some(proposed) => format!("{proposed}.{unique:016x}").into(),
            None => format!("{:x}.{unique:016x}", self.instance.id.incarnation).into(),
        }
    }
}

impl Gateway for Entry {
    fn accept(&self, call: Call) -> BoxFuture<'_, Result<AcceptedCall, Refusal>> {
        let accepted = self.accept_call(call);
        if let Err(refusal) = &accepted {
            supervise::log_refused(&self.instance, refusal);
        }
        Box::pin(std::future::ready(accepted))
    }

    fn models(&self, key_sha256: Option<&str>) -> Result<Vec<Name>, Refusal> {
        self.instance.with_config(|config| {
            let mut names: Vec<Name> = [Kind::Adapter, Kind::Route]
                .into_iter()
                .flat_map(|kind| config.of_kind(kind))
                .filter(|(name, _)| {
                    admission::admit(config, key_sha256, CallTarget::Model(name), false).is_ok()
                })
                .map(|(name, _)| name.clone())
                .collect();
            if names.is_empty() {
                // Distinguishes an invalid key from one that may use no model.
                admission::check_key(config, key_sha256)?;
            }
            names.sort();
            Ok(names)
        })
    }

    fn is_ready(&self) -> bool {
        let instance = &self.instance;
        instance.is_fresh() && !instance.is_stopping() && budgets::can_admit_requests(instance)
    }

    fn sunset_date(&self) -> Option<Name> {
        self.instance
            .with_config(|config| config.site()?.sunset_date.clone())
    }
}

fn check_sunset(date: Option<&Name>) -> Result<(), Refusal> {
    let day = date.and_then(|date| Date::parse(date));
    if day.is_some_and(|day| unix_ms() / 1_000 >= day.unix_s()) {
        return Err(Refusal::not_run(Code::Sunset, "the service has ended"));
    }
    Ok(())
}

fn request(call: Call, admitted: Admitted, id: Name) -> Request {
    let work = work(call.operation, &admitted);
    Request {
        id,
        fingerprint: work.fingerprint(),
        organisation: admitted.organisation,
        key: admitted.key,
        pool: admitted.pool,
        retry_safety: admitted.retry_safety,
        idempotency_key: call.idempotency_key,
        timeout_ms: admitted.timeout_ms,
        resume: None,
        work,
    }
}

fn work(operation: Operation, admitted: &Admitted) -> Work {
    match operation {
        Operation::Generate {
            body,
            chat,
            prompt_tokens,
            completion_tokens,
            ..
        } => Work::Generate {
            model: admitted
                .model
                .clone()
                .expect("a generation is admitted with its adapter"),
            body,
            chat,
            prompt_tokens,
            completion_tokens,
        },
        Operation::Plain {
            method,
            path,
            content_type,
            body,
        } => Work::Plain {
            method,
            path,
            content_type,
            body,
        },
    }
}

fn into_stream(events: mpsc::Receiver<mimosabay_core::request::RunEvent>) -> EventStream {
    stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((event, events))
    })
    .boxed()
}
