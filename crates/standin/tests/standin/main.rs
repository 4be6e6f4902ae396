//! The stand-ins keep the forms of docs/design/outside-protocols.md, and a
//! switch does the harm it names and no other.

mod client;

use client::{Client, Reply};
use serde_json::{Value, json};
use standin::{
    answer::{self, Message},
    engine::{self, End, Engine},
    fault::Odds,
    objects::{self, Limits, Objects},
    rating::{self, Rating},
    service::{self, Service},
};

const VERSION: &str = "summary@3";
const ANY: std::net::SocketAddr = std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn objects() -> (objects::Handle, Client) {
    let handle = Objects::bind(ANY, Limits::none()).await.expect("port 0 is free");
    let client = Client::new(handle.addr());
    (handle, client)
}

async fn engine(options: engine::Options) -> (engine::Handle, Client) {
    let options = engine::Options { versions: [VERSION.into()].into(), ..options };
    let handle = Engine::bind(ANY, options).await.expect("port 0 is free");
    let client = Client::new(handle.addr());
    (handle, client)
}

fn ask(content: &str) -> Value {
    json!({ "model": VERSION, "messages": [{ "role": "user", "content": content }], "stream": true })
}

fn whole(content: &str) -> String {
    let messages = [Message { role: "user".into(), content: content.into() }];
    answer::text(VERSION, &answer::prompt(&messages), None)
}

async fn start(client: &Client, attempt: &str, content: &str) -> Option<Reply> {
    let headers = [("Arbutuslug-Attempt", attempt)];
    client.call("POST", "/v1/chat/completions", &headers, Some(ask(content))).await
}

// Sixteen writers read the same version and update it. One wins; each other
// is told the version that beat it. Two winners would mean two leases.
#[tokio::test]
async fn one_of_many_updates_wins() {
    let (handle, client) = objects().await;
    handle.put("head", json!({ "n": 0 }));
    let update = |n: u32| client.call("PUT", "/objects/head", &[("If-Match", "\"1\"")], Some(json!({ "n": n })));
    let replies = futures::future::join_all((0..16).map(update)).await;
    let statuses: Vec<_> = replies.into_iter().map(|reply| reply.expect("an answer").status).collect();
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(statuses.iter().filter(|status| **status == 412).count(), 15);
    assert_eq!(handle.revision(), 2);
    assert_eq!(handle.calls().conflicts, 15);
}

async fn check_write(method: &str, key: &str, condition: (&str, &str), expected: u16) {
    let (handle, client) = objects().await;
    handle.put("a/there", json!(1));
    let body = (method == "PUT").then(|| json!(2));
    let reply = client.call(method, &format!("/objects/{key}"), &[condition], body).await.expect("an answer");
    assert_eq!(reply.status, expected, "{}", reply.text);
}

macro_rules! writes {
    ($($name:ident: $method:literal $key:literal $header:literal $value:literal => $expected:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_write($method, $key, ($header, $value), $expected).await; })*
    };
}

writes! {
    create_of_a_new_key: "PUT" "a/new" "If-None-Match" "*" => 201;
    create_of_a_known_key: "PUT" "a/there" "If-None-Match" "*" => 412;
    update_of_its_version: "PUT" "a/there" "If-Match" "\"1\"" => 200;
    update_of_an_old_version: "PUT" "a/there" "If-Match" "\"7\"" => 412;
    update_of_a_missing_key: "PUT" "a/none" "If-Match" "\"1\"" => 412;
    delete_of_its_version: "DELETE" "a/there" "If-Match" "\"1\"" => 200;
    delete_of_an_old_version: "DELETE" "a/there" "If-Match" "\"7\"" => 412;
    delete_of_a_missing_key: "DELETE" "a/none" "If-Match" "\"1\"" => 404;
    write_without_condition: "PUT" "a/there" "X-None" "1" => 428;
}

// A watch that was away while changes were forgotten must be told so, or it
// would miss a withdrawal for good.
#[tokio::test]
async fn watch_is_told_of_a_gap() {
    let (handle, client) = objects().await;
    for n in 0..5 {
        handle.put("config/a", json!(n));
    }
    handle.compact(2);
    let gone = client.get("/watch?prefix=config/&from=1&wait_ms=0").await;
    assert_eq!((gone.status, gone.json()["oldest"].as_u64()), (410, Some(3)));
    let events = client.get("/watch?prefix=config/&from=3&wait_ms=0").await.json();
    assert_eq!(events["events"].as_array().map(Vec::len), Some(2));
    assert_eq!(events["version"], 5);
}

#[tokio::test]
async fn waiting_watch_hears_a_change_and_an_outage() {
    let (handle, client) = objects().await;
    let started = async |watches: u64| {
        while handle.calls().watches < watches {
            tokio::task::yield_now().await;
        }
    };
    let (reply, ()) = tokio::join!(client.get("/watch?prefix=a&from=0&wait_ms=60000"), async {
        started(1).await;
        handle.put("b", json!(1));
        handle.put("a", json!(2));
    });
    assert_eq!(reply.json()["events"][0]["key"], "a");
    let (reply, ()) = tokio::join!(client.get("/watch?prefix=a&from=2&wait_ms=60000"), async {
        started(2).await;
        handle.switch(objects::Switch::Down);
    });
    assert_eq!(reply.status, 503);
}

// The writer hears nothing, yet the write is done; or hears nothing, and it
// is not. The two look alike from outside: only reading back tells.
#[tokio::test]
async fn lost_answer_took_effect_and_lost_call_did_not() {
    let (handle, client) = objects().await;
    let create = |key: &'static str| client.call("PUT", key, &[("If-None-Match", "*")], Some(json!(1)));
    handle.switch(objects::Switch::LoseAnswers(Odds::next(1)));
    assert!(create("/objects/done").await.is_none());
    assert_eq!(handle.dump("done").len(), 1);
    handle.switch(objects::Switch::LoseCalls(Odds::next(1)));
    assert!(create("/objects/undone").await.is_none());
    assert_eq!(handle.dump("undone").len(), 0);
    assert_eq!(create("/objects/undone").await.expect("an answer").status, 201);
}

#[tokio::test]
async fn calls_past_the_rate_are_refused_with_a_hint() {
    let limits = Limits { writes_per_s: 1.0, reads_per_s: 0.001, seed: 0 };
    let handle = Objects::bind(ANY, limits).await.expect("port 0 is free");
    let client = Client::new(handle.addr());
    assert_eq!(client.get("/objects/a").await.status, 404, "the first is within the rate");
    let reply = client.get("/objects/a").await;
    assert_eq!(reply.status, 429);
    assert!(reply.header("retry-after-ms").parse::<u64>().is_ok_and(|ms| ms > 0));
    let write = client.call("PUT", "/objects/a", &[("If-None-Match", "*")], Some(json!(1))).await;
    assert_eq!(write.expect("an answer").status, 201, "reads and writes are counted apart");
}

#[tokio::test]
async fn list_goes_on_after_a_key() {
    let (handle, client) = objects().await;
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        handle.put(key, json!(key));
    }
    let first = client.get("/objects?prefix=a/&limit=2").await.json();
    assert_eq!((first["items"].as_array().map(Vec::len), &first["more"]), (Some(2), &json!(true)));
    let rest = client.get("/objects?prefix=a/&after=a/2&limit=2&keys_only=true").await.json();
    assert_eq!(rest["items"], json!([{ "key": "a/3", "version": 3 }]));
    assert_eq!(rest["more"], false);
}

// The stream breaks after two events. Asked again from the third, the engine
// gives the rest: together the whole answer, no token twice.
#[tokio::test]
async fn resumed_stream_gives_the_same_tokens() {
    let (handle, client) = engine(engine::Options::default()).await;
    handle.switch(engine::Switch::BreakStreams { after: 2, odds: Odds::next(1) });
    let broken = start(&client, "a1", "tow log").await.expect("the head of an answer");
    assert!(broken.broken && !broken.text.contains("[DONE]"));
    let from = broken.events().len();
    let rest = client.get(&format!("/v1/streams/a1?from={from}")).await;
    assert_eq!(broken.content() + &rest.content(), whole("tow log"));
    assert!(rest.text.ends_with("data: [DONE]\n\n"));
    let last = rest.events().pop().expect("events");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["usage"]["completion_tokens"].as_u64(), Some(handle.records()[0].tokens));
    assert_eq!(handle.records()[0].end, Some(End::Completed));
}

// The engine that had the stream is gone. Another goes on from the part that
// the caller has: together the whole answer of the one version.
#[tokio::test]
async fn broken_answer_is_gone_on_with_elsewhere() {
    let (_handle, client) = engine(engine::Options::default()).await;
    let all = whole("tow log");
    let (given, rest) = all.split_at(answer::tokens(VERSION, "user: tow log\n")[0].len());
    let mut body = ask("tow log");
    body["messages"].as_array_mut().expect("messages").push(json!({ "role": "assistant", "content": given }));
    let reply = client.call("POST", "/v1/chat/completions", &[("Arbutuslug-Attempt", "a1")], Some(body)).await;
    assert_eq!(reply.expect("an answer").content(), rest);
}

#[tokio::test]
async fn plain_completion_equals_the_stream() {
    let (_handle, client) = engine(engine::Options::default()).await;
    let mut body = ask("tow log");
    body["stream"] = json!(false);
    let reply = client.call("POST", "/v1/chat/completions", &[("Arbutuslug-Attempt", "a1")], Some(body)).await;
    assert_eq!(reply.expect("an answer").json()["choices"][0]["message"]["content"], whole("tow log"));
}

async fn check_harm(switch: engine::Switch, status: Option<u16>, ran: usize) {
    let (handle, client) = engine(engine::Options::default()).await;
    handle.switch(switch);
    let reply = start(&client, "a1", "x").await;
    assert_eq!(reply.map(|reply| reply.status), status);
    assert_eq!(handle.records().len(), ran);
}

macro_rules! harms {
    ($($name:ident: $switch:expr => $status:expr, $ran:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_harm($switch, $status, $ran).await; })*
    };
}

harms! {
    refused_run_is_not_run: engine::Switch::Refuse(Odds::ALWAYS) => Some(503), 0;
    lost_answer_is_run: engine::Switch::LoseAnswers(Odds::ALWAYS) => None, 1;
    broken_version_runs_nothing:
        engine::Switch::Bad { version: VERSION.into(), fault: engine::Fault::Errors, odds: Odds::ALWAYS } => Some(500), 0;
    other_versions_stay_good:
        engine::Switch::Bad { version: "other@1".into(), fault: engine::Fault::Errors, odds: Odds::ALWAYS } => Some(200), 1;
}

#[tokio::test]
async fn bad_answers_do_not_pass_rating() {
    let (handle, client) = engine(engine::Options::default()).await;
    let bad = engine::Switch::Bad { version: VERSION.into(), fault: engine::Fault::Answers, odds: Odds::ALWAYS };
    handle.switch(bad);
    let answer = start(&client, "a1", "x").await.expect("an answer").content();
    let rating = Rating::bind(ANY, rating::Options::default()).await.expect("port 0 is free");
    let client = Client::new(rating.addr());
    let ask = json!({ "id": "1", "customer": "c", "class": "k", "version": VERSION, "answer": answer });
    let reply = client.call("POST", "/rate", &[], Some(ask.clone())).await.expect("an answer");
    assert_eq!(reply.json(), json!({ "id": "1", "pass": false }));
    let submitted = client.call("POST", "/submit", &[], Some(ask)).await.expect("an answer");
    assert_eq!(submitted.status, 202);
    let feed = client.get("/ratings?after=0&wait_ms=60000").await.json();
    assert_eq!((&feed["next"], &feed["ratings"][0]["pass"]), (&json!(1), &json!(false)));
}

// Two slots' worth of work on one slot: the rest waits, the queue is short,
// and the one past it is refused with nothing run. A cancelled run frees its
// slot for the most urgent that waits.
#[tokio::test]
async fn full_engine_refuses_and_a_cancelled_run_makes_room() {
    let options = engine::Options { slots: 1, queue: 2, first_token_ms: 3_600_000, ..engine::Options::default() };
    let (handle, client) = engine(options).await;
    let send = |attempt: &'static str, priority: &'static str| {
        let client = Client::new(handle.addr());
        tokio::spawn(async move {
            let headers = [("Arbutuslug-Attempt", attempt), ("Arbutuslug-Priority", priority)];
            client.call("POST", "/v1/chat/completions", &headers, Some(ask("x"))).await
        })
    };
    for (count, (attempt, priority)) in [("runs", "5"), ("later", "7"), ("urgent", "0")].into_iter().enumerate() {
        send(attempt, priority);
        while handle.records().len() <= count {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(start(&client, "over", "x").await.expect("an answer").status, 503);
    client.call("DELETE", "/v1/streams/runs", &[], None).await.expect("an answer");
    client.call("DELETE", "/v1/streams/later", &[], None).await.expect("an answer");
    while handle.records().iter().filter(|record| record.end == Some(End::Cancelled)).count() < 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(handle.running(), 1);
    let urgent = handle.records().into_iter().find(|record| record.attempt == "urgent").expect("it came");
    assert_eq!(urgent.end, None);
}

async fn check_order(checks_fence: bool, expected: u16) {
    let (handle, client) = engine(engine::Options { checks_fence, ..engine::Options::default() }).await;
    let order = |fence: u64, load: &str| {
        let body = json!({ "fence": fence, "load": [load], "unload": [] });
        client.call("POST", "/v1/orders", &[], Some(body))
    };
    let (new, old) = (order(5, "summary@4"), order(4, "summary@5"));
    assert_eq!(new.await.expect("an answer").status, 200);
    assert_eq!(old.await.expect("an answer").status, expected);
    assert_eq!(handle.versions().contains("summary@5"), expected == 200);
}

#[tokio::test]
async fn checking_engine_refuses_an_old_fence() {
    check_order(true, 409).await;
}

#[tokio::test]
async fn ignoring_engine_follows_an_old_fence() {
    check_order(false, 200).await;
}

async fn check_deposit(switch: service::Switch, status: Option<u16>, effects: usize) {
    let handle = Service::bind(ANY, 0).await.expect("port 0 is free");
    handle.switch(switch);
    let headers = [("Idempotency-Key", "k1")];
    let reply = Client::new(handle.addr()).call("POST", "/deposits", &headers, Some(json!({ "amount": 1 }))).await;
    assert_eq!(reply.map(|reply| reply.status), status);
    assert_eq!(handle.effects().iter().filter(|effect| effect.key == "k1").count(), effects);
}

macro_rules! deposits {
    ($($name:ident: $switch:expr => $status:expr, $effects:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_deposit($switch, $status, $effects).await; })*
    };
}

deposits! {
    deposit_takes_effect: service::Switch::Up => Some(200), 1;
    refused_deposit_has_none: service::Switch::Refuse(Odds::ALWAYS) => Some(503), 0;
    deposit_broken_before_has_none: service::Switch::BreakBefore(Odds::ALWAYS) => None, 0;
    deposit_broken_after_has_one: service::Switch::BreakAfter(Odds::ALWAYS) => None, 1;
}

#[tokio::test]
async fn switches_are_set_over_http() {
    let (handle, client) = objects().await;
    for (switch, status) in [(json!("down"), 503), (json!("up"), 404), (json!({ "slow": { "ms": 1 } }), 404)] {
        let set = client.call("POST", "/switch", &[], Some(switch)).await.expect("an answer");
        assert_eq!(set.status, 200);
        assert_eq!(client.get("/objects/a").await.status, status);
    }
    let set = client.call("POST", "/switch", &[], Some(json!({ "lose_answers": { "next": 1 } }))).await;
    assert_eq!(set.expect("an answer").status, 200);
    assert!(client.call("PUT", "/objects/a", &[("If-None-Match", "*")], Some(json!(1))).await.is_none());
    assert_eq!(handle.dump("").len(), 1);
}
