//! Admission of calls: authentication, authorisation and resolution of the requested target.

use crate::config::ConfigTable;
use crate::name::{AdapterVersion, Name};
use crate::request::{Code, Refusal, RetrySafety};
use crate::resource::{Adapter, Route, RouteTarget};

/// Methods that HTTP defines as idempotent (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"];
/// Timeout of a call to an adapter without a route.
const MODEL_TIMEOUT_MS: u64 = 60_000;

/// Target of a call as the caller wrote it.
#[derive(Clone, Copy, Debug)]
pub enum CallTarget<'a> {
    /// Text generation; the text is `adapter@version`, an adapter or a route.
    Model(&'a str),
    /// Call to a plain service.
    Plain {
        /// HTTP method.
        method: &'a str,
        /// Path and query.
        path: &'a str,
    },
}

crate::record! {
    /// An admitted call.
    pub struct Admitted {
        /// Organisation that is charged; empty for a call without a key on an open route.
        pub organisation: Name,
        /// Name of the call's key; empty for a call without a key on an open route.
        pub key: Name,
        /// Weight of the organisation at a busy server.
        pub weight: u32,
        /// Pool of backend servers that may run it.
        pub pool: Name,
        /// Adapter and version pinned at admission; `None` for a plain call.
        pub model: Option<AdapterVersion>,
        /// Whether the call may run again.
        pub retry_safety: RetrySafety,
        /// Timeout of the call, in milliseconds.
        pub timeout_ms: u64,
    }
}

struct Identity {
    organisation: Name,
    key: Name,
    weight: u32,
}

struct ResolvedTarget<'a> {
    route: Option<&'a Route>,
    pool: Name,
    model: Option<AdapterVersion>,
    adapter: Option<&'a Adapter>,
}

/// Decides whether a call is admitted.
///
/// `key_sha256` is the hash of the call's key; `has_idempotency_key` is whether the call has an
/// idempotency key.
///
/// # Errors
///
/// Returns a refusal with [`Ran::No`](crate::request::Ran::No) if the call is not admitted.
pub fn admit(
    config: &ConfigTable,
    key_sha256: Option<&str>,
    call: CallTarget<'_>,
    has_idempotency_key: bool,
) -> Result<Admitted, Refusal> {
    let target = match call {
        CallTarget::Model(model) => find_model(config, model),
        CallTarget::Plain { path, .. } => find_plain(config, path),
    };
    let open = target
        .as_ref()
        .is_ok_and(|target| target.route.is_some_and(|route| route.open));
    // The key is checked before the target, so that an unauthenticated caller cannot probe for names.
    let identity = identify(config, key_sha256, open)?;
    let target = target?;
    check_allowed(&target, &identity)?;
    let idempotent = is_idempotent(&target, call);
    Ok(Admitted {
        organisation: identity.organisation,
        key: identity.key,
        weight: identity.weight,
        pool: target.pool,
        model: target.model,
        retry_safety: retry_safety(idempotent, has_idempotency_key),
        timeout_ms: target
            .route
            .map_or(MODEL_TIMEOUT_MS, |route| route.timeout_ms),
    })
}

/// Returns whether the key of that name is still valid. The empty name stands for a call without a
/// key and is always valid.
pub fn is_key_valid(config: &ConfigTable, key: &str) -> bool {
    key.is_empty() || config.key(key).is_some_and(|key| !key.withdrawn)
}

/// Checks that a key is valid, without checking what it may be used for.
///
/// # Errors
///
/// Returns a refusal if the key is missing, unknown or withdrawn.
pub fn check_key(config: &ConfigTable, key_sha256: Option<&str>) -> Result<(), Refusal> {
    identify(config, key_sha256, false).map(|_| ())
}

fn identify(
    config: &ConfigTable,
    key_sha256: Option<&str>,
    open: bool,
) -> Result<Identity, Refusal> {
    let Some(sha256) = key_sha256 else {
        return if open {
            Ok(Identity::anonymous())
        } else {
            Err(unknown_key())
        };
    };
    let (name, key) = config.key_by_sha256(sha256).ok_or_else(unknown_key)?;
    if key.withdrawn {
        return Err(Refusal::not_run(
            Code::WithdrawnKey,
            "the key has been withdrawn",
        ));
    }
    let organisation = config
        .organisation(&key.organisation)
        .ok_or_else(unknown_key)?;
    Ok(Identity {
        organisation: key.organisation.clone(),
        key: name.clone(),
        weight: organisation.weight,
    })
}

impl Identity {
    fn anonymous() -> Self {
        Self {
            organisation: "".into(),
            key: "".into(),
            weight: 1,
        }
    }
}

fn find_model<'a>(config: &'a ConfigTable, model: &str) -> Result<ResolvedTarget<'a>, Refusal> {
    if let Some((adapter, version)) = model.split_once('@') {
        return find_adapter(config, None, adapter, Some(version));
    }
    match config.route(model) {
        Some(route) => match &route.target {
            RouteTarget::Model { adapter, version } => {
                find_adapter(config, Some(route), adapter, version.as_deref())
            }
            RouteTarget::Plain { .. } => Err(unknown_model()),
        },
        None => find_adapter(config, None, model, None),
    }
}

fn find_adapter<'a>(
    config: &'a ConfigTable,
    route: Option<&'a Route>,
    adapter: &str,
    version: Option<&str>,
) -> Result<ResolvedTarget<'a>, Refusal> {
    let (name, adapter) = config.adapter(adapter).ok_or_else(unknown_model)?;
    let model = adapter
        .pin(name, version)
        .ok_or_else(|| Refusal::not_run(Code::UnknownVersion, "the adapter has no such version"))?;
    Ok(ResolvedTarget {
        route,
        pool: adapter.pool.clone(),
        model: Some(model),
        adapter: Some(adapter),
    })
}

fn find_plain<'a>(config: &'a ConfigTable, path: &str) -> Result<ResolvedTarget<'a>, Refusal> {
    let (_, route) = config
        .plain_route(path)
        .ok_or_else(|| Refusal::not_run(Code::UnknownModel, "no route for this path"))?;
    match &route.target {
        RouteTarget::Plain { pool, .. } => Ok(ResolvedTarget {
            route: Some(route),
            pool: pool.clone(),
            model: None,
            adapter: None,
        }),
        RouteTarget::Model { .. } => Err(unknown_model()),
    }
}

fn check_allowed(target: &ResolvedTarget<'_>, identity: &Identity) -> Result<(), Refusal> {
    let by_route = target.route.map_or(&[][..], |route| &route.organisations);
    let by_adapter = target
        .adapter
        .map_or(&[][..], |adapter| &adapter.organisations);
    let allows = |list: &[Name]| list.is_empty() || list.contains(&identity.organisation);
    if allows(by_route) && allows(by_adapter) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Forbidden,
        "the organisation may not use this model or route",
    ))
}

fn is_idempotent(target: &ResolvedTarget<'_>, call: CallTarget<'_>) -> bool {
    if let Some(idempotent) = target.route.and_then(|route| route.idempotent) {
        return idempotent;
    }
    match call {
        CallTarget::Model(_) => target.adapter.is_none_or(|adapter| adapter.idempotent),
        CallTarget::Plain { method, .. } => IDEMPOTENT_METHODS.contains(&method),
    }
}

fn retry_safety(idempotent: bool, has_idempotency_key: bool) -> RetrySafety {
    match (idempotent, has_idempotency_key) {
        (true, _) => RetrySafety::Idempotent,
        (false, true) => RetrySafety::Keyed,
        (false, false) => RetrySafety::Once,
    }
}

fn unknown_key() -> Refusal {
    Refusal::not_run(Code::UnknownKey, "the API key is missing or unknown")
}

fn unknown_model() -> Refusal {
    Refusal::not_run(Code::UnknownModel, "no such model")
}
