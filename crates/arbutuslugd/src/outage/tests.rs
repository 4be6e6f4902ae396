//! Begin and end of outages in the time line.

use std::time::Duration;

use timeline::{Capacity, Event, Filter, Kind, OutageStep, Recorder, Source};
use tokio::{sync::watch, time::sleep};
use world::instance::Incarnation;

use super::record;

/// The platform goes silent for seven seconds and comes back: one begin, one
/// end that tells how long, and nothing for a word that changes nothing.
#[tokio::test(start_paused = true)]
async fn outage_has_one_begin_and_one_end() {
    let source = Source { instance: "i1".parse().unwrap(), incarnation: Incarnation(1) };
    let recorder = Recorder::open(source, Capacity::default());
    let (reachable, watched) = watch::channel(true);
    let task = tokio::spawn(record(watched, recorder.clone()));
    for (answers, span) in [(true, 1), (false, 3), (false, 4), (true, 1)] {
        reachable.send_replace(answers);
        sleep(Duration::from_secs(span)).await;
    }
    drop(reachable);
    task.await.unwrap();

    let page = recorder.query(&Filter { kinds: vec![Kind::Outage], ..Filter::default() });
    let events: Vec<_> = page.records.into_iter().map(|record| record.event).collect();
    let ended = OutageStep::Ended { lasted_ms: 7_000 };
    assert_eq!(events, [Event::Outage { step: OutageStep::Begun }, Event::Outage { step: ended }]);
}
