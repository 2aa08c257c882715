//! Backend servers that state a limit in their answers, while callers ask for more.

use std::time::{Duration, Instant};

use mimosabay_standin::fleet::{
    Behaviour, CONTACT_MS, Condition, Disturber, FleetOptions, FleetServer, FleetSite,
};
use mimosabay_standin::harness::block_on;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval between two requests, in milliseconds.
const INTERVAL_MS: u64 = 25;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time for which requests are sent, in milliseconds.
const LOAD_MS: u64 = 14_000;
/// Time after which servers that change or lift their limit do so, in milliseconds.
const CHANGED_MS: u64 = 6_000;
/// Limit of each server if all have one, in requests a second.
const LIMIT_PER_S: f64 = 2.0;
/// Limit of the first servers if only some have one, in requests a second.
const LOW_LIMIT_PER_S: f64 = 1.1;
/// Limit of each server if all have a low one, in requests a second.
const LOWEST_LIMIT_PER_S: f64 = 0.5;
/// Limit of each server before it is lowered, in requests a second.
const HIGH_LIMIT_PER_S: f64 = 20.0;
/// Share of what the servers allow that has to be used while callers wait.
const MIN_USED_SHARE: f64 = 0.9;
/// Share of the requests that has to be answered if other servers have no limit.
const MIN_ANSWERED_SHARE: f64 = 0.9;

/// Path of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// A stream that may be resumed.
    Draft,
    /// A call to a plain service that runs at most once.
    Booking,
    /// A call to a plain service that may be retried.
    Lookup,
}

/// Which servers of the service state a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limited {
    /// The first two of four.
    Some,
    /// All.
    All,
    /// All, to less than one request a second.
    AllToLittle,
    /// All, and the limit is lowered at [`CHANGED_MS`].
    AllLowered,
    /// All, and many of their runs fail.
    AllFailing,
    /// All, until [`CHANGED_MS`].
    AllForSomeTime,
}

/// Guards against sending a server more requests than the limit that it has stated.
mod server_receives_more_than_its_limit {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::Condition;

    use super::{Limited, Route, limit_is_kept_and_used};

    cases! {
        limit_is_kept_and_used;
        drafts_some: (Route::Draft, Limited::Some, Condition::Calm);
        drafts_all: (Route::Draft, Limited::All, Condition::Calm);
        drafts_all_to_little: (Route::Draft, Limited::AllToLittle, Condition::Calm);
        drafts_lowered: (Route::Draft, Limited::AllLowered, Condition::Calm);
        drafts_all_restarted: (Route::Draft, Limited::All, Condition::AllRestarted);
        bookings_all_to_little: (Route::Booking, Limited::AllToLittle, Condition::Calm);
        bookings_lowered: (Route::Booking, Limited::AllLowered, Condition::Calm);
        lookups_all_restarted: (Route::Lookup, Limited::All, Condition::AllRestarted);
        drafts_failing: (Route::Draft, Limited::AllFailing, Condition::Calm);
        drafts_lifted: (Route::Draft, Limited::AllForSomeTime, Condition::Calm);
        drafts_placer_killed: (Route::Draft, Limited::All, Condition::PlacerKilledTwice);
        drafts_placer_frozen: (Route::Draft, Limited::All, Condition::PlacerFrozenTwice);
        bookings_some: (Route::Booking, Limited::Some, Condition::Calm);
        bookings_all: (Route::Booking, Limited::All, Condition::Calm);
        bookings_lifted: (Route::Booking, Limited::AllForSomeTime, Condition::Calm);
        bookings_placer_killed: (Route::Booking, Limited::All, Condition::PlacerKilledTwice);
        lookups_some: (Route::Lookup, Limited::Some, Condition::Calm);
        lookups_failing: (Route::Lookup, Limited::AllFailing, Condition::Calm);
        lookups_placer_stopped: (Route::Lookup, Limited::All, Condition::PlacerStoppedTwice);
        lookups_placer_frozen: (Route::Lookup, Limited::Some, Condition::PlacerFrozenTwice);
        lookups_store_down: (Route::Lookup, Limited::All, Condition::StoreDown);
    }
}

fn limit_is_kept_and_used(route: Route, limited: Limited, condition: Condition) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: 4,
            engines: 4,
            plain_servers: 4,
            ..FleetOptions::default()
        })
        .await;
        let servers = servers(&site, route).to_vec();
        state_limits(&servers, limited);
        let mut load = Load::new(route);
        let mut disturber = Disturber::start(condition, &site);
        let mut is_changed = false;
        loop {
            let now_ms = disturber.advance();
            if now_ms >= LOAD_MS {
                break;
            }
            if now_ms >= CHANGED_MS && !is_changed {
                is_changed = true;
                change_limits(&servers, limited);
            }
            load.send(&site, &disturber, limited);
            disturber.disturb(&mut site).await;
            sleep(Duration::from_millis(INTERVAL_MS)).await;
        }
        load.finish().await;
        check_limits(&servers);
        if condition == Condition::Calm {
            check_use(&servers, &load, limited);
        }
    });
}

fn servers(site: &FleetSite, route: Route) -> &[FleetServer] {
    match route {
        Route::Draft => &site.engines,
        Route::Booking | Route::Lookup => &site.plain_servers,
    }
}

fn state_limits(servers: &[FleetServer], limited: Limited) {
    let (count, limit_per_s) = match limited {
        Limited::Some => (2, LOW_LIMIT_PER_S),
        Limited::All | Limited::AllFailing | Limited::AllForSomeTime => {
            (servers.len(), LIMIT_PER_S)
        }
        Limited::AllToLittle => (servers.len(), LOWEST_LIMIT_PER_S),
        Limited::AllLowered => (servers.len(), HIGH_LIMIT_PER_S),
    };
    for server in &servers[..count] {
        server.state_limit(Some(limit_per_s));
    }
}

fn change_limits(servers: &[FleetServer], limited: Limited) {
    let limit_per_s = match limited {
        Limited::AllForSomeTime => None,
        Limited::AllLowered => Some(LIMIT_PER_S),
        Limited::Some | Limited::All | Limited::AllToLittle | Limited::AllFailing => return,
    };
    for server in servers {
        server.state_limit(limit_per_s);
    }
}

/// Sends requests to the instances in turn, and does not wait for the answers.
struct Load {
    route: Route,
    number: usize,
    open: JoinSet<Ended>,
    ended: Vec<Ended>,
}

/// A request that has ended.
#[derive(Clone, Copy)]
struct Ended {
    sent: Instant,
    /// Status of the answer; 0 if there is none.
    status: u16,
}

impl Load {
    fn new(route: Route) -> Self {
        Self {
            route,
            number: 0,
            open: JoinSet::new(),
            ended: Vec::new(),
        }
    }

    fn send(&mut self, site: &FleetSite, disturber: &Disturber, limited: Limited) {
        self.number += 1;
        let instance = self.number % site.instances.len();
        if !disturber.is_in_contact(instance) {
            return;
        }
        if limited == Limited::AllFailing {
            let servers = servers(site, self.route);
            servers[self.number % servers.len()].plan(Behaviour::Fail);
        }
        let caller = site.caller(instance).deadline_ms(DEADLINE_MS);
        let id = format!("request-{}", self.number);
        let route = self.route;
        let sent = Instant::now();
        self.open.spawn(async move {
            let reply = match route {
                Route::Draft => caller.generate("/draft/x", &id, "").await,
                Route::Booking => caller.post("/book/x", &id, &id).await,
                Route::Lookup => caller.post("/look/x", &id, &id).await,
            };
            Ended {
                sent,
                status: reply.map_or(0, |reply| reply.status),
            }
        });
    }

    async fn finish(&mut self) {
        while let Some(ended) = self.open.join_next().await {
            self.ended.push(ended.expect("the task of a request"));
        }
    }

    /// Returns the requests sent from a time since the first one on, in milliseconds.
    fn sent_from(&self, from_ms: u64) -> Vec<Ended> {
        let first = self.ended.iter().map(|it| it.sent).min();
        let from = first.expect("a request") + Duration::from_millis(from_ms);
        let later = self.ended.iter().filter(|it| it.sent >= from);
        later.copied().collect()
    }
}

fn check_limits(servers: &[FleetServer]) {
    let violations: Vec<String> = servers
        .iter()
        .flat_map(|server| server.limit_violations(|_| true))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Checks that what the servers allow is used while callers wait, and what they do not limit as well.
fn check_use(servers: &[FleetServer], load: &Load, limited: Limited) {
    let from_ms = match limited {
        Limited::AllForSomeTime | Limited::AllLowered => CHANGED_MS + CONTACT_MS,
        Limited::Some | Limited::All | Limited::AllToLittle | Limited::AllFailing => CONTACT_MS,
    };
    let later = load.sent_from(from_ms);
    let answered = later.iter().filter(|it| it.status == 200).count() as f64;
    match limited {
        Limited::Some | Limited::AllForSomeTime => {
            let least = later.len() as f64 * MIN_ANSWERED_SHARE;
            assert!(answered >= least, "{answered} of {} answered", later.len());
        }
        Limited::All | Limited::AllToLittle | Limited::AllLowered => {
            let limit_per_s = match limited {
                Limited::AllToLittle => LOWEST_LIMIT_PER_S,
                _ => LIMIT_PER_S,
            };
            let time_s = (LOAD_MS - from_ms) as f64 / 1_000.0;
            // A server is sent whole requests.
            let allowed = (limit_per_s * time_s).floor() * servers.len() as f64;
            let least = allowed * MIN_USED_SHARE;
            assert!(answered >= least, "{answered} answered, {allowed} allowed");
        }
        Limited::AllFailing => {}
    }
    let failed = later
        .iter()
        .filter(|it| !matches!(it.status, 200 | 500 | 503));
    assert_eq!(failed.count(), 0, "answers other than 200, 500 and 503");
}

/// Guards against sending a request to a server that began to leave while the request waited for it.
#[test]
fn request_that_waits_for_a_server_does_not_reach_it_once_it_leaves() {
    block_on(async {
        let site = FleetSite::start(FleetOptions {
            instances: 1,
            engines: 1,
            plain_servers: 1,
            ..FleetOptions::default()
        })
        .await;
        let server = &site.plain_servers[0];
        server.state_limit(Some(LOWEST_LIMIT_PER_S));
        let caller = site.caller(0).deadline_ms(5_000);
        let first = caller.post("/look/x", "first", "first").await;
        assert_eq!(first.expect("an answer").status, 200);
        // The placer learns the limit with the next update.
        sleep(Duration::from_millis(500)).await;
        let waiting = tokio::spawn(async move { caller.post("/look/x", "waiting", "x").await });
        sleep(Duration::from_millis(500)).await;
        server.register("draining");
        let reply = waiting.await.expect("the task of a request");
        assert_eq!(reply.expect("an answer").status, 503);
        let ids: Vec<String> = server.requests().into_iter().map(|it| it.id).collect();
        assert_eq!(ids, ["first"]);
    });
}
