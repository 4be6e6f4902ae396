//! Order of requests in a paced queue, and which are refused.

use route::admission::{Cause, Key, Order, Pace, Position, Queue, Ticket};
use world::{Timestamp, contract::Customer};

const RUN_MS: u64 = 100;
const COST: f64 = 6.0;

fn customer(name: &str) -> Customer {
    Customer::parse(name).expect("valid name")
}

fn queue() -> Queue {
    let mut queue = Queue::paced();
    queue.set_pace(Pace { per_ms: 1.0, debt: 0.0 });
    queue
}

/// A request that arrives at 0.
#[derive(Clone, Copy)]
struct Request {
    team: &'static str,
    weight: u32,
    deadline: u64,
    order: Order,
}

impl Default for Request {
    fn default() -> Self {
        Self { team: "a", weight: 1, deadline: 100_000, order: Order { cost: COST, ..Order::default() } }
    }
}

fn offer(queue: &mut Queue, request: Request) -> Result<Key, route::admission::Refusal> {
    let Request { team, weight, deadline, order } = request;
    let customer = customer(team);
    let ticket = Ticket { customer: &customer, weight, deadline: Timestamp(deadline), run_ms: RUN_MS, draw: 0 };
    queue.offer_ordered(&ticket, order, Timestamp(0))
}

/// Offers requests and returns the order, by their index, in which they run at `now`.
fn turns(requests: &[Request], now: u64) -> Vec<usize> {
    let mut queue = queue();
    let keys: Vec<Key> = requests.iter().map(|request| offer(&mut queue, *request).expect("enough time")).collect();
    let mut turns = Vec::new();
    while let Some(admitted) = queue.next(Timestamp(now)) {
        turns.push(keys.iter().position(|key| *key == admitted.key).expect("it was offered"));
    }
    turns
}

fn with(change: impl FnOnce(&mut Request)) -> Request {
    let mut request = Request::default();
    change(&mut request);
    request
}

macro_rules! order_tests {
    ($($(#[$doc:meta])* $name:ident: $now:expr, $requests:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { assert_eq!(turns(&$requests, $now), $expected); })*
    };
}

order_tests! {
    /// An urgent request behind others of its team.
    rank_goes_before_deadline: 0,
        [with(|r| { r.order.rank = 2; r.deadline = 5_000; }), with(|r| r.order.rank = 0)] => [1, 0];
    deadline_goes_before_size: 0,
        [with(|r| r.order.size = 1), with(|r| { r.order.size = 9; r.deadline = 5_000; })] => [1, 0];
    small_request_goes_first_with_equal_deadlines: 0,
        [with(|r| r.order.size = 9), with(|r| r.order.size = 1)] => [1, 0];
    /// One that has missed its target time would take the place of one that can be served in time.
    requests_that_can_be_in_time_go_first: 1_000,
        [
            with(|r| { r.deadline = 5_000; r.order.target = Some(Timestamp(600)); }),
            with(|r| { r.deadline = 6_000; r.order.target = Some(Timestamp(2_000)); }),
        ] => [1, 0];
    late_urgent_request_goes_before_a_lower_rank: 1_000,
        [
            with(|r| r.order.target = Some(Timestamp(600))),
            with(|r| { r.order.rank = 1; r.order.target = Some(Timestamp(2_000)); }),
        ] => [0, 1];
}

/// A large team beside a small one, and shares by weight: whoever sends more has no more turns.
#[test]
fn teams_get_turns_by_their_weights() {
    let mut queue = queue();
    for _ in 0..100 {
        offer(
            &mut queue,
            with(|r| {
                r.team = "large";
                r.weight = 1;
            }),
        )
        .expect("enough time");
    }
    for _ in 0..20 {
        offer(
            &mut queue,
            with(|r| {
                r.team = "small";
                r.weight = 3;
            }),
        )
        .expect("enough time");
    }
    let first: Vec<_> = (0..20).filter_map(|_| queue.next(Timestamp(0))).collect();
    let small = first.iter().filter(|admitted| admitted.customer == customer("small")).count();
    assert!((14..=16).contains(&small), "{small} of 20");
}

/// A flood of an urgent rank of the same team must not starve a low rank or a long prompt: the
/// request that has waited longest has one turn of 17.
#[test]
fn request_that_is_passed_over_has_its_turn() {
    let mut queue = queue();
    let low = offer(
        &mut queue,
        with(|r| {
            r.order.rank = 3;
            r.order.size = 1_000_000;
        }),
    )
    .expect("enough time");
    let mut turns = 0;
    loop {
        offer(&mut queue, Request::default()).expect("enough time");
        offer(&mut queue, Request::default()).expect("enough time");
        turns += 1;
        if queue.next(Timestamp(0)).expect("requests wait").key == low {
            break;
        }
        assert!(turns <= 17, "passed over {turns} times");
    }
}

/// A long prompt of one team costs as much as many short ones of another; it is charged so.
#[test]
fn turns_are_charged_by_cost() {
    let mut queue = queue();
    for _ in 0..10 {
        offer(
            &mut queue,
            with(|r| {
                r.team = "long";
                r.order.cost = 10.0 * COST;
            }),
        )
        .expect("enough time");
    }
    for _ in 0..100 {
        offer(&mut queue, with(|r| r.team = "short")).expect("enough time");
    }
    let first: Vec<_> = (0..22).filter_map(|_| queue.next(Timestamp(0))).collect();
    let long = first.iter().filter(|admitted| admitted.customer == customer("long")).count();
    assert!((2..=3).contains(&long), "{long} of 22");
}

/// With 400 ms of more urgent work ahead, a request that has to end in 500 ms cannot; waiting would
/// only tell it late. One with an earlier deadline than the work ahead goes first and can.
#[test]
fn hopeless_request_is_refused_on_arrival() {
    let mut queue = queue();
    for _ in 0..10 {
        offer(&mut queue, with(|r| r.order.cost = 40.0)).expect("enough time");
    }
    let refusal = offer(
        &mut queue,
        with(|r| {
            r.deadline = 500;
            r.order.rank = 1;
        }),
    )
    .expect_err("too late");
    assert!(matches!(refusal.cause, Cause::Deadline { wait_ms: 350..=450, left_ms: 500 }), "{refusal:?}");
    let in_time = with(|r| {
        r.order.rank = 1;
        r.order.latest_end = Some(Timestamp(500));
    });
    let refusal = offer(&mut queue, in_time).expect_err("too late");
    assert!(matches!(refusal.cause, Cause::Deadline { .. }), "{refusal:?}");
    offer(
        &mut queue,
        with(|r| {
            r.deadline = 1_000;
            r.order.rank = 1;
        }),
    )
    .expect("enough time");
    offer(&mut queue, with(|r| r.deadline = 500)).expect("nothing is ahead of it");
}

/// The team as a whole has room, but its low rank only gets a small part of it.
#[test]
fn wait_of_a_low_rank_follows_its_own_rate() {
    let mut queue = queue();
    let low = |r: &mut Request| {
        r.order.rank = 2;
        r.order.rank_per_ms = Some(0.01);
        r.deadline = 700;
    };
    offer(&mut queue, with(low)).expect("nothing is ahead");
    let refusal = offer(&mut queue, with(low)).expect_err("600 ms for the one ahead");
    assert!(matches!(refusal.cause, Cause::Deadline { wait_ms: 590..=610, .. }), "{refusal:?}");
}

/// A request whose caller has gone must not keep its place.
#[test]
fn cancelled_request_is_not_in_the_way() {
    let mut queue = queue();
    let key = offer(&mut queue, with(|r| r.order.cost = 400.0)).expect("enough time");
    assert!(queue.cancel(key) && !queue.cancel(key));
    offer(&mut queue, with(|r| r.deadline = 500)).expect("nothing is ahead");
}

/// Positions are those in which the requests run, and asking for them leaves the queue as it is.
#[test]
fn positions_are_the_order_of_the_turns() {
    let mut queue = queue();
    let urgent = with(|request| request.order.rank = 0);
    let usual = with(|request| request.order.rank = 3);
    let other = with(|request| request.team = "b");
    let keys = [usual, other, urgent, usual].map(|request| offer(&mut queue, request).expect("enough time"));
    let turn = |key| match queue.position(key, Timestamp(0)) {
        Some(Position::Turn(turn)) => turn,
        position => panic!("it waits among few: {position:?}"),
    };
    let mut order: Vec<(usize, Key)> = keys.map(turn).into_iter().zip(keys).collect();
    order.sort_by_key(|(position, _)| *position);
    for (turn, (position, key)) in (1..).zip(order) {
        assert_eq!(position, turn);
        assert_eq!(queue.next(Timestamp(0)).expect("it waits").key, key);
    }
    assert_eq!(queue.position(keys[0], Timestamp(0)), None);
}

/// An instance explains on the thread that serves all requests. With a full queue, whose requests have
/// all missed their target times and are all looked at for each turn, it must not look at every turn.
#[test]
fn position_far_back_in_a_full_queue_is_not_counted() {
    const TEAMS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let mut queue = queue();
    let late = |team| with(|request| (request.team, request.order.target) = (team, Some(Timestamp(0))));
    let mut keys = (0..1_000).flat_map(|_| TEAMS).map(|team| offer(&mut queue, late(team)).expect("enough time"));
    let (first, last) = (keys.next().expect("10,000"), keys.last().expect("10,000"));
    assert_eq!(queue.waiting(), 10_000);
    assert_eq!(queue.position(first, Timestamp(0)), Some(Position::Turn(1)));
    assert_eq!(queue.position(last, Timestamp(0)), Some(Position::After(500)));
}

/// The expected wait of a waiting request is the one that admitted it to the queue.
#[test]
fn expected_wait_is_that_of_the_arrival() {
    let mut queue = queue();
    let first = offer(&mut queue, Request::default()).expect("enough time");
    let second = offer(&mut queue, Request::default()).expect("enough time");
    assert_eq!((queue.expected_wait(first), queue.expected_wait(second)), (Some(0), Some(6)));
}
