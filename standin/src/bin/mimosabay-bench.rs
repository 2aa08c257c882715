//! Command line of the load driver.

use std::process::ExitCode;

use mimosabay_standin::bench;

fn main() -> ExitCode {
    let matches = bench::command().get_matches();
    match bench::parse_options(&matches) {
        Ok(options) => run(&options),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(options: &bench::BenchOptions) -> ExitCode {
    let results = bench::run(options).await;
    let Some(path) = &options.json else {
        return ExitCode::SUCCESS;
    };
    match std::fs::write(path, format!("{results:#}\n")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}
