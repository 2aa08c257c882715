//! One connection of a caller, from its first request until it is closed.

use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mimosabay_core::site::{CallerLimits, Site};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::activity::{Activity, CallerSocket, Stage};
use super::body::CallerBody;
use super::connection::set_liveness_timeouts;
use super::request::{self, OpenRequest};
use super::state::{Phase, State};

/// Smallest buffer for the head of a request, in bytes.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Serves a connection until it is closed.
pub(crate) async fn serve(state: Arc<State>, socket: TcpStream) {
    if set_liveness_timeouts(&socket).is_err() {
        return;
    }
    let socket = Arc::new(socket);
    let activity = Arc::new(Activity::new());
    let mut site = state.site.subscribe();
    let header_bytes = limits_in_force(&mut site).header_bytes;
    let service = service_fn(|request: Request<Incoming>| {
        let state = state.clone();
        let activity = activity.clone();
        let in_progress = activity.start_request(OpenRequest::new(&state));
        async move {
            let answer = request::handle(state, request, activity).await;
            Ok::<_, Infallible>(answer.map(|body| CallerBody::new(body, in_progress)))
        }
    });
    let bytes = CallerSocket::new(socket.clone(), activity.clone());
    let connection = http1::Builder::new()
        .half_close(true)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(bytes), service);
    let mut connection = pin!(connection);
    let mut phase = state.phase.subscribe();
    let mut closing = pin!(async {
        // The sender is part of the state.
        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    });
    let mut is_closing = false;
    loop {
        let current = activity.stage();
        if is_closing && !current.expects_request() {
            connection.as_mut().graceful_shutdown();
        }
        tokio::select! {
            // Requests that have arrived are read before anything else is decided.
            biased;
            is_open = drive_until_change(connection.as_mut(), &activity, current) => if !is_open {
                return;
            },
            () = closed_by_caller(&socket), if current == Stage::Received => return,
            () = wait_until_expired(&activity, &mut site) => return,
            () = &mut closing, if !is_closing => is_closing = true,
        }
    }
}

/// Drives a connection until its stage is not `stage` any more; returns whether it is open. A caller
/// that violates the protocol or leaves is not logged.
async fn drive_until_change(
    mut connection: Pin<&mut impl Future>,
    activity: &Activity,
    stage: Stage,
) -> bool {
    poll_fn(|context| match connection.as_mut().poll(context) {
        Poll::Ready(_) => Poll::Ready(false),
        Poll::Pending if activity.stage() == stage => Poll::Pending,
        Poll::Pending => Poll::Ready(true),
    })
    .await
}

/// Returns once the caller has closed its side of a connection on which it waits for an answer. One that
/// has sent more already is not seen to close.
async fn closed_by_caller(socket: &TcpStream) {
    let mut next = [0];
    match socket.peek(&mut next).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}

/// Waits until a connection has been idle, or the head of a request has been incomplete, for as long
/// as the configuration in force allows.
async fn wait_until_expired(activity: &Activity, site: &mut watch::Receiver<Option<Arc<Site>>>) {
    loop {
        let limits = limits_in_force(site);
        let Some(deadline) = activity.deadline(&limits) else {
            return pending().await;
        };
        if deadline <= Instant::now() {
            return;
        }
        tokio::select! {
            () = sleep_until(deadline) => {}
            // The sender is part of the state.
            _ = site.changed() => {}
        }
    }
}

/// Limits of the configuration in force, or the default ones before it is known.
fn limits_in_force(site: &mut watch::Receiver<Option<Arc<Site>>>) -> Arc<CallerLimits> {
    let site = site.borrow_and_update();
    let limits = site.as_ref().map(|site| site.limits.clone());
    limits.unwrap_or_default()
}
