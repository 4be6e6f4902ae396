use std::thread;

use super::{Account, Body, Bounds, LEFT_BY_ANSWERS_DIVISOR};

const BODIES: usize = 1 << 20;

fn account() -> Account {
    Account::new(Bounds { total: 4 << 20, bodies: BODIES })
}

/// Endpoints decide how long answers are. If they took all memory for bodies, no request with a body would be served.
#[test]
fn answers_leave_memory_to_requests() {
    let (account, part) = (account(), BODIES - BODIES / LEFT_BY_ANSWERS_DIVISOR);
    assert!(account.charge_body(Body::Answer, part, 0));
    assert!(!account.charge_body(Body::Answer, 1, 0));
    assert!(account.charge_body(Body::Request, BODIES - part, 0));
    account.release_body(Body::Answer, part);
    assert!(account.charge_body(Body::Answer, part, 0));
}

/// A charge that loses a release of another thread would leave memory charged for good, or less than none.
#[test]
fn charges_of_several_threads_add_up() {
    let account = account();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..50_000 {
                    assert!(account.charge_body(Body::Answer, 8, 0));
                    account.release_body(Body::Answer, 8);
                }
            });
        }
    });
    assert_eq!(account.bodies(), 0);
    assert!(account.charge_body(Body::Answer, BODIES - BODIES / LEFT_BY_ANSWERS_DIVISOR, 0));
}
