//! Blocks hold a body whole, and never more than is charged for them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::{Builder, MAX_BLOCK_BYTES, Payload};

/// Receives a body in frames of a length and returns it with the capacity that was charged.
fn receive(expected: Option<usize>, length: usize, frame: usize) -> (Payload, usize) {
    let (mut whole, mut charged) = (Builder::new(expected), 0);
    let text: Vec<u8> = (0..length).map(|number| u8::try_from(number % 251).unwrap()).collect();
    for part in text.chunks(frame) {
        let mut data = Bytes::copy_from_slice(part);
        while !data.is_empty() {
            if let Some(block) = whole.next_block() {
                charged += block;
                whole.add_block(block);
            }
            whole.fill(&mut data);
        }
    }
    (whole.finish(), charged)
}

fn check(expected: Option<usize>, length: usize, frame: usize, most: usize) {
    let (payload, charged) = receive(expected, length, frame);
    assert!((length..=most).contains(&charged), "{charged} bytes are charged for {length}");
    assert_eq!(payload.size_hint().exact(), Some(length as u64));
    assert!(payload.blocks().all(|block| block.len() <= MAX_BLOCK_BYTES));
    let body: Vec<u8> = payload.blocks().flatten().copied().collect();
    assert!(body.iter().enumerate().all(|(number, byte)| usize::from(*byte) == number % 251));
    assert_eq!(body.len(), length);
}

macro_rules! bodies {
    ($($name:ident: $expected:expr, $length:expr, $frame:expr => $most:expr;)*) => {$(
        #[test]
        fn $name() {
            check($expected, $length, $frame, $most);
        }
    )*};
}

// A buffer that doubles took up to three times what was reserved for it.
bodies! {
    empty_body_takes_nothing: Some(0), 0, 1 => 0;
    short_body_takes_its_length: Some(800), 800, 100 => 800;
    long_body_takes_its_length: Some(1 << 20), 1 << 20, 8_191 => 1 << 20;
    body_of_small_chunks_takes_twice_its_length: None, 100_000, 1 => 200_000;
    chunks_beyond_a_block_take_no_more_than_one_more: None, 1 << 20, 8_191 => (1 << 20) + MAX_BLOCK_BYTES;
    short_chunk_takes_the_smallest_block: None, 10, 10 => 512;
}

/// A body is sent again after a failed try, from its beginning.
#[tokio::test]
async fn clones_are_read_independently() {
    let (payload, _) = receive(None, 50_000, 1_000);
    let first = payload.clone().collect().await.unwrap().to_bytes();
    let second = payload.collect().await.unwrap().to_bytes();
    assert_eq!((first.len(), &first), (50_000, &second));
}
