//! Entries of other writers whose names a URL or a header cannot hold as they are.

use std::time::Duration;

use mimosabay_standin::fleet::{
    DESK, FleetInstance, FleetOptions, FleetServer, FleetSite, ORGANISATION, ServerKind,
};
use mimosabay_standin::harness::{block_on, wait_for, wait_up_to};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Number of instances.
const INSTANCES: usize = 3;
/// Time after a restart of all processes from which requests have to be served, in milliseconds.
const RECOVER_MS: u64 = 12_000;
/// Time for which reads of the store and events are counted, in milliseconds.
const COUNTED_MS: u64 = 1_000;
/// Reads a second that the store takes from this number of instances; it takes 2,000 from seven.
const READS_PER_S: u64 = 2_000 * INSTANCES as u64 / 7;
/// Longest time for which lookups are sent, in milliseconds.
const LOAD_MS: u64 = 3_000;
/// Number of lookups that are sent at the same time: more than one for each instance and server.
const CONCURRENT: usize = 18;

/// Guards against an entry of the store that stops the service: its name stood unencoded in the URL of the
/// next page, so that the same page came again without end, entries were left out, or nothing was sent.
mod odd_entry_stops_the_service {
    use mimosabay_core::cases;

    use super::service_goes_on_beside;

    cases! {
        service_goes_on_beside;
        plain_name: ("servers", "d");
        ampersand: ("servers", "d&x");
        plus: ("servers", "d+x");
        fragment: ("servers", "d#x");
        question_mark: ("servers", "d?x");
        slash: ("servers", "d/x");
        blank: ("servers", "d x");
        control_character: ("servers", "d\u{7}x");
        percent: ("servers", "d%x");
        percent_and_digits: ("servers", "d%7A");
        no_ascii: ("servers", "d\u{e9}x");
        no_utf_8: ("servers", "d\u{fffd}x");
        configuration: ("config", "a&b");
        configuration_no_utf_8: ("config", "a\u{fffd}");
        releases: ("versions", "a#b");
        releases_blank: ("versions", "a b");
        evacuations: ("evacuations", "a&b");
        evacuations_blank: ("evacuations", "a b");
        placer: ("placers", "a");
        placer_with_odd_name: ("placers", "a+b");
        quarantine: ("quarantine", "a%b");
        software_versions: ("softwareversions", "a b");
    }
}

async fn start_site() -> FleetSite {
    FleetSite::start(FleetOptions {
        instances: INSTANCES,
        engines: 3,
        plain_servers: 4,
        contracts: &["base", "places"],
        ..FleetOptions::default()
    })
    .await
}

/// Ends all processes, and starts them again. Returns how many reports the engines had given before.
fn restart_all(site: &mut FleetSite) -> Vec<usize> {
    let reports = report_counts(site);
    for instance in &mut site.instances {
        instance.process.kill();
    }
    for index in 0..INSTANCES {
        site.restart(index);
    }
    reports
}

fn report_counts(site: &FleetSite) -> Vec<usize> {
    site.engines.iter().map(FleetServer::report_count).collect()
}

fn service_goes_on_beside(kind: &str, name: &str) {
    block_on(async {
        let mut site = start_site().await;
        // The odd entry is then the last one of its page.
        site.store.set_page_size(1);
        site.store.set_odd_entry(kind, name, "{}");
        let release = json!({ "model": "base", "adapter": "a9", "version": 2 });
        site.store.put("versions", "base.a9", &release);
        site.store.evacuate("zone-without-servers", true);
        let reports = restart_all(&mut site);
        assert_served(&site, &reports).await;
        for event in ["adapter_released", "zones_evacuated"] {
            wait_logged(&site, event).await;
        }
        assert_few_reads(&site).await;
        assert_metrics_are_readable(&site).await;
    });
}

/// Guards against a list whose pages bring nothing new, which is read without a pause.
mod list_without_progress_is_read_without_a_pause {
    use mimosabay_core::cases;

    use super::{Meanwhile, kind_is_read_after_pauses};

    cases! {
        kind_is_read_after_pauses;
        servers: ("servers", Meanwhile::Refused);
        configuration: ("config", Meanwhile::Served);
        releases: ("versions", Meanwhile::Served);
        evacuations: ("evacuations", Meanwhile::Served);
        placer: ("placers", Meanwhile::Served);
    }
}

/// What becomes of requests while a kind cannot be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meanwhile {
    /// They are served, as no list is needed for that.
    Served,
    /// They are refused, as no server is known.
    Refused,
}

fn kind_is_read_after_pauses(kind: &str, meanwhile: Meanwhile) {
    block_on(async {
        let mut site = start_site().await;
        site.store.set_page_size(1);
        site.store.put(kind, "z1", &json!({}));
        site.store.put(kind, "z2", &json!({}));
        site.store.repeat_first_page(Some(kind));
        let reports = restart_all(&mut site);
        sleep(Duration::from_millis(COUNTED_MS)).await;
        assert_few_reads(&site).await;
        match meanwhile {
            Meanwhile::Served => assert_served(&site, &reports).await,
            Meanwhile::Refused => assert_refused(&site).await,
        }
        site.store.repeat_first_page(None);
        assert_served(&site, &reports).await;
        assert_few_reads(&site).await;
    });
}

/// Guards against requests at a server that do not say which server they are meant for, because a header
/// cannot hold its name as it is.
mod request_does_not_name_its_server {
    use mimosabay_core::cases;

    use super::{Use, server_is_named};

    cases! {
        server_is_named;
        reserved: ("desk &+#%/?\"", Use::Named);
        no_ascii: ("desk-\u{e9}\u{4e2d}", Use::Named);
        control_character: ("desk-\u{7}", Use::None);
        blank_at_the_end: ("desk-1 ", Use::None);
        line_break: ("desk-\r\nx", Use::None);
        no_utf_8: ("desk-\u{fffd}", Use::None);
    }
}

/// How a server is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Each request names it.
    Named,
    /// It gets no request, as none can name it.
    None,
}

fn server_is_named(id: &str, expected: Use) {
    block_on(async {
        let site = start_site().await;
        let server = FleetServer::start(&site.store, id, DESK, ServerKind::Plain);
        let end = Instant::now() + Duration::from_millis(LOAD_MS);
        while Instant::now() < end && server.requests().is_empty() {
            look_up(&site).await;
        }
        let requests = server.requests();
        assert_eq!(!requests.is_empty(), expected == Use::Named);
        for request in requests {
            assert_eq!(request.header("x-expect-instance"), Some(id));
        }
    });
}

/// Guards against requests that are sent on without the name of their organisation.
#[test]
fn request_of_an_organisation_that_no_header_can_name_is_refused() {
    block_on(async {
        let site = start_site().await;
        site.configure(2, |it| it["tenants"][0]["name"] = json!("clin\u{7}ics"));
        wait_for("a refusal", async || {
            let answer = site.caller(0).get("/look/x", "odd").await.ok()?;
            (answer.status == 503).then_some(())
        })
        .await;
        for request in site.plain_servers.iter().flat_map(FleetServer::requests) {
            assert_eq!(request.header("x-tenant"), Some(ORGANISATION));
        }
    });
}

#[test]
fn organisation_whose_name_is_no_ascii_is_named() {
    block_on(async {
        let site = start_site().await;
        let name = "cl\u{ed}nicas & co";
        site.configure(2, |it| it["tenants"][0]["name"] = json!(name));
        wait_for("a request of the organisation", async || {
            look_up(&site).await;
            let servers = site.plain_servers.iter();
            let mut requests = servers.flat_map(FleetServer::requests);
            let is_named = requests.any(|it| it.header("x-tenant") == Some(name));
            is_named.then_some(())
        })
        .await;
        let requests = site.plain_servers.iter().flat_map(FleetServer::requests);
        for request in requests {
            let organisation = request.header("x-tenant");
            let is_known = organisation == Some(name) || organisation == Some(ORGANISATION);
            assert!(is_known, "{organisation:?}");
        }
    });
}

/// Guards against a placer that ends because an entry beside its record is removed.
#[test]
fn placer_goes_on_when_an_entry_beside_its_record_is_removed() {
    block_on(async {
        let site = start_site().await;
        let started = count_logged(&site, "placer_started");
        site.store.put("placers", "z", &json!({}));
        sleep(Duration::from_millis(COUNTED_MS)).await;
        site.store.remove("placers", "z");
        sleep(Duration::from_millis(COUNTED_MS)).await;
        assert_eq!(count_logged(&site, "placer_started"), started);
        assert_eq!(all_serve(&site).await, Some(()));
    });
}

/// Guards against a record of the placer that cannot be read, so that there is no placer.
mod record_that_cannot_be_read {
    use mimosabay_core::cases;

    use super::record_is_replaced;

    cases! {
        record_is_replaced;
        address_is_a_number: ("{ \"address\": 7 }");
        number_too_large: ("1e400");
        no_utf_8: ("\"\u{fffd}\"");
    }
}

fn record_is_replaced(odd: &str) {
    block_on(async {
        let mut site = start_site().await;
        site.store.set_odd_entry("placers", "cell-0", odd);
        wait_replaced(&site).await;
        for instance in &mut site.instances {
            instance.process.kill();
        }
        site.store.set_odd_entry("placers", "cell-0", odd);
        let reports = restart_all(&mut site);
        assert_served(&site, &reports).await;
        wait_replaced(&site).await;
    });
}

async fn wait_replaced(site: &FleetSite) {
    wait_for("a readable record", async || {
        site.placer_index().map(|_| ())
    })
    .await;
}

fn count_logged(site: &FleetSite, event: &str) -> usize {
    let lines = site.instances.iter().flat_map(FleetInstance::log);
    lines.filter(|line| line["event"] == event).count()
}

/// Checks that soon all instances serve, with all servers. `reports` is how many reports the engines had
/// given before.
async fn assert_served(site: &FleetSite, reports: &[usize]) {
    let served = wait_up_to(RECOVER_MS, async || all_serve(site).await).await;
    assert!(served.is_some(), "not served within {RECOVER_MS} ms");
    wait_for("lookups at all plain servers", async || {
        look_up(site).await;
        let mut servers = site.plain_servers.iter();
        servers
            .all(|server| arrivals(server, "look-") > 0)
            .then_some(())
    })
    .await;
    wait_for("reports of all engines", async || {
        let counts = report_counts(site);
        let mut counts = counts.iter().zip(reports);
        counts.all(|(count, before)| count > before).then_some(())
    })
    .await;
}

async fn assert_refused(site: &FleetSite) {
    for index in 0..INSTANCES {
        let answer = site.caller(index).get("/look/x", "refused").await;
        assert_eq!(answer.unwrap().status, 503);
    }
}

/// Waits until all instances have logged an event.
async fn wait_logged(site: &FleetSite, event: &str) {
    wait_for(event, async || {
        let mut instances = site.instances.iter();
        instances.all(|it| it.has_logged(event)).then_some(())
    })
    .await;
}

async fn all_serve(site: &FleetSite) -> Option<()> {
    for index in 0..INSTANCES {
        let caller = site.caller(index);
        let look = caller.get("/look/x", "first").await.ok()?;
        let draft = caller.generate("/draft/x", "first", "a1").await.ok()?;
        if (look.status, draft.status) != (200, 200) {
            return None;
        }
    }
    Some(())
}

/// Sends lookups to all instances at the same time.
async fn look_up(site: &FleetSite) {
    let sent = (0..CONCURRENT).map(|number| {
        let caller = site.caller(number % INSTANCES);
        async move { caller.get("/look/x", &format!("look-{number}")).await }
    });
    for answer in futures::future::join_all(sent).await {
        assert_eq!(answer.unwrap().status, 200);
    }
}

fn arrivals(server: &FleetServer, prefix: &str) -> usize {
    let requests = server.requests();
    let arrived = requests.iter().filter(|it| it.id.starts_with(prefix));
    arrived.count()
}

async fn assert_few_reads(site: &FleetSite) {
    let before = site.store.read_count();
    sleep(Duration::from_millis(COUNTED_MS)).await;
    let reads = site.store.read_count() - before;
    assert!(reads < READS_PER_S * COUNTED_MS / 1_000, "{reads} reads");
}

/// Checks that each line of the metrics is a comment, or a name and a number.
async fn assert_metrics_are_readable(site: &FleetSite) {
    for index in 0..INSTANCES {
        let text = site.metrics(index).await;
        assert!(!text.is_empty(), "no metrics");
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let value = line.rsplit(' ').next();
            let is_number = value.is_some_and(|value| value.parse::<f64>().is_ok());
            assert!(is_number, "{line}");
        }
    }
}
