//! Tests of streams that are cut into pieces and resumed at any offset.

use proptest::prelude::*;

use super::{MAX_EVENT_BYTES, Splitter, TooLong};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(usize::try_from(number % 7).unwrap()))
}

fn stream(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

/// Pushes `text` in pieces cut at the given offsets and returns the output.
fn push(splitter: &mut Splitter, text: &str, cuts: &[usize]) -> String {
    let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).chain([0, text.len()]).collect();
    offsets.sort_unstable();
    let pieces = offsets.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]);
    let whole = pieces.filter_map(|piece| splitter.push(piece).expect("events are short"));
    whole.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap()).collect()
}

proptest! {
    #[test]
    fn stream_cut_into_pieces_comes_out_whole(last in 1_u64..20, cuts in prop::collection::vec(any::<usize>(), 0..12)) {
        let mut splitter = Splitter::new(None);
        prop_assert_eq!(push(&mut splitter, &stream(1, last), &cuts), stream(1, last));
        prop_assert!(!splitter.is_partial());
        prop_assert_eq!(splitter.last(), Some(last));
    }

    /// The first server stops at any byte; the next one continues after the last whole
    /// event or repeats some events. Each event must come out once and in order.
    #[test]
    fn interrupted_and_resumed_stream_comes_out_once(
        last in 2_u64..20,
        broken in any::<usize>(),
        repeated in 0_u64..5,
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let text = stream(1, last);
        let mut splitter = Splitter::new(None);
        let mut out = push(&mut splitter, &text[..broken % text.len()], &cuts);
        splitter.restart();
        let from = splitter.last().map_or(1, |last| (last + 1).saturating_sub(repeated).max(1));
        out += &push(&mut splitter, &stream(from, last), &cuts);
        prop_assert_eq!(out, text);
    }

    #[test]
    fn arbitrary_bytes_are_accepted(input in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = Splitter::new(Some(3));
        for piece in input.chunks(7) {
            prop_assert!(splitter.push(piece).is_ok());
        }
    }
}

/// An event that never ends must not take all memory.
#[test]
fn endless_event_is_rejected() {
    let mut splitter = Splitter::new(None);
    assert_eq!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]), Err(TooLong));
}
