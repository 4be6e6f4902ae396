//! Time per decision with 24 versions at 100, 1,000 and 10,000 endpoints.
//!
//! `cargo bench -p route --bench decision`

use std::{fmt::Write as _, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{
    admission::{Queue, Ticket},
    endpoint::{Event, Fleet, Peer, Report, Target, Wanted},
    model::{self, Inputs, Rater},
    quality::{Book, Cell, Stage},
    rollout::{Stops, Unit},
};
use world::{
    Catalog, Timestamp,
    contract::Customer,
    hash,
    model::{Id, Version},
    money::Amount,
    object::Object,
    request::{Class, Repeat},
};

const SIZES: [usize; 3] = [100, 1_000, 10_000];
const MODELS: usize = 6;
const TIERS: usize = 4;
const DOMAINS: usize = 8;
const NOW: Timestamp = Timestamp(1_000_000_000);

criterion_group!(benches, choose_model, choose_endpoint, whole_decision, admit);
criterion_main!(benches);

fn choose_model(c: &mut Criterion) {
    let mut group = c.benchmark_group("model");
    for endpoints in SIZES {
        let site = Site::new(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            let mut n = 0;
            b.iter(|| {
                n += 1;
                black_box(site.choose_model(n))
            });
        });
    }
}

fn choose_endpoint(c: &mut Criterion) {
    let mut group = c.benchmark_group("endpoint");
    for endpoints in SIZES {
        let site = Site::new(endpoints);
        let targets: Vec<_> = site.versions.iter().cloned().map(Target::Version).collect();
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            let mut n = 0;
            b.iter(|| {
                n += 1;
                black_box(site.choose_endpoint(&targets[n % targets.len()], n as u64))
            });
        });
    }
}

fn whole_decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("model and endpoint");
    for endpoints in SIZES {
        let site = Site::new(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            let mut n = 0;
            b.iter(|| {
                n += 1;
                let choice = site.choose_model(n);
                let target = Target::Version(choice.start().version().clone());
                black_box(site.choose_endpoint(&target, n as u64))
            });
        });
    }
}

fn admit(c: &mut Criterion) {
    let customers: Vec<Customer> = (0..40).map(|n| name(&format!("c{n}"))).collect();
    let mut queue = Queue::new(100);
    let mut n = 0u64;
    let mut offer = |queue: &mut Queue| {
        n += 1;
        let customer = &customers[usize::try_from(n % 40).expect("below forty")];
        let ticket = Ticket { customer, weight: 1, deadline: NOW.plus(1_000_000 + n % 977), run_ms: 1_000, draw: n };
        queue.offer(&ticket, NOW).is_ok()
    };
    for _ in 0..400 {
        offer(&mut queue);
    }
    c.bench_function("admission, 40 customers, 300 waiting", |b| {
        b.iter(|| {
            offer(&mut queue);
            queue.finished(NOW);
            black_box(queue.next(NOW))
        });
    });
}

/// One instance of a site with its knowledge.
struct Site {
    catalog: Catalog,
    fleet: Fleet,
    book: Book,
    stops: Stops,
    customer: Customer,
    class: Class,
    models: Vec<Id>,
    versions: Vec<Version>,
}

impl Site {
    /// A site of so many endpoints, each serving four of the versions.
    fn new(endpoints: usize) -> Self {
        let catalog = catalog(endpoints);
        let models: Vec<Id> = (0..MODELS).map(|m| name(&format!("m{m}"))).collect();
        let version = |m: usize, t: usize| Version { model: models[m].clone(), number: name(&t.to_string()) };
        let versions: Vec<_> =
            (0..MODELS).flat_map(|m| (0..TIERS).map(move |t| (m, t))).map(|(m, t)| version(m, t)).collect();
        let (customer, class) = (name("c"), name("k"));
        let peers: Vec<_> = (0..(endpoints * 3 / 40).max(7)).map(peer).collect();
        let mut fleet = Fleet::new(peer(0));
        fleet.apply(&catalog, &peers);
        let mine: Vec<_> = fleet.endpoints().map(|(key, endpoint)| (key, endpoint.id.clone())).collect();
        for (n, (key, endpoint)) in mine.iter().enumerate() {
            let running = u32::try_from(n % 13).expect("below thirteen");
            fleet.on(Event::Dispatched(*key), NOW);
            let report = Report { as_of: Timestamp(NOW.0 - 2_000), running, queued: 0, slots: 16, loaded: None };
            fleet.on(Event::Load { endpoint, report }, NOW);
        }
        let mut book = Book::default();
        for (n, version) in versions.iter().enumerate() {
            for k in 0..100 {
                let stage = if k % 2 == 0 { Stage::First } else { Stage::Escalated };
                book.rate(Cell::new(&customer, &class), version, stage, k % 10 < 5 + n % TIERS);
            }
        }
        Self { catalog, fleet, book, stops: Stops::default(), customer, class, models, versions }
    }

    fn choose_model(&self, n: usize) -> model::Choice {
        let inputs = Inputs {
            catalog: &self.catalog,
            customer: &self.customer,
            model: &self.models[n % MODELS],
            class: &self.class,
            session: None,
            unit: Unit(hash::stable(&n.to_le_bytes())),
            stops: &self.stops,
            repeat: Repeat::Idempotent,
            prompt_tokens: 1_000,
            max_tokens: Some(500),
            now: NOW,
            left_ms: 30_000,
            ceiling: Amount(u64::MAX),
            rater: Rater::Up,
            book: &self.book,
        };
        model::choose(&inputs).expect("everything is allowed")
    }

    fn choose_endpoint(&self, target: &Target, n: u64) -> route::endpoint::Choice {
        let draw = hash::stable(&n.to_le_bytes());
        let wanted = Wanted { target, prefix: Some(draw % 500), avoid: &[], draw };
        self.fleet.choose(&wanted, NOW).expect("there are endpoints")
    }
}

fn catalog(endpoints: usize) -> Catalog {
    let mut text = String::new();
    for m in 0..MODELS {
        let _ = write!(text, "---\nkind: model\nname: m{m}\nspec:\n  versions:\n");
        for t in 0..TIERS {
            let price = 1 << (2 * t);
            let _ = writeln!(
                text,
                "    - {{ version: \"{t}\", tier: {t}, price: {{ input: \"{price}\", output: \"{price}\", currency: EUR }} }}"
            );
        }
    }
    let all: Vec<_> =
        (0..MODELS).map(|m| format!("{{ model: m{m}, versions: [\"0\", \"1\", \"2\", \"3\"] }}")).collect();
    let _ = writeln!(
        text,
        "---\nkind: contract\nname: c\nspec: {{ keys: [], models: [{}], budget: {{ amount: \"9\", currency: EUR, period: day }} }}",
        all.join(", ")
    );
    // Each pool serves the versions of one model, in one failure domain.
    let pools = MODELS * DOMAINS;
    for pool in 0..pools {
        let versions: Vec<_> = (0..TIERS).map(|t| format!("m{}@{t}", pool % MODELS)).collect();
        let _ = write!(
            text,
            "---\nkind: pool\nname: p{pool}\nspec:\n  domain: d{}\n  serves: {{ versions: [{}] }}\n  endpoints:\n",
            pool / MODELS,
            versions.join(", ")
        );
        for n in (pool..endpoints).step_by(pools) {
            let _ = writeln!(text, "    - {{ name: e{n}, address: \"127.0.0.1:1\" }}");
        }
    }
    let objects = Object::parse_file(&text).expect("objects are well formed");
    Catalog::build(1, objects).expect("objects fit each other")
}

fn peer(index: usize) -> Peer {
    Peer { id: name(&format!("i{index}")), domain: name(&format!("d{}", index % DOMAINS)) }
}

fn name<T: std::str::FromStr<Err = world::Invalid>>(text: &str) -> T {
    text.parse().expect("the bench uses good names")
}
