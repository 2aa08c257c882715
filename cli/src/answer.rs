//! What a command prints.

use clap::ArgMatches;
use serde_json::Value;

/// Form of what is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Text for people.
    Table,
    /// JSON for programs.
    Json,
    /// One page with plots; reports only.
    Html,
}

/// What a command prints, in each form that it has.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Text for people, whole lines.
    pub(crate) text: String,
    /// The same for programs.
    pub(crate) json: Value,
    /// The same as a page, if the command has one.
    pub(crate) html: Option<String>,
    /// Whether all was printed already.
    is_silent: bool,
}

impl Output {
    /// Finds the form that the innermost subcommand was asked for.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let mut innermost = matches;
        while let Some((_, arguments)) = innermost.subcommand() {
            innermost = arguments;
        }
        let asked = innermost.try_get_one::<String>("output").ok().flatten();
        match asked.map(String::as_str) {
            Some("json") => Output::Json,
            Some("html") => Output::Html,
            _ => Output::Table,
        }
    }
}

impl Answer {
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            html: None,
            is_silent: false,
        }
    }

    /// An answer of a command that prints by itself.
    pub(crate) fn silent() -> Self {
        Self {
            is_silent: true,
            ..Self::new("", Value::Null)
        }
    }

    pub(crate) fn render(&self, output: Output) -> String {
        if self.is_silent {
            return String::new();
        }
        match (output, &self.html) {
            (Output::Json, _) => format!("{:#}\n", self.json),
            (Output::Html, Some(html)) => html.clone(),
            _ => self.text.clone(),
        }
    }
}
