//! Prefill queues of engines, and how long a request waits in them.

use mimosabay_core::cell::{Action, Cell, PlacementRequest, PlacementResponse, RunOutcome};
use mimosabay_core::prompt::{Prompt, PromptPart};

use super::support::{
    ADAPTER_LIMIT, backend, confirmed, ended, execute_orders, granted, placement_request, refused,
};

/// Shortest duration of an adapter load, in milliseconds.
const LOAD_MS: u64 = 250;
/// Longest step of an engine, in milliseconds.
const STEP_MS: u64 = 250;
const URGENT: u8 = 0;
const LESS_URGENT: u8 = 1;

/// Returns a request whose prompt shares no part with another.
fn request(number: u64, adapter: &str, urgency: u8, prompt_tokens: u64) -> PlacementRequest {
    let request = placement_request(number, adapter);
    PlacementRequest {
        prompt: Prompt {
            prompt_tokens,
            parts: vec![PromptPart {
                id: 1_000 + number,
                tokens: prompt_tokens,
            }],
            ..request.prompt
        },
        urgency,
        ..request
    }
}

/// Returns the forecast time to the first event of a request that is granted at once.
fn first_event_ms(cell: &mut Cell, request: PlacementRequest, now_ms: u64) -> u64 {
    let own_ticket = request.ticket;
    cell.request_placement(request, now_ms);
    let actions = cell.take_actions();
    let forecast = actions.iter().find_map(|action| match action {
        Action::Answer {
            ticket,
            response: PlacementResponse::Granted { first_event_ms, .. },
        } if *ticket == own_ticket => Some(*first_event_ms),
        _ => None,
    });
    forecast.expect("a grant")
}

#[test]
fn prompt_whose_adapter_is_loading_delays_no_other() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &["held"])]);
    for number in 0..3 {
        cell.request_placement(request(number, "coming", URGENT, 9_000), 0);
    }
    let actions = cell.take_actions();
    let (orders, _) = execute_orders(&mut cell, actions, 0);
    assert_eq!(orders.len(), 1);
    let forecast_ms = first_event_ms(&mut cell, request(9, "held", URGENT, 1_000), 10);
    assert!(forecast_ms < LOAD_MS, "{forecast_ms} ms");
}

#[test]
fn urgent_prompt_waits_for_one_step_of_less_urgent_ones() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    for number in 0..4 {
        cell.request_placement(request(number, "", LESS_URGENT, 9_000), 0);
    }
    cell.take_actions();
    let own_ms = 1_000 / 25;
    let forecast_ms = first_event_ms(&mut cell, request(9, "", URGENT, 1_000), 10);
    assert!(forecast_ms <= STEP_MS + own_ms, "{forecast_ms} ms");
}

#[test]
fn prompts_of_one_rank_are_prefilled_in_order() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    let one_ms = first_event_ms(&mut cell, request(0, "", URGENT, 9_000), 0);
    let two_ms = first_event_ms(&mut cell, request(1, "", URGENT, 9_000), 0);
    assert_eq!(two_ms, 2 * one_ms);
    let later_ms = first_event_ms(&mut cell, request(2, "", URGENT, 9_000), one_ms);
    assert_eq!(later_ms, 2 * one_ms);
}

#[test]
fn prompt_of_a_caller_that_left_delays_no_other() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    let one_ms = first_event_ms(&mut cell, request(0, "", URGENT, 9_000), 0);
    first_event_ms(&mut cell, request(1, "", URGENT, 9_000), 0);
    cell.end_run(&ended(1, RunOutcome::Cancelled), 0);
    let next_ms = first_event_ms(&mut cell, request(2, "", URGENT, 9_000), 0);
    assert_eq!(next_ms, 2 * one_ms);
}

/// Long prompts come at six times the engine's prefill capacity, and urgent questions for a third
/// of it: all questions are granted, and long prompts get the rest.
#[test]
fn urgent_questions_are_granted_in_a_burst_of_long_prompts() {
    const EVERY_MS: usize = 50;
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    let (mut questions, mut long_prompts) = (0, 0);
    for (number, now_ms) in (0..).zip((0..10_000).step_by(EVERY_MS)) {
        cell.request_placement(request(2 * number, "", LESS_URGENT, 9_000), now_ms);
        cell.request_placement(request(2 * number + 1, "", URGENT, 500), now_ms);
        let actions = cell.take_actions();
        let is_question = |number: u64| number % 2 == 1;
        let refused = refused(&actions);
        assert!(!refused.iter().any(|(number, _)| is_question(*number)));
        for (number, _) in granted(&actions) {
            if is_question(number) {
                questions += 1;
            } else {
                long_prompts += 1;
            }
        }
    }
    assert_eq!(questions, 200);
    assert!(long_prompts >= 20, "{long_prompts} long prompts");
}

/// Long prompts come at three times the engine's prefill speed, for ten seconds.
#[test]
fn requests_granted_in_a_burst_meet_their_target() {
    const EVERY_MS: usize = 100;
    const TARGET_MS: u64 = 1_000;
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    let (mut in_time, mut refused_any) = (0, false);
    for (number, now_ms) in (0..).zip((0..10_000).step_by(EVERY_MS)) {
        let mut request = request(number, "", URGENT, 9_000);
        request.target_ms = TARGET_MS;
        cell.request_placement(request, now_ms);
        for action in cell.take_actions() {
            match action {
                Action::Answer {
                    response: PlacementResponse::Granted { first_event_ms, .. },
                    ..
                } => {
                    assert!(first_event_ms <= TARGET_MS, "{first_event_ms} ms");
                    in_time += 1;
                }
                _ => refused_any = true,
            }
        }
    }
    assert!(refused_any);
    assert!(in_time >= 30, "{in_time} in time");
}

#[test]
fn request_past_its_target_is_still_granted() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("s1", &[])]);
    for number in 0..3 {
        first_event_ms(&mut cell, request(number, "", URGENT, 9_000), 0);
    }
    let mut late = request(3, "", URGENT, 9_000);
    late.target_ms = 0;
    first_event_ms(&mut cell, late, 0);
}
