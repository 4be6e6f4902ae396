//! Measures the time per decision with 24 versions and 100, 1,000 and 10,000 endpoints.
//!
//! `cargo bench -p route --bench decision`

mod site;

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{
    admission::{Queue, Ticket},
    endpoint::Target,
};
use site::{NOW, SIZES, Site, name};
use world::contract::Customer;

criterion_group!(benches, choose_model, choose_endpoint, whole_decision, admit);
criterion_main!(benches);

fn choose_model(c: &mut Criterion) {
    let mut group = c.benchmark_group("model");
    for endpoints in SIZES {
        let site = Site::new(site::catalog(endpoints), endpoints);
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
        let site = Site::new(site::catalog(endpoints), endpoints);
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
        let site = Site::new(site::catalog(endpoints), endpoints);
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
        let customer = &customers[usize::try_from(n % 40).expect("less than 40")];
        let ticket = Ticket { customer, weight: 1, deadline: NOW.plus(1_000_000 + n % 977), run_ms: 1_000, draw: n };
        queue.offer(&ticket, NOW).is_ok()
    };
    for _ in 0..400 {
        offer(&mut queue);
    }
    c.bench_function("admission, 40 customers, 300 waiting", |b| {
        b.iter(|| {
            offer(&mut queue);
            queue.record_finish(NOW);
            black_box(queue.next(NOW))
        });
    });
}
