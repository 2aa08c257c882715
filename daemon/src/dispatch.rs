//! Sends a request to a backend server and forwards its answer.

use std::sync::Arc;

use mimosabay_backend::{
    Category, Error, GenerateOrder, Generation, Part, PlainCall, PlainService,
};
use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Ran, Refusal, Request, RunEvent, Usage, Work};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::instance::Instance;
use crate::owner::OwnedServer;
use crate::takeover;

/// `retry-after` of a refusal after a failure of a backend server.
const RETRY_AFTER_MS: u64 = 500;
/// Time within which an engine has to send the head of its answer. Engines send it at once,
/// before they process the prompt, so an engine that does not is unresponsive.
const HEAD_TIMEOUT_MS: u64 = 2_000;

/// A generation to send to an engine.
#[derive(Clone, Copy)]
pub struct Order<'a> {
    /// The request, whose work is a generation.
    pub request: &'a Request,
    /// Handle of the loaded adapter.
    pub handle: &'a Name,
    /// Priority at the engine.
    pub priority: i32,
    /// Monotonic time at which the generation is aborted, in milliseconds.
    pub deadline_ms: u64,
}

/// Sends a generation to the engine and forwards the generated text.
///
/// # Errors
///
/// A refusal that says whether the server may have run the request.
pub async fn generate(
    instance: &Arc<Instance>,
    server: &OwnedServer,
    order: &Order<'_>,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let Order {
        request,
        handle,
        priority,
        deadline_ms,
    } = *order;
    let Work::Generate { body, chat, .. } = &request.work else {
        unreachable!("only generations have a handle");
    };
    let order = GenerateOrder {
        handle: handle.clone(),
        fencing: server.fencing(),
        request_id: request.id.clone(),
        body: body.clone(),
        chat: *chat,
        priority,
        resume_text: request
            .resume
            .as_ref()
            .map(|resume| resume.text.clone())
            .unwrap_or_default(),
        timeout_ms: deadline_ms
            .saturating_sub(instance.now_ms())
            .min(HEAD_TIMEOUT_MS),
    };
    let started = server.engine.generate(&order).await;
    if let Err(cause) = &started
        && cause.classify() == Category::StaleFencing
    {
        takeover::invalidate_claim(server, order.fencing).await;
    }
    let mut generation = started.map_err(|cause| to_refusal(&cause))?;
    // A disconnected receiver is handled by its own side.
    let _ = sender
        .send(RunEvent::Started {
            handle: handle.clone(),
        })
        .await;
    let offset = request.resume.as_ref().map_or(0, |resume| resume.offset);
    let forwarding = forward_parts(&mut generation, handle, offset, sender);
    match timeout_at(instance.clock.instant(deadline_ms), forwarding).await {
        Ok(result) => result.map_err(|cause| to_refusal_after_start(&cause)),
        Err(_) => Err(Refusal {
            ran: Ran::Yes,
            ..timeout_refusal()
        }),
    }
}

/// Calls a plain service and forwards its answer.
///
/// # Errors
///
/// A refusal that says whether the service may have run the call.
pub async fn call_plain_service(
    instance: &Arc<Instance>,
    server: &Name,
    request: &Request,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let Work::Plain {
        method,
        path,
        content_type,
        body,
    } = &request.work
    else {
        unreachable!("only plain calls are sent to plain services");
    };
    let address = instance.with_config(|config| Some(config.server(server)?.address.clone()));
    let Some(address) = address else {
        return Err(Refusal::not_run(Code::NoServer, "no such backend server"));
    };
    let call = PlainCall {
        method: method.clone(),
        path: path.clone(),
        content_type: content_type.clone(),
        body: body.clone(),
        request_id: request.id.clone(),
        timeout_ms: deadline_ms.saturating_sub(instance.now_ms()),
    };
    let service = PlainService::new(instance.http.clone(), &address);
    let answer = service
        .call(call)
        .await
        .map_err(|cause| to_refusal(&cause))?;
    let count = answer.body.len() as u64;
    let head = RunEvent::Head {
        status: answer.status,
        content_type: answer.content_type,
    };
    let chunk = RunEvent::Chunk {
        offset: 0,
        count,
        data: answer.body.to_vec(),
    };
    for event in [head, chunk] {
        let _ = sender.send(event).await;
    }
    Ok(Usage::default())
}

async fn forward_parts(
    generation: &mut Generation,
    handle: &Name,
    mut offset: u64,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Error> {
    loop {
        let part = generation.next().await?;
        if generation.handle() != Some(handle) {
            return Err(generation.wrong_handle_error());
        }
        match part {
            Part::Text { tokens, text } => {
                let chunk = RunEvent::Chunk {
                    offset,
                    count: tokens,
                    data: text.into_bytes(),
                };
                offset += tokens;
                let _ = sender.send(chunk).await;
            }
            Part::End { usage } => return Ok(usage),
        }
    }
}

fn to_refusal(cause: &Error) -> Refusal {
    let code = match cause.classify() {
        Category::Rejected => Code::BadRequest,
        Category::NotLoaded | Category::LoadFailed | Category::NoSlot => Code::LoadFailed,
        Category::NotSent => Code::NoServer,
        Category::StaleFencing => Code::NotOwner,
        Category::Interrupted | Category::Timeout | Category::Protocol => Code::BackendFailed,
    };
    let refusal = Refusal::not_run(code, cause.to_string()).retry_after_ms(RETRY_AFTER_MS);
    Refusal {
        ran: cause.ran(),
        ..refusal
    }
}

fn to_refusal_after_start(cause: &Error) -> Refusal {
    Refusal {
        ran: Ran::Yes,
        code: Code::BackendFailed,
        ..to_refusal(cause)
    }
}

fn timeout_refusal() -> Refusal {
    Refusal::not_run(Code::Timeout, "the deadline passed").retry_after_ms(RETRY_AFTER_MS)
}
