//! Starts of a process while addresses are in use, signals arrive or settings are being written.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use mimosabay_standin::fleet::{FleetOptions, FleetSite, Listener};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::time::sleep;

/// Time for which the cause of trouble lasts, in milliseconds.
const TROUBLE_MS: u64 = 1_000;
/// Time between two signals, in milliseconds.
const SIGNAL_PERIOD_MS: u64 = 20;

/// Guards against a process that ends because an address is in use when it starts.
mod process_ends_because_an_address_is_in_use {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::Listener;

    use super::instance_serves_once_the_address_is_free;

    cases! {
        instance_serves_once_the_address_is_free;
        callers: (Listener::Callers);
        ready: (Listener::Ready);
        peers: (Listener::Peers);
        metrics: (Listener::Metrics);
    }
}

async fn start_site() -> FleetSite {
    FleetSite::start(FleetOptions::default()).await
}

fn assert_runs(site: &mut FleetSite) {
    let instance = &mut site.instances[0];
    let status = instance.process.exit_status();
    assert_eq!(status, None, "{}", instance.process.output());
}

async fn wait_served(site: &FleetSite) {
    site.wait_ready(0).await;
    wait_for("an answered lookup", async || {
        let answer = site.caller(0).get("/look/x", "probe").await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
}

fn instance_serves_once_the_address_is_free(listener: Listener) {
    block_on(async {
        let mut site = start_site().await;
        site.instances[0].process.kill();
        let address = site.instances[0].address(listener);
        let other = TcpListener::bind(address).expect("a free address");
        site.restart(0);
        sleep(Duration::from_millis(TROUBLE_MS)).await;
        assert_runs(&mut site);
        if listener == Listener::Metrics {
            // They are not needed to serve.
            wait_served(&site).await;
        }
        drop(other);
        wait_served(&site).await;
        assert_runs(&mut site);
        wait_for("metrics", async || {
            (!site.metrics(0).await.is_empty()).then_some(())
        })
        .await;
    });
}

/// Guards against a process that cannot be stopped while it waits for an address.
#[test]
fn process_that_waits_for_an_address_stops_when_asked() {
    block_on(async {
        let mut site = start_site().await;
        site.instances[0].process.kill();
        let address = site.instances[0].address(Listener::Callers);
        let _other = TcpListener::bind(address).expect("a free address");
        site.restart(0);
        wait_for("a process that waits", async || {
            site.instances[0].has_logged("listen_failed").then_some(())
        })
        .await;
        site.instances[0].process.terminate();
        let status = site.instances[0].process.wait_for_exit().await;
        assert!(status.success(), "{status}");
    });
}

/// Replaces a file by a pipe of the same name; returns a path to which the content can be moved.
fn replace_by_pipe(file: &Path) -> PathBuf {
    let aside = file.with_extension("aside");
    std::fs::rename(file, &aside).expect("the test directory is writable");
    let status = Command::new("mkfifo").arg(file).status();
    assert!(status.expect("mkfifo runs").success());
    aside
}

/// Guards against a process that ends by a signal for new settings that arrives while it reads its
/// settings for the first time.
#[test]
fn process_that_is_told_of_new_settings_at_its_start_goes_on() {
    block_on(async {
        let mut site = start_site().await;
        site.instances[0].process.kill();
        let file = site.instances[0].settings_file().to_owned();
        let aside = replace_by_pipe(&file);
        let settings = std::fs::read(&aside).expect("settings");
        site.instances[0].start();
        // Opening the pipe returns once the process reads its settings.
        let pipe = tokio::fs::File::options().write(true).open(&file).await;
        let pipe = pipe.expect("the process reads its settings");
        std::fs::rename(&aside, &file).expect("the test directory is writable");
        site.instances[0].process.hang_up();
        sleep(Duration::from_millis(SIGNAL_PERIOD_MS)).await;
        let mut pipe = pipe.into_std().await;
        std::io::Write::write_all(&mut pipe, &settings).expect("the process reads its settings");
        drop(pipe);
        wait_served(&site).await;
        assert_runs(&mut site);
    });
}

/// Guards against a process that ends because it finds its settings incomplete, as the platform is writing
/// them.
#[test]
fn process_waits_for_settings_that_are_being_written() {
    block_on(async {
        let mut site = start_site().await;
        site.instances[0].process.kill();
        let file = site.instances[0].settings_file().to_owned();
        let settings = std::fs::read(&file).expect("settings");
        std::fs::write(&file, &settings[..settings.len() / 2]).expect("writable");
        site.instances[0].start();
        sleep(Duration::from_millis(TROUBLE_MS)).await;
        assert_runs(&mut site);
        std::fs::write(&file, &settings).expect("writable");
        wait_served(&site).await;
    });
}
