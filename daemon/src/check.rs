//! Checks whether an admitted request may still run.

use mimosabay_core::admission;
use mimosabay_core::request::{Code, Refusal, Request};

use crate::instance::Instance;
use crate::owner::OwnedServer;

/// `retry-after` of a refusal that another instance or server may not give.
const RETRY_AFTER_MS: u64 = 500;

/// Checks immediately before dispatch that the configuration is fresh, the key is valid and the
/// deadline has not passed.
pub(crate) fn ensure_dispatchable(
    instance: &Instance,
    request: &Request,
    deadline_ms: u64,
) -> Result<(), Refusal> {
    ensure_fresh(instance)?;
    ensure_key_valid(instance, request)?;
    if instance.now_ms() < deadline_ms {
        return Ok(());
    }
    let refusal = Refusal::not_run(Code::Timeout, "the deadline passed before dispatch");
    Err(refusal.retry_after_ms(RETRY_AFTER_MS))
}

/// Checks that the configuration is fresh. A process that was frozen or disconnected may have
/// missed that a key was withdrawn.
///
/// # Errors
///
/// A refusal if the configuration in force may be out of date.
pub fn ensure_fresh(instance: &Instance) -> Result<(), Refusal> {
    if instance.is_fresh() {
        return Ok(());
    }
    let refusal = Refusal::not_run(Code::NotReady, "the configuration may be out of date");
    Err(refusal.retry_after_ms(RETRY_AFTER_MS))
}

/// Checks that the key of the request has not been withdrawn.
pub(crate) fn ensure_key_valid(instance: &Instance, request: &Request) -> Result<(), Refusal> {
    if instance.with_config(|config| admission::is_key_valid(config, &request.key)) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::WithdrawnKey,
        "the key has been withdrawn",
    ))
}

/// Checks that the server is configured and not leaving.
pub(crate) fn ensure_not_leaving(instance: &Instance, server: &OwnedServer) -> Result<(), Refusal> {
    let accepts_work = instance.with_config(|config| {
        config
            .server(&server.name)
            .is_some_and(|spec| !spec.leaving)
    });
    if accepts_work {
        Ok(())
    } else {
        Err(no_server_refusal("the backend server is leaving"))
    }
}

/// The refusal of an instance that does not own the server.
pub(crate) fn not_owner_refusal() -> Refusal {
    Refusal::not_run(Code::NotOwner, "another instance owns the server")
}

/// A refusal after which another server may accept the request.
pub(crate) fn no_server_refusal(message: &str) -> Refusal {
    Refusal::not_run(Code::NoServer, message).retry_after_ms(RETRY_AFTER_MS)
}
