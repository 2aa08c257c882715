//! `explain`: reconstructs the history of a request from the logs of the instances.

use clap::ArgMatches;
use serde_json::{Map, Value, json};

use crate::conversion::text_argument;
use crate::document::read_text;
use crate::error::{Category, Error};
use crate::output::CommandOutput;

/// Fields that are omitted from the list of an entry's fields: `timestamp` and `event` are printed
/// before it, `level` and `id` are not printed.
const SEPARATE_FIELDS: [&str; 4] = ["timestamp", "level", "event", "id"];

/// A log line about the request.
struct LogEntry {
    time: String,
    file: String,
    event: String,
    fields: Map<String, Value>,
}

/// Reads logs, and lists the events of a request and the cause of its outcome.
pub(crate) fn run(arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let id = text_argument(arguments, "request");
    let files = arguments.get_many::<String>("log").unwrap_or_default();
    let mut entries = Vec::new();
    for file in files {
        let log = read_text(file)?;
        entries.extend(log.lines().filter_map(|line| parse_entry(line, id, file)));
    }
    if entries.is_empty() {
        let message = format!("no line about request {id}");
        return Err(Error::new(Category::NotFound, message));
    }
    entries.sort_by(|one, other| one.time.cmp(&other.time));
    let cause = cause(&entries);
    let lines: Vec<String> = entries.iter().map(LogEntry::line).collect();
    let json = json!({
        "request": id,
        "cause": cause,
        "steps": entries.iter().map(LogEntry::json).collect::<Vec<_>>(),
    });
    Ok(CommandOutput::new(
        format!("{}\n{cause}\n", lines.join("\n")),
        json,
    ))
}

/// Parses a log line if it is about the request. Skips text before the JSON object, because the
/// bench and other log collectors add a prefix.
fn parse_entry(line: &str, id: &str, file: &str) -> Option<LogEntry> {
    let start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    if fields.get("id")?.as_str()? != id {
        return None;
    }
    let text_field = |fields: &Map<String, Value>, name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (time, event) = (
        text_field(&fields, "timestamp"),
        text_field(&fields, "event"),
    );
    fields.retain(|name, _| !SEPARATE_FIELDS.contains(&name.as_str()));
    Some(LogEntry {
        time,
        file: file.to_owned(),
        event,
        fields,
    })
}

impl LogEntry {
    fn line(&self) -> String {
        let fields = self.fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{} {} {} {}",
            self.time,
            self.file,
            self.event,
            fields.join(" ")
        )
    }

    fn json(&self) -> Value {
        json!({
            "time": self.time,
            "log": self.file,
            "event": self.event,
            "fields": self.fields,
        })
    }

    fn text_field(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn is_placed(&self) -> bool {
        self.fields
            .get("is_placed")
            .and_then(Value::as_bool)
            .unwrap_or(true)
    }
}

/// Explains the outcome of the request in one sentence.
fn cause(entries: &[LogEntry]) -> String {
    let failed: Vec<&LogEntry> = of_event(entries, "attempt_failed");
    let Some(last) = entries.last() else {
        return String::new();
    };
    match last.event.as_str() {
        "answered" => "It was answered.".into(),
        "refused" => refusal_cause(last),
        "denied" => format!(
            "It was not permitted or was malformed: {}.",
            last.text_field("reason")
        ),
        "stream_ended" => stream_end_cause(last),
        "answer_cut" => cut_cause(entries, last),
        "failed" => failure_cause(last, &failed),
        _ => "Its outcome is not in these logs: it is running, its caller disconnected, or a \
              log is missing."
            .into(),
    }
}

fn of_event<'a>(entries: &'a [LogEntry], event: &str) -> Vec<&'a LogEntry> {
    entries
        .iter()
        .filter(|entry| entry.event == event)
        .collect()
}

fn refusal_cause(entry: &LogEntry) -> String {
    let reason = match (entry.text_field("reason"), entry.is_placed()) {
        ("OverRate", _) => "its organisation had exceeded its rate",
        ("Overloaded", _) => "no server could have answered in time",
        ("Quarantined", _) => "it had crashed several servers",
        (_, true) => "no server held its adapter or could load it",
        (_, false) => "no placer was available, and no server was known to hold its adapter",
    };
    format!("It was refused and has not run: {reason}.")
}

fn stream_end_cause(entry: &LogEntry) -> String {
    match entry.text_field("end") {
        "Complete" => "Its stream was complete.".into(),
        "CallerLeft" => "Its caller disconnected before the stream had ended.".into(),
        "TimedOut" => "It timed out before the stream had ended.".into(),
        _ => format!(
            "The stream of server {} broke and was not resumed on another server.",
            entry.text_field("server")
        ),
    }
}

/// Explains why the caller's connection was closed before the answer was complete.
fn cut_cause(entries: &[LogEntry], cut: &LogEntry) -> String {
    let streams = of_event(entries, "stream_ended");
    let stream = streams.last().map(|stream| stream_end_cause(stream));
    let stream = stream.unwrap_or_else(|| "It was not resumed on another server.".into());
    match cut.text_field("reason") {
        "NoRetry" => format!("{stream} No further attempt was allowed."),
        "" | "TimedOut" | "CallerLeft" => stream,
        refused => format!("{stream} The last placement request ended with {refused}."),
    }
}

fn failure_cause(last: &LogEntry, failed: &[&LogEntry]) -> String {
    let attempts: Vec<String> = failed
        .iter()
        .map(|entry| {
            format!(
                "{} at {}",
                entry.text_field("failure"),
                entry.text_field("server")
            )
        })
        .collect();
    let has_run = failed.iter().any(|entry| {
        matches!(
            entry.text_field("failure"),
            "Broken" | "Foreign" | "TimedOut"
        )
    });
    let ran = if has_run {
        "it may have run"
    } else {
        "it has not run"
    };
    let what = match last.text_field("reason") {
        "server_error" => "A server answered with an error",
        "TimedOut" => "No answer arrived in time",
        _ => "No attempt produced a complete answer",
    };
    format!("{what}; {ran} ({}).", attempts.join(", "))
}
