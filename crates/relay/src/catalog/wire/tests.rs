//! Round-trip tests: decoding an encoded catalog gives an equal catalog.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::CatalogCopy;
use crate::catalog::{Catalog, Customer, Kind, Limits, Model, Route, Service, Target, Warmup};

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_millis(1_200),
        target_time: Duration::from_millis(150),
        target_pause: matches!(kind, Kind::Stream { .. }).then_some(Duration::from_millis(600)),
        rank: 2,
        attempts: 3,
        public: kind == Kind::Idempotent,
        models: vec![Model { name: "small".into(), cost: 0.1 }],
        targets: vec![Target { service: "logbook".into(), weight: 3 }],
    }
}

fn catalog(keys: Option<HashMap<String, Arc<Customer>>>) -> Catalog {
    let mut catalog = Catalog {
        version: 7,
        services: HashMap::from([(
            "logbook".into(),
            Arc::new(Service {
                name: "logbook".into(),
                memory_tokens: Some(9),
                warmup: Some(Warmup { duration: Duration::from_secs(3), per_s: 12.0 }),
            }),
        )]),
        keys,
        limits: Limits { header_bytes: 5, body_bytes: 6, ..Limits::default() },
        ..Catalog::default()
    };
    for kind in [Kind::Idempotent, Kind::NonIdempotent, Kind::Stream { resumable: true }] {
        catalog.add("clubs.example".into(), route(&format!("/{kind:?}/"), kind));
    }
    catalog
}

fn assert_round_trip(catalog: &Catalog) {
    let bytes = postcard::to_allocvec(&CatalogCopy::from(catalog)).unwrap();
    let copied = Catalog::from(postcard::from_bytes::<CatalogCopy>(&bytes).unwrap());
    assert_eq!(format!("{copied:?}"), format!("{catalog:?}"));
}

macro_rules! copies {
    ($($name:ident: $keys:expr;)*) => { $(#[test] fn $name() { assert_round_trip(&catalog($keys)); })* };
}

copies! {
    without_keys: None;
    with_an_empty_key_set: Some(HashMap::new());
    with_a_customer: Some(HashMap::from([("key".into(), Arc::new(Customer { name: "club".into(), rank: Some(1) }))]));
}
