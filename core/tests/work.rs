//! Identity of work that may crash servers.

use mimosabay_core::cases;
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::work::{Fingerprint, Work};

fn prompt(ids: &[u64]) -> Prompt {
    Prompt {
        model: "base".into(),
        adapter: None,
        prompt_tokens: 100,
        answer_tokens: 10,
        parts: ids
            .iter()
            .map(|id| PromptPart {
                id: *id,
                tokens: 10,
            })
            .collect(),
    }
}

fn has_fingerprints_of_parts(ids: &[u64], expected: &[u64]) {
    let work = Work::new(9, Some(&prompt(ids)));
    let parts = expected.iter().map(|id| Fingerprint::PromptPart(*id));
    let expected: Vec<_> = [Fingerprint::Request(9)].into_iter().chain(parts).collect();
    assert_eq!(work.fingerprints().collect::<Vec<_>>(), expected);
}

cases! {
    has_fingerprints_of_parts;
    prompt_without_parts: (&[], &[]);
    last_part_belongs_to_the_request: (&[1], &[]);
    shared_parts: (&[3, 1, 2], &[1, 3]);
    part_that_occurs_twice: (&[1, 1, 2], &[1]);
    part_that_is_also_the_last: (&[1, 2, 1], &[1, 2]);
}

#[test]
fn request_without_a_prompt_has_one_fingerprint() {
    let work = Work::new(9, None);
    let fingerprints: Vec<_> = work.fingerprints().collect();
    assert_eq!(fingerprints, [Fingerprint::Request(9)]);
}

/// Guards against a part that crashes servers and is never refused, because others stand before it.
#[test]
fn each_shared_part_of_a_long_prompt_has_a_fingerprint() {
    let ids: Vec<u64> = (0..10_000).rev().collect();
    let work = Work::new(9, Some(&prompt(&ids)));
    assert_eq!(work.parts().count(), 9_999);
    assert!((1..10_000).all(|id| work.contains(Fingerprint::PromptPart(id))));
    assert!(!work.contains(Fingerprint::PromptPart(0)));
    assert!(work.parts_text().len() < 200);
}

#[test]
fn parts_of_other_work_are_removed() {
    let mut work = Work::new(9, Some(&prompt(&[5, 1, 8, 3, 9, 0])));
    work.remove_parts_of(&Work::new(7, Some(&prompt(&[2, 3, 8, 11, 0]))));
    let left: Vec<_> = work.parts().collect();
    assert_eq!(left, [1, 5, 9].map(Fingerprint::PromptPart));
}

fn suspects_parts(streamed_ms: u64, expected: bool) {
    let work = Work::new(9, Some(&prompt(&[1, 2]))).interrupted_after(streamed_ms);
    assert!(work.contains(Fingerprint::Request(9)));
    assert_eq!(work.contains(Fingerprint::PromptPart(1)), expected);
}

cases! {
    suspects_parts;
    server_that_sent_nothing: (0, true);
    server_that_began_to_answer: (1_000, true);
    server_that_had_been_answering: (1_001, false);
}

fn is_read_from(text: &str, expected: Fingerprint) {
    assert_eq!(text.parse(), Ok(expected));
    assert_eq!(expected.to_string(), text);
}

cases! {
    is_read_from;
    text_of_a_request: ("1f", Fingerprint::Request(0x1f));
    text_of_a_part: ("part:1f", Fingerprint::PromptPart(0x1f));
}

#[test]
fn text_that_is_no_number_is_not_a_fingerprint() {
    assert!("part:".parse::<Fingerprint>().is_err());
    assert!("chapter:1f".parse::<Fingerprint>().is_err());
}
