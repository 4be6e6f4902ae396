//! Request traces of both users, and the table that engines and ratings
//! answer from.

use std::fmt::Write as _;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{
    Catalog, Timestamp,
    contract::{Customer, Objective},
    hash,
    model::{self, Version},
    object::Object,
    request::{Class, Repeat},
};

/// Steps of the cascade.
pub const TIERS: usize = 3;
/// Prices per million input and output tokens, by tier.
const PRICES: [(&str, &str); TIERS] = [("0.20", "0.60"), ("0.80", "2.40"), ("3.00", "9.00")];
/// Share of answers whose rating does not follow the request's difficulty.
const NOISE: f64 = 0.05;
/// Length of the trace.
pub const SPAN_MS: u64 = 6 * 60 * 60 * 1_000;
/// Requests of the trace.
const REQUESTS: usize = 200_000;

/// A user: its model, currency, classes.
struct User {
    name: &'static str,
    currency: &'static str,
    target: f64,
    classes: [Kind; 4],
}

/// A class with its pass rates by tier.
struct Kind {
    name: &'static str,
    repeat: Repeat,
    pass: [f64; TIERS],
    prompt: u32,
    output: u32,
}

const fn kind(name: &'static str, repeat: Repeat, pass: [f64; TIERS], prompt: u32, output: u32) -> Kind {
    Kind { name, repeat, pass, prompt, output }
}

const USERS: [User; 2] = [
    User {
        name: "tousuvool",
        currency: "EUR",
        target: 0.92,
        classes: [
            kind("launch-sheet", Repeat::Never, [0.90, 0.955, 0.985], 900, 120),
            kind("season-summary", Repeat::Idempotent, [0.55, 0.82, 0.975], 4_000, 500),
            kind("safety-report", Repeat::Idempotent, [0.70, 0.90, 0.98], 1_500, 250),
            kind("dawn-check", Repeat::Idempotent, [0.94, 0.97, 0.99], 600, 60),
        ],
    },
    User {
        name: "tubig",
        currency: "PHP",
        target: 0.94,
        classes: [
            kind("permit-reading", Repeat::Idempotent, [0.75, 0.92, 0.985], 3_000, 200),
            kind("site-sketch", Repeat::Idempotent, [0.50, 0.80, 0.98], 2_500, 300),
            kind("assessment-draft", Repeat::Never, [0.60, 0.88, 0.985], 3_500, 600),
            kind("status-answer", Repeat::Idempotent, [0.95, 0.975, 0.99], 700, 80),
        ],
    },
];

/// Shares of a user's requests by team; a few are large.
const TEAMS: [f64; 10] = [0.24, 0.20, 0.14, 0.10, 0.08, 0.07, 0.06, 0.05, 0.04, 0.02];
/// Shares of a team's requests by class.
const CLASSES: [f64; 4] = [0.15, 0.25, 0.25, 0.35];

/// A team's class with the truth about it.
#[derive(Debug, Clone)]
pub struct Cell {
    pub customer: Customer,
    pub class: Class,
    pub model: model::Id,
    pub target: f64,
    pub repeat: Repeat,
    pass: [f64; TIERS],
    prompt: u32,
    output: u32,
    share: f64,
}

/// One request of the trace.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub id: u64,
    pub at: Timestamp,
    pub cell: usize,
    pub prompt: u32,
    pub output: u32,
    difficulty: f64,
}

/// Everything a replay runs on.
#[derive(Debug)]
pub struct Trace {
    pub catalog: Catalog,
    pub cells: Vec<Cell>,
    pub requests: Vec<Request>,
    /// Versions by the cell's model and tier.
    pub versions: Vec<[Version; TIERS]>,
    seed: u64,
}

impl Trace {
    /// The trace of a seed.
    pub fn new(seed: u64, objective: Objective) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cells = cells(&mut rng);
        let requests = requests(&cells, &mut rng);
        let versions = cells.iter().map(|cell| [0, 1, 2].map(|tier| version(&cell.model, tier))).collect();
        Self { catalog: catalog(objective), cells, requests, versions, seed }
    }

    /// Whether a version's answer to a request passes its rating.
    pub fn passes(&self, request: &Request, tier: usize) -> bool {
        let pass = self.cells[request.cell].pass[tier];
        let draw = |salt: &[u8]| unit(hash::rendezvous(self.seed ^ request.id, &[salt, &[tier_byte(tier)]].concat()));
        let value = if draw(b"noise") < NOISE { draw(b"value") } else { request.difficulty };
        value < pass
    }

    /// What an answer costs, in nano-units of its currency.
    #[expect(clippy::cast_precision_loss, reason = "costs are far below 2^52 nano-units")]
    pub fn cost(&self, request: &Request, tier: usize) -> f64 {
        let version = &self.versions[request.cell][tier];
        let release = self.catalog.release(version).expect("the catalog has every version");
        release.price.cost(request.prompt.into(), request.output.into()).0 as f64
    }
}

/// Time a run takes when nothing waits, in milliseconds.
pub fn run_ms(request: &Request, tier: usize) -> u64 {
    let tier = tier as u64;
    150 + 100 * tier + u64::from(request.output) * (4 + 4 * tier)
}

fn cells(rng: &mut ChaCha8Rng) -> Vec<Cell> {
    let mut cells = Vec::new();
    for user in &USERS {
        for (team, team_share) in TEAMS.iter().enumerate() {
            for (kind, class_share) in user.classes.iter().zip(CLASSES) {
                // Teams differ: the same class is easier for some.
                let shift = rng.random_range(-0.25..0.25);
                cells.push(Cell {
                    customer: name(&customer(user, team)),
                    class: name(kind.name),
                    model: name(user.name),
                    target: user.target,
                    repeat: kind.repeat,
                    pass: kind.pass.map(|pass| (1.0 - pass).mul_add(shift, pass).min(0.995)),
                    prompt: kind.prompt,
                    output: kind.output,
                    share: team_share * class_share,
                });
            }
        }
    }
    cells
}

fn requests(cells: &[Cell], rng: &mut ChaCha8Rng) -> Vec<Request> {
    let total: f64 = cells.iter().map(|cell| cell.share).sum();
    let mut requests: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let mut left = rng.random::<f64>() * total;
            let mut chosen = cells.len() - 1;
            for (index, cell) in cells.iter().enumerate() {
                left -= cell.share;
                if left <= 0.0 {
                    chosen = index;
                    break;
                }
            }
            let cell = &cells[chosen];
            // The airfields fill at dawn: half of all comes in the second hour.
            let at = if rng.random_bool(0.5) {
                rng.random_range(SPAN_MS / 6..SPAN_MS / 3)
            } else {
                rng.random_range(0..SPAN_MS)
            };
            let mut spread = |mean: u32| mean / 2 + rng.random_range(0..=mean);
            Request {
                id: 0,
                at: Timestamp(at),
                cell: chosen,
                prompt: spread(cell.prompt),
                output: spread(cell.output),
                difficulty: rng.random(),
            }
        })
        .collect();
    requests.sort_by_key(|request| request.at);
    for (id, request) in requests.iter_mut().enumerate() {
        request.id = id as u64;
    }
    requests
}

fn catalog(objective: Objective) -> Catalog {
    let objective = format!("{objective:?}").to_lowercase();
    let mut text = String::new();
    for user in &USERS {
        let _ = write!(text, "---\nkind: model\nname: {}\nspec:\n  versions:\n", user.name);
        for (tier, (input, output)) in PRICES.iter().enumerate() {
            let _ = writeln!(
                text,
                "    - {{ version: \"{tier}\", tier: {tier}, price: {{ input: \"{input}\", output: \"{output}\", currency: {} }} }}",
                user.currency
            );
        }
        for team in 0..TEAMS.len() {
            let _ = write!(
                text,
                "---\nkind: contract\nname: {}\nspec:\n  keys: []\n  models: [{{ model: {}, versions: [\"0\", \"1\", \"2\"] }}]\n  \
                 quality: {{ target: {} }}\n  objective: {}\n  budget: {{ amount: \"100000\", currency: {}, period: month }}\n",
                customer(user, team),
                user.name,
                user.target,
                objective,
                user.currency
            );
        }
    }
    let objects = Object::parse_file(&text).expect("objects are well formed");
    Catalog::build(1, objects).expect("objects fit each other")
}

fn customer(user: &User, team: usize) -> String {
    format!("{}-{team}", user.name)
}

fn version(model: &model::Id, tier: usize) -> Version {
    Version { model: model.clone(), number: name(&tier.to_string()) }
}

fn name<T: std::str::FromStr<Err = world::Invalid>>(text: &str) -> T {
    text.parse().expect("the trace uses good names")
}

fn tier_byte(tier: usize) -> u8 {
    u8::try_from(tier).unwrap_or(u8::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "a share needs no more than 53 bits")]
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
