//! Explanations have no effect and show no key.

use std::sync::Arc;

use relay::{
    catalog::Customer,
    dispatcher::fleet::Job,
    explain::{Caller, Query},
    settings::{Capacity, Placement, Settings},
};

use super::{
    CATALOG, add_endpoints, bare_instance, explain, instance_with, prompt, query, queued::overloaded_instance, routes,
    sent, throttle, with_header,
};
use crate::{
    notices::prompt_job,
    site::{self, KEY},
};

/// An explanation that changed a counter, an estimate, a queue or a bucket would change what becomes of
/// requests. So all that an instance holds has to be the same before and after, whatever is asked.
#[tokio::test]
async fn explanations_change_nothing() {
    let adjust = |placement| {
        move |settings: &mut Settings| {
            settings.policies.placement = placement;
            settings.policies.capacity = Capacity::Learned;
        }
    };
    for placement in [Placement::Reported, Placement::Balanced] {
        for count in [0, 1, 8, 100] {
            let instance = instance_with(count, adjust(placement));
            if count > 0 {
                throttle(&instance, "e0", 0.5);
            }
            let _busy: Vec<_> = (0..5).filter_map(|_| instance.place(&prompt_job(None, 1_000))).collect();
            let before = format!("{instance:?}");
            for query in [query(), prompt(), with_header("x-session", "s1", prompt())] {
                explain(&instance, &query).await;
            }
            assert_eq!(format!("{instance:?}"), before, "{placement:?}, {count} endpoints");
        }
    }
}

/// With a rotation the next choice follows from the state, so that it shows whether an explanation took
/// a turn: two instances of the same history choose alike, whether or not one explains before each.
#[tokio::test]
async fn next_decision_is_the_same_after_an_explanation() {
    let balanced = |settings: &mut Settings| settings.policies.placement = Placement::Balanced;
    let (explaining, silent) = (instance_with(7, balanced), instance_with(7, balanced));
    for _ in 0..50 {
        let explained = sent(&explain(&explaining, &query()).await).endpoint.clone().unwrap();
        let job = Job { model: None, ..prompt_job(None, 0) };
        let chosen = explaining.place(&job).unwrap().endpoint.id.clone();
        assert_eq!(explained, chosen);
        assert_eq!(silent.place(&job).unwrap().endpoint.id, chosen);
    }
}

/// Two teams with keys: neither answer may show one, whether the key was given or looked up by the team.
#[tokio::test]
async fn no_key_is_shown() {
    let mut catalog = site::catalog(CATALOG, routes());
    let team = Arc::new(Customer { name: "crew".into(), rank: Some(0) });
    catalog.keys.as_mut().unwrap().insert("key-of-crew".into(), team);
    let instance = bare_instance(catalog, |_| {});
    add_endpoints(&instance, 2);
    let team = Query { caller: Caller::Team("crew".into()), ..query() };
    let wrong = Query { caller: Caller::Key("key-of-nobody".into()), ..query() };
    for query in [query(), team, wrong] {
        let explanation = explain(&instance, &query).await;
        let shown = format!("{explanation:?} {query:?}");
        assert!(!shown.contains("key-of-"), "{shown}");
    }
    let unknown = Query { caller: Caller::Team("nobody".into()), ..query() };
    let invalid = explain::explain(&instance, &unknown, 0.5).await.unwrap_err();
    assert_eq!(invalid.field, "team");
    let in_header = with_header("x-key", KEY, Query { caller: Caller::Nobody, ..query() });
    let invalid = relay::explain::explain(&instance, &in_header, 0.5).await.unwrap_err();
    assert_eq!((invalid.field.as_ref(), invalid.cause), ("headers", "give the key as `key`"));
    let shown = format!("{invalid:?} {invalid} {in_header:?}");
    assert!(!shown.contains("key-of-"), "{shown}");
}

/// The gate has a lock, buckets and a queue of its own. A copy is asked, since waiting requests of the
/// instance itself get their turns meanwhile.
#[tokio::test]
async fn explanations_change_nothing_at_the_gate() {
    let (instance, _calls) = overloaded_instance().await;
    let instance = instance.scratch();
    let before = format!("{instance:?}");
    for query in [query(), prompt(), with_header("x-deadline", "300", query())] {
        explain(&instance, &query).await;
    }
    assert_eq!(format!("{instance:?}"), before);
}
