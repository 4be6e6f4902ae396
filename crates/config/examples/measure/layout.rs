//! Measures bytes and calls per change of two layouts, counted by the fake platform.
//!
//! *Head*: immutable objects `object/<key>/<revision>` and one head that names
//! the revision of each, moved by conditional update. *Log*: the layout of
//! this crate. Each has eight readers; a change replaces one contract.

use std::{collections::BTreeMap, sync::Arc};

use config::{Edit, Expected};
use serde_json::Value;
use store::{Batch, Change, Handle, Priority, Settings, fake::Platform, open_with};
use timeline::{Capacity, Recorder, Source};
use world::{domain::Domain, instance};

use crate::objects::{contract, site};

const READERS: usize = 8;
const CHANGES: u32 = 50;

/// Platform calls and bytes of a number of changes.
struct Cost {
    calls: usize,
    sent: usize,
    received: usize,
}

pub async fn run() {
    println!("customers  layout  calls/change  bytes written/change  bytes read/change");
    for customers in [10, 1_000, 5_000] {
        for (name, cost) in [("head", head(customers).await), ("log", log(customers).await)] {
            let each = |count: usize| count / usize::try_from(CHANGES).expect("few");
            println!(
                "{customers:9}  {name:6}  {:12}  {:20}  {:17}",
                each(cost.calls),
                each(cost.sent),
                each(cost.received)
            );
        }
    }
}

fn cost(platform: &Platform, before: usize) -> Cost {
    let records = platform.records();
    let records = &records[before..];
    Cost {
        calls: records.len(),
        sent: records.iter().map(|record| record.sent).sum(),
        received: records.iter().map(|record| record.received).sum(),
    }
}

async fn head(customers: usize) -> Cost {
    let platform = Platform::open();
    let handle = |name: String| open_with(Settings::fake(name, 1), Arc::new(platform.client()));
    let writer = handle("writer/1".into());
    let mut revisions: BTreeMap<String, u32> = BTreeMap::new();
    for object in site(customers) {
        let key = object.key();
        let key = format!("{}/{}", key.kind, key.name);
        create(&writer, &key, 0, &object.to_json()).await;
        revisions.insert(key, 0);
    }
    let mut written = writer.create(Priority::Config, "head", &revisions).await.expect("up");
    let version = platform.version();
    let readers = (0..READERS).map(|n| tokio::spawn(follow(handle(format!("reader{n}/1")), version)));
    let readers: Vec<_> = readers.collect();
    tokio::task::yield_now().await;
    let before = platform.records().len();
    for edit in 1..=CHANGES {
        let store::Write::Done(item) = written else { panic!("nobody else writes") };
        create(&writer, "contract/c0", edit, &contract(0, edit).to_json()).await;
        revisions.insert("contract/c0".into(), edit);
        written = writer.update(Priority::Config, &item, &revisions).await.expect("up");
        // The pause lets readers follow every single change, as they do at 6,800 a day.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let cost = cost(&platform, before);
    for reader in readers {
        reader.abort();
    }
    cost
}

async fn create(writer: &Handle, key: &str, revision: u32, value: &Value) {
    let write = writer.create(Priority::Config, &format!("object/{key}/{revision}"), value).await;
    assert!(write.expect("up").is_done());
}

/// Watches the head and reads every object whose revision changed.
async fn follow(reader: Handle, version: u64) {
    let mut known: BTreeMap<String, u32> = BTreeMap::new();
    let mut watch = reader.watch(Priority::Config, "head", version);
    loop {
        let Ok(Batch::Changes { changes, .. }) = watch.next().await else { continue };
        for change in changes {
            let Change::Put(item) = change else { continue };
            let head: BTreeMap<String, u32> = item.read().expect("a head");
            for (key, revision) in
                head.iter().filter(|(key, revision)| **revision > 0 && known.get(*key) != Some(revision))
            {
                reader.get(Priority::Config, &format!("object/{key}/{revision}")).await.expect("up");
            }
            known = head;
        }
    }
}

async fn log(customers: usize) -> Cost {
    let platform = Platform::open();
    let mut handles = Vec::new();
    for index in 0..READERS {
        let id = instance::Id::parse(&format!("i{index}")).expect("a name");
        let domain = Domain::parse(&format!("d{index}")).expect("a name");
        let access = open_with(Settings::fake(format!("{id}/1"), 1), Arc::new(platform.client()));
        let source = Source { instance: id.clone(), incarnation: instance::Incarnation(1) };
        let recorder = Recorder::open(source, Capacity::default());
        // Update messages are dropped: every reader uses the platform alone.
        let (config, _) = config::spawn(config::Settings::new(id, domain), access, recorder);
        config.set_reader(true).await;
        handles.push(config);
    }
    for objects in site(customers).chunks(500) {
        let edits = objects.iter().map(|object| Edit::Put(object.clone(), Expected::Any)).collect();
        handles[0].apply("measure", edits).await.expect("accepted");
    }
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let before = platform.records().len();
    let started = tokio::time::Instant::now();
    for edit in 1..=CHANGES {
        let edit = Edit::Put(contract(0, edit), Expected::Any);
        handles[0].apply("measure", vec![edit]).await.expect("accepted");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let mut cost = cost(&platform, before);
    // Subtracts the reads that only confirm freshness, one per second and reader.
    let idle = usize::try_from(started.elapsed().as_secs()).expect("short") * READERS;
    cost.calls = cost.calls.saturating_sub(idle);
    cost
}
