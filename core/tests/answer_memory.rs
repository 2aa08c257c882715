//! Limit on the memory that answers in progress take together.

use mimosabay_core::answer_memory::{Allocation, AnswerMemory, AnswerNumber};

const LIMIT_BYTES: usize = 100;

/// Creates answers that hold some bytes each.
fn answers<const N: usize>(bytes: [usize; N]) -> (AnswerMemory, [AnswerNumber; N]) {
    let mut memory = AnswerMemory::new(LIMIT_BYTES);
    let numbers = bytes.map(|bytes| {
        let number = memory.add();
        assert_eq!(memory.resize(number, bytes), Allocation::Granted);
        number
    });
    (memory, numbers)
}

#[test]
fn answers_within_the_limit_are_granted() {
    let (mut memory, [one, _]) = answers([40, 40]);
    assert_eq!(memory.resize(one, 60), Allocation::Granted);
    assert_eq!(memory.used_bytes(), LIMIT_BYTES);
}

#[test]
fn largest_answer_gives_way_to_a_smaller_one() {
    let (mut memory, [small, large, middle]) = answers([10, 60, 30]);
    assert_eq!(
        memory.resize(small, 20),
        Allocation::GrantedInPlaceOf(large)
    );
    assert_eq!(memory.used_bytes(), 50);
    assert_eq!(memory.resize(large, 61), Allocation::Refused);
    assert_eq!(memory.resize(middle, 31), Allocation::Granted);
}

#[test]
fn largest_answer_is_refused_more() {
    let (mut memory, [small, large]) = answers([30, 70]);
    assert_eq!(memory.resize(large, 71), Allocation::Refused);
    assert_eq!(memory.used_bytes(), 30);
    assert_eq!(memory.resize(small, 90), Allocation::Granted);
}

#[test]
fn complete_answer_does_not_give_way() {
    let (mut memory, [small, complete, other]) = answers([10, 60, 30]);
    memory.complete(complete);
    assert_eq!(
        memory.resize(small, 20),
        Allocation::GrantedInPlaceOf(other)
    );
    assert_eq!(memory.resize(small, 41), Allocation::Refused);
    memory.remove(complete);
    assert_eq!(memory.used_bytes(), 0);
}

#[test]
fn answer_that_gave_way_frees_its_memory_once() {
    let (mut memory, [small, large]) = answers([10, 90]);
    assert_eq!(
        memory.resize(small, 20),
        Allocation::GrantedInPlaceOf(large)
    );
    memory.remove(large);
    memory.remove(small);
    assert_eq!(memory.used_bytes(), 0);
}

/// Whatever answers do, the limit holds and nothing stays behind.
#[test]
fn limit_holds_for_any_sequence() {
    arbtest::arbtest(|u| {
        let mut memory = AnswerMemory::new(LIMIT_BYTES);
        let mut numbers = Vec::new();
        for _ in 0..u.int_in_range(1..=60)? {
            match u.int_in_range(0..=9)? {
                0..=2 => numbers.push(memory.add()),
                3 if !numbers.is_empty() => memory.complete(*u.choose(&numbers)?),
                4 if !numbers.is_empty() => {
                    let number = *u.choose(&numbers)?;
                    memory.remove(number);
                    numbers.retain(|it| *it != number);
                }
                _ if !numbers.is_empty() => {
                    let bytes = u.int_in_range(0..=120)?;
                    memory.resize(*u.choose(&numbers)?, bytes);
                }
                _ => {}
            }
            assert!(memory.used_bytes() <= LIMIT_BYTES);
        }
        for number in numbers {
            memory.remove(number);
        }
        assert_eq!(memory.used_bytes(), 0);
        Ok(())
    });
}
