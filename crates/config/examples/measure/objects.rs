//! Generates the objects of a site.

use world::object::Object;

/// Returns models with their versions, pools, and a contract for each customer.
pub fn site(customers: usize) -> Vec<Object> {
    let models = (0..3).map(model);
    let pools = (0..4).map(pool);
    models.chain(pools).chain((0..customers).map(|customer| contract(customer, 0))).collect()
}

fn model(number: usize) -> Object {
    let versions: Vec<_> = (1..5)
        .map(|version| {
            let tier = version / 2;
            format!(
                "{{ version: \"{version}\", tier: {tier}, price: {{ input: \"0.20\", output: \"0.60\", currency: EUR }} }}"
            )
        })
        .collect();
    parse(&format!("kind: model\nname: m{number}\nspec: {{ versions: [{}] }}", versions.join(", ")))
}

fn pool(domain: usize) -> Object {
    let endpoints: Vec<_> = (0..5)
        .map(|endpoint| format!("{{ name: e{domain}-{endpoint}, address: \"127.0.0.1:{}\" }}", 9_000 + endpoint))
        .collect();
    parse(&format!(
        "kind: pool\nname: p{domain}\nspec: {{ domain: d{domain}, serves: {{ versions: [m0@1, m1@1] }}, endpoints: [{}] }}",
        endpoints.join(", ")
    ))
}

fn parse(text: &str) -> Object {
    Object::parse_file(text).expect("an object").remove(0)
}

/// Returns a customer's contract, which differs for each `edit`.
pub fn contract(customer: usize, edit: u32) -> Object {
    let text = format!(
        "kind: contract\nname: c{customer}\nspec:\n  keys: [{{ sha256: \"{customer:064x}\" }}]\n  models:\n    - {{ model: m0, versions: [\"1\", \"2\", \"3\"] }}\n    - {{ model: m1, versions: [\"1\", \"2\"] }}\n  budget: {{ amount: \"1200.00\", currency: EUR, period: month }}\n  rank: {{ weight: 4, deadline_ms: {} }}\n",
        8_000 + edit
    );
    parse(&text)
}
