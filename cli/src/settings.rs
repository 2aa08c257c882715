//! `check-settings`: checks the settings file of an instance.

use clap::ArgMatches;
use mimosabay_operator::Settings;
use serde_json::json;

use crate::conversion::text_argument;
use crate::document::read_text;
use crate::error::{Category, Error};
use crate::output::CommandOutput;

pub(crate) fn check(arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let path = text_argument(arguments, "file");
    let settings = Settings::parse(&read_text(path)?);
    let settings = settings.map_err(|errors| {
        let lines: Vec<_> = errors
            .as_slice()
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        Error::new(Category::Rejected, lines.join("\n"))
    })?;
    let instance = settings.instance;
    let json = json!({ "file": path, "instance": instance.name, "zone": instance.zone });
    let line = format!(
        "{path}: settings of {} in {}\n",
        instance.name, instance.zone
    );
    Ok(CommandOutput::new(line, json))
}
