//! The daemon: one process for each instance.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use mimosabay_daemon::{gateway, log, run};
use mimosabay_operator::Settings;
use mimosabay_platform::{ProcessSettings, wire_names};
use tokio::time::sleep;

/// Exit code for settings that cannot be read or are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Time for which settings of the platform may be invalid at the start, in milliseconds.
const SETTINGS_WAIT_MS: u64 = 3_000;
/// Time between two reads of invalid settings, in milliseconds.
const SETTINGS_RETRY_MS: u64 = 50;

fn main() -> ExitCode {
    if let Some(path) = std::env::var_os(wire_names::SETTINGS_PATH_VARIABLE) {
        return serve_on_platform(path.into());
    }
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("clap requires the file");
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check-settings") {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    log::start(settings.log.level);
    serve(settings)
}

/// Runs with the settings file that the platform writes.
fn serve_on_platform(settings_path: PathBuf) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    // A signal that arrives earlier ends the process.
    let signals = runtime.block_on(async { gateway::Signals::install() });
    let signals = signals.expect("signals can be received");
    let matches = platform_command().get_matches();
    let is_check = matches.get_flag("check-settings");
    let wait_ms = if is_check { 0 } else { SETTINGS_WAIT_MS };
    let settings = match runtime.block_on(read_platform_settings(&settings_path, wait_ms)) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if is_check {
        println!("{}: settings are valid", settings_path.display());
        return ExitCode::SUCCESS;
    }
    let (_flush_at_end, dropped_lines) = log::start_without_blocking();
    let options = gateway::Options {
        settings_path,
        metrics_port: matches.get_one("metrics-port").copied(),
        dropped_lines,
    };
    runtime.block_on(gateway::run(settings, options, signals));
    ExitCode::SUCCESS
}

/// Reads the settings file. The platform may be writing it; an invalid one is read again for up to
/// `wait_ms` milliseconds.
async fn read_platform_settings(path: &Path, wait_ms: u64) -> Result<ProcessSettings, String> {
    let mut waited_ms = 0;
    loop {
        match gateway::read_settings(path) {
            Err(_) if waited_ms < wait_ms => {}
            result => return result,
        }
        sleep(Duration::from_millis(SETTINGS_RETRY_MS)).await;
        waited_ms += SETTINGS_RETRY_MS;
    }
}

/// Arguments for the case that the platform names the settings file in the environment.
fn platform_command() -> Command {
    base_command().arg(
        Arg::new("metrics-port")
            .long("metrics-port")
            .help("Port on which metrics are served as text")
            .value_name("PORT")
            .value_parser(value_parser!(u16)),
    )
}

fn command() -> Command {
    base_command().arg(
        Arg::new("settings")
            .help("INI file with the settings of this instance")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required(true),
    )
}

fn base_command() -> Command {
    Command::new("mimosabayd")
        .about("Serves callers of many LoRA adapters: one process for each instance")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .help("Check the settings, report every error at once, and exit")
                .action(ArgAction::SetTrue),
        )
}

fn read(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| format!("{}: cannot read the settings: {cause}", path.display()))?;
    Settings::parse(&text).map_err(|errors| format!("{}: {errors}", path.display()))
}

fn serve(settings: Settings) -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(run::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            tracing::error!(%cause, "cannot listen on a configured address");
            ExitCode::FAILURE
        }
    }
}
