//! Admission of one request of a caller.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;
use mimosabay_core::prompt::Prompt;
use mimosabay_core::site::{self, Denied, Organisation, RetrySafety, Route, Service, Site};
use mimosabay_core::work::Work;
use mimosabay_platform::ingress::{self, ForwardOptions};
use tokio::time::timeout;
use tracing::{info, warn};

use super::activity::Activity;
use super::answer::{Answer, OwnAnswer, close_connection_after};
use super::engine_request;
use super::exchange::Outgoing;
use super::plain_request;
use super::state::{Phase, State};

/// Retry delay for callers of an instance that is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 300;
/// Retry delay for callers that have to use another instance, in milliseconds.
const OTHER_INSTANCE_RETRY_MS: u64 = 20;
/// Time within which a body must have arrived if its caller sets no shorter deadline, in
/// milliseconds.
const MAX_BODY_MS: u64 = 30_000;

/// An admitted request, which may be sent to a server.
pub(crate) struct Job {
    /// Identifier set by the caller.
    pub(crate) id: Name,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hash of path, organisation and body. A retry by the same caller has the same hash, whatever
    /// its identifier.
    pub(crate) request_hash: u64,
    /// When it arrived, in milliseconds.
    pub(crate) arrived_ms: u64,
    /// Time by which it must be answered, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// What happens on the connection of its caller.
    activity: Arc<Activity>,
}

impl Job {
    /// Time left to answer, in milliseconds.
    pub(crate) fn remaining_ms(&self, state: &State) -> u64 {
        self.deadline_ms.saturating_sub(state.now_ms())
    }

    /// Whether a server is in a region in which the request may run.
    pub(crate) fn may_run_at(&self, state: &State, backend: &Backend) -> bool {
        let settings = state.settings();
        let region = settings.regions.get(&backend.zone);
        site::is_home(&self.route, self.organisation.as_deref(), region)
    }

    /// Whether the request may only run in certain regions.
    pub(crate) fn has_homes(&self) -> bool {
        let organisation = self.organisation.as_deref();
        !self.route.home_regions.is_empty()
            || organisation.is_some_and(|it| !it.home_regions.is_empty())
    }

    /// Identity of its work, by which requests that crash servers are found; `prompt` is that of a
    /// request to an engine.
    pub(crate) fn work(&self, prompt: Option<&Prompt>) -> Work {
        Work::new(self.request_hash, prompt)
    }

    /// Rank among the requests of its service; smaller is more urgent. The organisation's priority
    /// takes precedence over the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let organisation = self.organisation.as_ref().and_then(|it| it.priority);
        let organisation = organisation.unwrap_or(1).min(2);
        let rank = organisation * 3 + self.route.priority.min(2);
        u8::try_from(rank).unwrap_or(u8::MAX)
    }

    /// The request as sent to a server now. A server may run it from then on.
    pub(crate) fn outgoing(&self, state: &State, options: AttemptOptions) -> Outgoing {
        if self.route.retry_safety == RetrySafety::Once {
            self.activity.commit();
        }
        Outgoing {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.server_headers(state, options),
            body: self.body.clone(),
            request_id: self.id.clone(),
        }
    }

    fn server_headers(&self, state: &State, options: AttemptOptions) -> HeaderMap {
        let organisation = self.organisation.as_ref();
        let forward_options = ForwardOptions {
            server: options.server,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            deadline_ms: self.remaining_ms(state).max(1),
            urgency: options.urgency,
            version: options.version,
            resume_after: options.resume_after,
        };
        ingress::server_headers(&self.headers, &forward_options)
    }
}

/// Header values that differ between the attempts of a request.
#[derive(Default)]
pub(crate) struct AttemptOptions {
    pub(crate) server: Name,
    pub(crate) urgency: Option<u8>,
    pub(crate) version: Option<u64>,
    pub(crate) resume_after: Option<u64>,
}

/// Counts a request while it is open.
pub(crate) struct OpenRequest {
    state: Arc<State>,
}

impl OpenRequest {
    pub(crate) fn new(state: &Arc<State>) -> Self {
        state.metrics.request_opened();
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.metrics.request_closed();
    }
}

/// Answers a request.
pub(crate) async fn handle(
    state: Arc<State>,
    request: Request<Incoming>,
    activity: Arc<Activity>,
) -> Answer {
    let is_chunked = request.headers().contains_key("transfer-encoding");
    let id: Option<Name> = ingress::request_id(request.headers()).map(Name::from);
    let mut answer = match admit(&state, request, id.as_ref(), activity).await {
        Ok(job) if job.service.engine.is_some() => engine_request::run(&state, job).await,
        Ok(job) => plain_request::run(&state, job).await,
        Err(own_answer) => {
            state.metrics.count_outcome(own_answer.outcome());
            info!(
                event = "denied",
                id = id.as_deref().unwrap_or_default(),
                status = own_answer.status().as_u16(),
                reason = ?own_answer
            );
            own_answer.answer(id.as_deref())
        }
    };
    // An intermediary may have framed the bytes after a chunked body differently.
    if is_chunked || state.is_stopping() {
        close_connection_after(&mut answer);
    }
    answer
}

async fn admit(
    state: &Arc<State>,
    request: Request<Incoming>,
    id: Option<&Name>,
    activity: Arc<Activity>,
) -> Result<Job, OwnAnswer> {
    let arrived_ms = state.now_ms();
    let (parts, body) = request.into_parts();
    if is_framing_ambiguous(&parts.headers) {
        return Err(OwnAnswer::Malformed);
    }
    let not_ready = OwnAnswer::NotRun {
        retry_after_ms: Some(NOT_READY_RETRY_MS),
    };
    let site = state.site().ok_or(not_ready)?;
    let stopping = OwnAnswer::NotRun {
        retry_after_ms: Some(OTHER_INSTANCE_RETRY_MS),
    };
    if state.phase() == Phase::Refusing {
        return Err(stopping);
    }
    let (route, organisation) = authorise(&site, &parts)?;
    if state.phase() == Phase::Closing && route.is_stream() {
        return Err(stopping);
    }
    let id = id.ok_or(OwnAnswer::Malformed)?;
    let point = f64::from(rand::random::<u16>()) / 65_536.0;
    let service = route
        .choose_service(point)
        .and_then(|name| site.service(name));
    let service = service.ok_or(not_ready)?.clone();
    let requested_ms = ingress::deadline_ms(&parts.headers).unwrap_or(u64::MAX);
    let allowed_ms = requested_ms.min(route.timeout_ms);
    let deadline_ms = arrived_ms.saturating_add(allowed_ms);
    if state.is_too_late(deadline_ms) {
        return Err(stopping);
    }
    if declared_length(&parts.headers) > site.limits.body_bytes {
        return Err(OwnAnswer::TooLarge);
    }
    let body = read_body(body, site.limits.body_bytes, allowed_ms).await?;
    activity.record_received();
    state.count_request(&service.name);
    Ok(Job {
        id: id.clone(),
        route,
        service,
        request_hash: request_hash(&parts.uri, organisation.as_deref(), &body),
        organisation,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        arrived_ms,
        deadline_ms,
        activity,
    })
}

fn request_hash(uri: &Uri, organisation: Option<&Organisation>, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    uri.path().hash(&mut hasher);
    organisation.map(|it| &it.name).hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

type Authorised = (Arc<Route>, Option<Arc<Organisation>>);

fn authorise(site: &Site, parts: &http::request::Parts) -> Result<Authorised, OwnAnswer> {
    let header_host = ingress::header_text(&parts.headers, "host");
    let host = header_host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = site
        .route(host, parts.uri.path())
        .map_err(denial_answer)?
        .clone();
    let organisation = site
        .organisation(&route, ingress::bearer_key(&parts.headers))
        .map_err(denial_answer)?;
    let unnamed = organisation
        .as_ref()
        .filter(|it| !ingress::fits_in_header(&it.name));
    if let Some(organisation) = unnamed {
        warn!(event = "organisation_not_nameable", organisation = %organisation.name);
        return Err(OwnAnswer::NotRun {
            retry_after_ms: None,
        });
    }
    Ok((route, organisation))
}

fn denial_answer(reason: Denied) -> OwnAnswer {
    match reason {
        Denied::NoRoute => OwnAnswer::NoRoute,
        Denied::NoKey => OwnAnswer::NoKey,
    }
}

/// Whether the headers give the length of the body in two ways or name several hosts.
fn is_framing_ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all("content-length").iter().count();
    let is_chunked = headers.contains_key("transfer-encoding");
    let hosts = headers.get_all("host").iter().count();
    lengths > 1 || (is_chunked && lengths > 0) || hosts > 1
}

/// Declared length of the body in bytes, or 0.
fn declared_length(headers: &HeaderMap) -> usize {
    let header = ingress::header_text(headers, "content-length");
    header.and_then(|length| length.parse().ok()).unwrap_or(0)
}

async fn read_body(body: Incoming, max_bytes: usize, limit_ms: u64) -> Result<Bytes, OwnAnswer> {
    let limit = Duration::from_millis(limit_ms.min(MAX_BODY_MS));
    let collected = timeout(limit, Limited::new(body, max_bytes).collect());
    match collected.await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(OwnAnswer::TooLarge),
        Ok(Err(_)) => Err(OwnAnswer::Malformed),
        Err(_) => Err(OwnAnswer::NotRun {
            retry_after_ms: None,
        }),
    }
}
