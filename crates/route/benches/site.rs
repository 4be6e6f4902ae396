//! A site of many endpoints, as seen by one instance.

use std::fmt::Write as _;

use route::{
    endpoint::{Event, Fleet, Peer, Report, RunRequest, Target},
    model::{self, Inputs, Rater},
    quality::{Cell, Estimates, Stage},
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

/// Numbers of endpoints to measure with.
pub const SIZES: [usize; 3] = [100, 1_000, 10_000];
/// Current time.
pub const NOW: Timestamp = Timestamp(1_000_000_000);
const MODELS: usize = 6;
const TIERS: usize = 4;
const DOMAINS: usize = 8;

/// One instance of a site, with its state.
pub struct Site {
    catalog: Catalog,
    pub fleet: Fleet,
    quality: Estimates,
    stops: Stops,
    customer: Customer,
    class: Class,
    models: Vec<Id>,
    pub versions: Vec<Version>,
}

impl Site {
    /// Returns a site with `endpoints` endpoints, each serving the four versions of one
    /// model.
    pub fn new(catalog: Catalog, endpoints: usize) -> Self {
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
            let running = u32::try_from(n % 13).expect("less than 13");
            fleet.handle(Event::Dispatched(*key), NOW);
            let report = Report { as_of: Timestamp(NOW.0 - 2_000), running, queued: 0, slots: 16, loaded: None };
            fleet.handle(Event::Load { endpoint, report }, NOW);
        }
        let mut quality = Estimates::default();
        for (n, version) in versions.iter().enumerate() {
            for k in 0..100 {
                let stage = if k % 2 == 0 { Stage::First } else { Stage::Escalated };
                quality.record_rating(Cell::new(&customer, &class), version, stage, k % 10 < 5 + n % TIERS);
            }
        }
        Self { catalog, fleet, quality, stops: Stops::default(), customer, class, models, versions }
    }

    pub fn choose_model(&self, n: usize) -> model::Choice {
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
            rater: Rater::Available,
            quality: &self.quality,
        };
        model::choose(&inputs).expect("the contract allows every model")
    }

    pub fn choose_endpoint(&self, target: &Target, n: u64) -> route::endpoint::Choice {
        let draw = hash::stable(&n.to_le_bytes());
        let request = RunRequest { target, prefix: Some(draw % 500), excluded: &[], draw };
        self.fleet.choose(&request, NOW).expect("the site has endpoints")
    }
}

/// Returns the catalog of a site with `endpoints` endpoints.
pub fn catalog(endpoints: usize) -> Catalog {
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

/// Parses a name.
pub fn name<T: std::str::FromStr<Err = world::Invalid>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}
