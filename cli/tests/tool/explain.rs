//! `explain`: the cause of each outcome of a request.

use std::fmt::Write;

use mimosabay_core::cases;

use crate::support::run;

const ID: &str = "9c41d07be2a35f68";

/// Returns a log line about the request.
fn line(second: u32, event: &str, fields: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-07-26T05:30:{second:02}Z","level":"INFO","event":"{event}","id":"{ID}",{fields}}}"#
    )
}

fn explains(lines: &[(&str, &str)], cause: &str) {
    let mut log = String::from("not a line of a log\n");
    for (second, (event, fields)) in (0..).zip(lines) {
        writeln!(log, "   1.5 instance-1 {}", line(second, event, fields)).expect("a string");
        log += r#"{"timestamp":"2026-07-26T05:30:00Z","event":"answered","id":"another","status":200}"#;
        log += "\n";
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let outcome = runtime.block_on(run(&["explain", ID, "-"], &log));
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    let last = outcome.stdout.lines().last().unwrap_or_default();
    assert!(last.contains(cause), "{last}");
    assert_eq!(outcome.stdout.lines().count(), lines.len() + 1);
}

const PLACED: (&str, &str) = ("placed", r#""server":"s1","is_placed":true"#);

cases! {
    explains;
    answered: (&[("answered", r#""server":"s1","status":200"#)], "answered");
    over_rate: (&[("refused", r#""reason":"OverRate","is_placed":true"#)], "exceeded its rate");
    overloaded: (&[("refused", r#""reason":"Overloaded","is_placed":true"#)], "in time");
    no_server: (&[("refused", r#""reason":"NoServer","is_placed":true"#)], "could load it");
    no_placer: (&[("refused", r#""reason":"NoServer","is_placed":false"#)], "no placer was available");
    quarantined: (&[("refused", r#""reason":"Quarantined","is_placed":true"#)], "crashed several");
    denied: (&[("denied", r#""status":401,"reason":"NoKey""#)], "NoKey");
    complete_stream: (&[PLACED, ("stream_ended", r#""server":"s1","end":"Complete""#)], "complete");
    caller_left: (&[PLACED, ("stream_ended", r#""server":"s1","end":"CallerLeft""#)], "caller disconnected");
    timed_out_stream: (&[PLACED, ("stream_ended", r#""server":"s1","end":"TimedOut""#)], "timed out");
    stream_cut_without_a_retry: (&[PLACED, ("stream_ended", r#""server":"s1","end":"Broken""#), ("answer_cut", r#""reason":"NoRetry""#)], "No further attempt");
    stream_cut_after_a_refusal: (&[PLACED, ("stream_ended", r#""server":"s1","end":"Broken""#), ("answer_cut", r#""reason":"Refused(Overloaded)""#)], "Refused(Overloaded)");
    timed_out_stream_that_was_cut: (&[PLACED, ("stream_ended", r#""server":"s1","end":"TimedOut""#), ("answer_cut", r#""reason":"TimedOut""#)], "timed out");
    broken_stream: (&[PLACED, ("stream_ended", r#""server":"s1","end":"Broken""#)], "server s1 broke");
    booking_with_broken_connection: (
        &[
            ("attempt_failed", r#""server":"s1","failure":"Broken""#),
            ("failed", r#""reason":"Broken","status":502"#),
        ],
        "it may have run (Broken at s1)",
    );
    booking_that_was_rejected: (
        &[
            ("attempt_failed", r#""server":"s1","failure":"Rejected""#),
            ("attempt_failed", r#""server":"s2","failure":"Unreachable""#),
            ("failed", r#""reason":"Unreachable","status":503"#),
        ],
        "it has not run (Rejected at s1, Unreachable at s2)",
    );
    error_of_a_server: (
        &[
            ("attempt_failed", r#""server":"s1","failure":"Broken""#),
            ("failed", r#""reason":"server_error""#),
        ],
        "answered with an error",
    );
    unknown_outcome: (&[PLACED], "not in these logs");
}

#[tokio::test]
async fn request_that_is_in_no_log_is_not_found() {
    let outcome = run(&["explain", ID, "-"], "{}\n").await;
    assert_eq!(outcome.code, 4);
    assert!(outcome.stderr.contains(ID));
}
