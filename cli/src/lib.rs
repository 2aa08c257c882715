//! The `mimosabay` command-line tool for operators.
//!
//! Operators configure the system by writing resources and reading their status. Commands
//! communicate with the platform's store only. Every write is conditional on the version that was
//! read, and the exit code reports its outcome.

mod apply;
mod burn;
mod burn_html;
mod command;
mod context;
mod conversion;
mod delete;
mod describe;
mod diff;
mod document;
mod edit;
mod error;
mod explain;
mod get;
mod key;
mod output;
mod promote;
mod settings;
mod snapshot;
mod status;
mod table;
mod time;
mod wait;
mod watch;
mod write;

use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

use clap::ArgMatches;

pub use command::command;
pub use error::{Category, Error};

use context::Context;
use output::{CommandOutput, OutputFormat};

/// Parses the command line, runs the command and prints its output.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            // Ignores the error, because there is no other way to show the help text.
            let _ = error.print();
            return to_exit_code(error.exit_code());
        }
    };
    let output = OutputFormat::from_matches(&matches);
    match run_command(&matches) {
        Ok(answer) => print(&answer.render(output)),
        Err(error) => {
            eprintln!("{}", error.render(output));
            ExitCode::from(error.classify().exit_code())
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run_command(matches: &ArgMatches) -> Result<CommandOutput, Error> {
    let (name, arguments) = matches
        .subcommand()
        .expect("the command requires a subcommand");
    match name {
        "check-settings" => return settings::check(arguments),
        "explain" => return explain::run(arguments),
        "completions" => return Ok(command::completions(arguments)),
        _ => {}
    }
    let context = Context::from_matches(matches)?;
    match name {
        "apply" => apply::run(&context, arguments).await,
        "get" => get::run(&context, arguments).await,
        "describe" => describe::run(&context, arguments).await,
        "delete" => delete::run(&context, arguments).await,
        "watch" => watch::run(&context, arguments).await,
        "status" => status::run(&context).await,
        "key" => key::run(&context, arguments).await,
        "adapter" => promote::run(&context, arguments).await,
        "report" => burn::run(&context).await,
        name => unreachable!("no such command: {name}"),
    }
}

fn print(text: &str) -> ExitCode {
    // A reader that closes the pipe early needs no more output, so this is not a failure.
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            ExitCode::from(Category::Failed.exit_code())
        }
        _ => ExitCode::SUCCESS,
    }
}

fn to_exit_code(code: i32) -> ExitCode {
    u8::try_from(code).map_or(ExitCode::FAILURE, ExitCode::from)
}
