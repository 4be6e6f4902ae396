//! Every instance's sum reaches the root of its domain exactly once.

use std::collections::BTreeMap;

use peer::{
    Members,
    aggregation::{FAN_IN, Position, position},
};
use world::instance::{Id, Incarnation, Instance, State};

fn instance(number: usize, domains: usize) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    Instance {
        id: Id::parse(&format!("i{number}")).unwrap(),
        incarnation: Incarnation(1),
        domain: format!("d{}", number % domains).parse().unwrap(),
        callers: address,
        peers: address,
        operators: address,
        state: State::Live,
    }
}

fn check(size: usize, domains: usize) {
    let all: Vec<_> = (0..size).map(|number| instance(number, domains)).collect();
    let seen_by = |me: &Instance| {
        let others = all.iter().filter(|i| i.id != me.id).map(|i| (i.id.clone(), i.clone())).collect();
        position(&Members { me: me.clone(), others, unknown_listed: vec![] })
    };
    let positions: BTreeMap<Id, Position> = all.iter().map(|i| (i.id.clone(), seen_by(i))).collect();
    let roots: Vec<_> = positions.iter().filter(|(_, p)| p.parent.is_none()).map(|(id, _)| id).collect();
    assert_eq!(roots.len(), domains.min(size));
    for (id, position) in &positions {
        assert!(position.children.len() <= FAN_IN);
        assert!(position.children.iter().all(|child| positions[child].parent.as_ref() == Some(id)));
        if position.parent.is_none() {
            assert_eq!(position.roots.len(), roots.len() - 1);
        }
    }
    // Each instance except the roots is the child of exactly one, so every sum
    // arrives once.
    let children: usize = positions.values().map(|p| p.children.len()).sum();
    assert_eq!(children + roots.len(), size);
}

macro_rules! fleets {
    ($($name:ident: $size:expr, $domains:expr;)*) => { $(#[test] fn $name() { check($size, $domains); })* };
}

fleets! {
    alone: 1, 1;
    seven: 7, 3;
    one_domain: 100, 1;
    seven_hundred_and_fifty: 750, 8;
}
