//! Engines of different speeds, and streams beside long prompts.

use std::collections::BTreeMap;

use mimosabay_core::cell::{Cell, EndedRun, PlacementRequest, RunOutcome};
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::site::{RetrySafety, Route, Site};

use crate::support::{
    ADAPTER_LIMIT, MODEL, backend, confirmed, ended, granted, placement_request, refused, service,
};

/// Longest pause with which a stream is on time, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;
/// Tokens of a long prompt.
const LONG_TOKENS: u64 = 9_000;
const LESS_URGENT: u8 = 5;
const MORE_URGENT: u8 = 0;

fn site() -> Site {
    let route = Route {
        name: "draft".into(),
        host: "site.example".into(),
        path_prefix: "/".into(),
        retry_safety: RetrySafety::ResumableStream,
        timeout_ms: 5_000,
        target_latency_ms: 1_000,
        priority: 0,
        services: vec![("engines".into(), 1.0)],
        max_attempts: 2,
        is_public: true,
        max_pause_ms: Some(MAX_PAUSE_MS),
        home_regions: Vec::new(),
    };
    let services = vec![service(ADAPTER_LIMIT)];
    Site::new(2, vec![route], services, None, std::sync::Arc::default())
}

fn uneven_cell(engines: &[&str]) -> Cell {
    let engines: Vec<_> = engines.iter().map(|id| backend(id, &["a1"])).collect();
    let mut cell = confirmed(ADAPTER_LIMIT, &engines);
    cell.configure(&site(), 0);
    cell.mark_uneven(&"engines".into());
    cell
}

/// A request with a prompt that no engine has cached.
fn prompt_of(number: u64, urgency: u8, tokens: u64) -> PlacementRequest {
    PlacementRequest {
        urgency,
        prompt: Prompt {
            model: MODEL.into(),
            adapter: Some("a1".into()),
            prompt_tokens: tokens,
            answer_tokens: 100,
            parts: vec![PromptPart {
                id: 1_000_000 + number,
                tokens,
            }],
        },
        ..placement_request(number, "a1")
    }
}

/// Guards against long prompts that are spread evenly over engines of different speeds.
#[test]
fn slow_engine_gets_fewer_long_prompts() {
    let mut cell = uneven_cell(&["slow", "fast"]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut ends: Vec<(u64, EndedRun)> = Vec::new();
    for number in 0..300_u64 {
        let now_ms = 1_000 + number * 100;
        for (_, run) in ends.extract_if(.., |(end_ms, _)| *end_ms <= now_ms) {
            cell.end_run(&run, now_ms);
        }
        cell.request_placement(prompt_of(number, LESS_URGENT, LONG_TOKENS), now_ms);
        let Some((_, server)) = granted(&cell.take_actions()).pop() else {
            continue;
        };
        let first_event_ms = if &*server == "slow" { 600 } else { 250 };
        let run = EndedRun {
            first_event_ms: Some(first_event_ms),
            ..ended(number, RunOutcome::Answered)
        };
        ends.push((now_ms + first_event_ms + 50, run));
        if number >= 100 {
            *counts.entry(server.to_string()).or_default() += 1;
        }
    }
    let count = |id: &str| counts.get(id).copied().unwrap_or_default();
    assert!(count("fast") > 2 * count("slow"), "{counts:?}");
    assert!(count("slow") > 0, "{counts:?}");
}

/// Starts streams with short prompts on an engine, which run on.
fn start_streams(cell: &mut Cell, numbers: std::ops::Range<u64>, urgency: u8, excluded: &str) {
    for number in numbers {
        let request = PlacementRequest {
            excluded: vec![excluded.into()],
            ..prompt_of(number, urgency, 200)
        };
        cell.request_placement(request, 1_000);
    }
    cell.take_actions();
    cell.tick(3_000);
}

/// Guards against long prompts beside streams while another engine has none.
#[test]
fn long_prompts_avoid_engines_with_streams() {
    let mut cell = uneven_cell(&["streams", "free"]);
    start_streams(&mut cell, 0..12, MORE_URGENT, "free");
    for number in 100..102 {
        cell.request_placement(prompt_of(number, LESS_URGENT, 12_000), 3_000);
    }
    let granted = granted(&cell.take_actions());
    assert_eq!(granted.len(), 2);
    assert!(
        granted.iter().all(|(_, server)| &**server == "free"),
        "{granted:?}"
    );
}

/// Guards against many urgent streams that are late for one less urgent prompt.
#[test]
fn less_urgent_prompt_yields_to_urgent_streams() {
    let mut cell = uneven_cell(&["only"]);
    start_streams(&mut cell, 0..20, MORE_URGENT, "none");
    cell.request_placement(prompt_of(100, LESS_URGENT, 3 * LONG_TOKENS), 3_000);
    assert_eq!(refused(&cell.take_actions()).len(), 1);
    cell.request_placement(prompt_of(101, MORE_URGENT, 3 * LONG_TOKENS), 3_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Where servers say nothing of the time that work takes, streams do not count.
#[test]
fn prompt_is_granted_beside_streams_of_even_engines() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("only", &["a1"])]);
    cell.configure(&site(), 0);
    start_streams(&mut cell, 0..20, MORE_URGENT, "none");
    cell.request_placement(prompt_of(100, LESS_URGENT, 3 * LONG_TOKENS), 3_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Guards against an engine that is lost while others are slower: what it had goes on there.
#[test]
fn slower_engine_serves_once_the_faster_one_is_lost() {
    let mut cell = uneven_cell(&["slow", "fast"]);
    cell.set_backends([backend("slow", &["a1"])].iter(), 2_000);
    cell.request_placement(prompt_of(1, LESS_URGENT, LONG_TOKENS), 2_000);
    let granted = granted(&cell.take_actions());
    assert_eq!(granted, [(1, "slow".into())]);
}
