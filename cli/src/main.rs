//! The `mimosabay` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosabay_cli::run(std::env::args_os())
}
