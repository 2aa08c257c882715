//! Output of a command in its formats.

use clap::ArgMatches;
use serde_json::Value;

/// Format in which a command prints its output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    Table,
    /// JSON for programs.
    Json,
    /// HTML page with plots; for reports only.
    Html,
}

/// Output of a command in each format that it supports.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    /// Human-readable text; each line ends with a newline.
    pub(crate) text: String,
    /// The same content for programs.
    pub(crate) json: Value,
    /// The same content as an HTML page, if the command supports it.
    pub(crate) html: Option<String>,
    /// Whether the command printed its output itself, so nothing is left to print.
    is_printed: bool,
}

impl OutputFormat {
    /// Reads the `--output` option of the innermost subcommand.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let mut innermost = matches;
        while let Some((_, arguments)) = innermost.subcommand() {
            innermost = arguments;
        }
        let requested = innermost.try_get_one::<String>("output").ok().flatten();
        match requested.map(String::as_str) {
            Some("json") => OutputFormat::Json,
            Some("html") => OutputFormat::Html,
            _ => OutputFormat::Table,
        }
    }
}

impl CommandOutput {
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            html: None,
            is_printed: false,
        }
    }

    /// Creates the empty output of a command that printed its output itself.
    pub(crate) fn already_printed() -> Self {
        Self {
            is_printed: true,
            ..Self::new("", Value::Null)
        }
    }

    pub(crate) fn render(&self, output: OutputFormat) -> String {
        if self.is_printed {
            return String::new();
        }
        match (output, &self.html) {
            (OutputFormat::Json, _) => format!("{:#}\n", self.json),
            (OutputFormat::Html, Some(html)) => html.clone(),
            _ => self.text.clone(),
        }
    }
}
