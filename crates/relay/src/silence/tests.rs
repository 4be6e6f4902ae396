//! Tests of calls to the store whose answers never end, or never come.

use std::{convert::Infallible, time::Duration};

use futures::FutureExt;
use tokio::time::{sleep, timeout};

use super::{bounded, repeated};
use crate::source::{Fault, Progress};

/// An answer keeps arriving and never ends. If it were awaited, its kind of record would never be
/// updated again.
#[tokio::test]
async fn answer_that_trickles_without_end_is_given_up() {
    let progress = Progress::default();
    let trickling = async {
        loop {
            progress.record_arrival();
            sleep(Duration::from_millis(50)).await;
        }
    };
    let call = bounded::<Infallible>(&progress, Duration::ZERO, trickling);
    let result = timeout(Duration::from_secs(40), call).await.expect("the call should be given up");
    assert!(matches!(result, Err(Fault::Lost(_))), "{result:?}");
}

/// The first call was on its way when the store went away. Another one must bring the answer before the
/// first is given up.
#[tokio::test]
async fn silent_call_is_repeated() {
    let progress = Progress::default();
    let (first, pause) = (std::future::pending().boxed(), Duration::from_millis(50));
    let mut repeats = 0;
    let again = || {
        repeats += 1;
        let number = repeats;
        async move { if number < 2 { std::future::pending().await } else { Ok(number) } }.boxed()
    };
    let result = repeated(&progress, Duration::ZERO, pause, first, again).await;
    assert!(matches!(result, Ok(2)), "{result:?}");
}

/// An answer that has begun to arrive is waited for: another call would only slow it down.
#[tokio::test]
async fn call_whose_answer_arrives_is_not_repeated() {
    let progress = Progress::default();
    let arriving = async {
        for _ in 0..10 {
            progress.record_arrival();
            sleep(Duration::from_millis(30)).await;
        }
        Ok(0)
    };
    let again = || std::future::ready(Ok(1)).boxed();
    let result = repeated(&progress, Duration::ZERO, Duration::from_millis(50), arriving.boxed(), again).await;
    assert!(matches!(result, Ok(0)), "{result:?}");
}

/// A rejected call beside one that is under way does not end the waiting.
#[tokio::test]
async fn rejected_repeat_does_not_end_a_call() {
    let progress = Progress::default();
    let late = async {
        sleep(Duration::from_millis(200)).await;
        Ok(0)
    };
    let again = || std::future::ready(Err(Fault::Refused("429".into()))).boxed();
    let result = repeated(&progress, Duration::ZERO, Duration::from_millis(50), late.boxed(), again).await;
    assert!(matches!(result, Ok(0)), "{result:?}");
}
