//! `check-settings`: checks the settings file of an instance.

use clap::ArgMatches;
use mimosabay_operator::Settings;
use serde_json::json;

use crate::answer::Answer;
use crate::conversion::text;
use crate::document::read_text;
use crate::error::{Category, Error};

pub(crate) fn check(arguments: &ArgMatches) -> Result<Answer, Error> {
    let path = text(arguments, "file");
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
    Ok(Answer::new(line, json))
}
