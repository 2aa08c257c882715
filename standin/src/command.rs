//! Command line and start-up shared by the stand-ins' binaries.

use std::io::{self, Write};
use std::process::ExitCode;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command};
use tokio::net::TcpListener;

/// Returns a command with the `--listen` argument that all stand-ins take.
pub fn new(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .help("IP address and port to listen on; port 0 selects a free port")
            .default_value("127.0.0.1:0"),
    )
}

/// Returns an argument with a number as its default.
pub fn number_arg(name: &'static str, default: impl Into<u64>, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default.into().to_string())
}

/// Parses the value of an argument with a default.
///
/// # Errors
///
/// Returns [`io::ErrorKind::InvalidInput`] if the value cannot be parsed as `T`.
pub fn parse_value<T: FromStr>(matches: &ArgMatches, name: &str) -> io::Result<T> {
    let text = matches.get_one::<String>(name).map(String::as_str);
    let value = text.unwrap_or_default().parse();
    value.map_err(|_| {
        let message = format!("--{name}: invalid value");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}

/// Parses the command line, prints the bound address and serves until the process ends.
pub fn run_server<F: Future<Output = ()>>(
    command: Command,
    serve: impl FnOnce(&ArgMatches, TcpListener) -> io::Result<F>,
) -> ExitCode {
    match serve_until_ended(&command.get_matches(), serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve_until_ended<F: Future<Output = ()>>(
    matches: &ArgMatches,
    serve: impl FnOnce(&ArgMatches, TcpListener) -> io::Result<F>,
) -> io::Result<()> {
    let listen: String = parse_value(matches, "listen")?;
    let listener = TcpListener::bind(&listen).await?;
    let address = listener.local_addr()?.to_string();
    let server = serve(matches, listener)?;
    let line = serde_json::json!({ "address": address });
    writeln!(io::stdout(), "{line}")?;
    server.await;
    Ok(())
}
