//! Explanations of requests that would wait for admission, or be refused because of the wait.

use std::{sync::Arc, time::Duration};

use relay::{
    admission::{Entry, Supply},
    dispatcher::Dispatcher,
    explain::Decision,
    settings::Admission,
    source,
};
use route::relay::content::Content;
use tokio::{task::JoinHandle, time::sleep};

use super::{explain, instance_with, query, refused, throttle, with_header};
use crate::{
    notices::prompt_job,
    site::{SERVICE, endpoint},
};

fn supply() -> Supply {
    Supply { slots: 1.0, engines: 1.0 }
}

/// Has requests of half a second each wait for a service with one slot.
async fn overload(instance: &Dispatcher) -> Vec<JoinHandle<()>> {
    let gate = instance.gate.clone().unwrap();
    let mut calls = Vec::new();
    for number in 0..10 {
        let gate = Arc::clone(&gate);
        calls.push(tokio::spawn(async move {
            let entry = Entry {
                service: SERVICE,
                team: "club",
                rank: 1,
                route: "a",
                content: Content { team: 1, work: number },
                left: Duration::from_mins(1),
                target_left: Duration::from_secs(40),
                target_time: Duration::from_secs(40),
                model: None,
                first_byte_ms: 500.0,
                prompt_ms: 0.0,
                is_whole: true,
                is_resumption: false,
            };
            let _permit = gate.enter(&entry, supply).await;
            std::future::pending::<()>().await;
        }));
        sleep(Duration::from_millis(30)).await;
    }
    calls
}

/// Returns an instance with one endpoint with one slot, for which requests wait.
pub async fn overloaded_instance() -> (Arc<Dispatcher>, Vec<JoinHandle<()>>) {
    let instance = instance_with(0, |settings| settings.policies.admission = Admission::Fair);
    instance.register_endpoint(source::Endpoint { slots: 1, ..endpoint("e0", ([127, 0, 0, 1], 9).into()) });
    let calls = overload(&instance).await;
    assert!(instance.gate.as_ref().unwrap().waiting(SERVICE) > 0);
    (instance, calls)
}

/// A request that would wait for admission is shown in the queue, and does not stand there afterwards.
#[tokio::test]
async fn queued_request_is_shown_with_its_position_and_takes_no_place() {
    let (instance, _calls) = overloaded_instance().await;
    let gate = instance.gate.as_ref().unwrap();
    let before = gate.waiting(SERVICE);
    let explanation = explain(&instance, &query()).await;
    let Decision::Queued(queued) = &explanation.decision else { panic!("{explanation:?}") };
    assert!(queued.position.is_some_and(|position| (1..=queued.waiting).contains(&position)), "{queued:?}");
    assert!(queued.wait_ms > 0.0, "{queued:?}");
    let then = queued.then.as_ref().unwrap();
    assert_eq!(then.endpoint.as_deref(), Some("e0"));
    // Above the capacity engines are told a priority.
    assert!(then.priority.is_some() && queued.then_refused.is_none(), "{queued:?}");
    assert!(gate.waiting(SERVICE) <= before);
}

/// A request that would wait and then find no endpoint must not look as if it were only queued.
#[tokio::test]
async fn queued_request_that_no_endpoint_takes_is_shown_with_the_reason() {
    let (instance, _calls) = overloaded_instance().await;
    throttle(&instance, "e0", 0.1);
    while instance.place(&prompt_job(None, 10)).is_some() {}
    let explanation = explain(&instance, &query()).await;
    let Decision::Queued(queued) = &explanation.decision else { panic!("{explanation:?}") };
    assert!(queued.then.is_none(), "{queued:?}");
    assert_eq!(queued.then_refused.as_ref().unwrap().reason, "Throttled", "{queued:?}");
}

/// A request whose wait does not fit its time is refused with the wait and the time until it can return.
#[tokio::test]
async fn request_whose_wait_is_too_long_is_refused() {
    let (instance, _calls) = overloaded_instance().await;
    let explanation = explain(&instance, &with_header("x-deadline", "300", query())).await;
    let refused = refused(&explanation);
    assert_eq!(refused.reason, "Overloaded", "{refused:?}");
    assert!(refused.wait_ms.unwrap() > 0.0 && refused.left_ms.unwrap() <= 300.0, "{refused:?}");
    assert!(refused.retry_after_ms.unwrap() > 0.0, "{refused:?}");
}
