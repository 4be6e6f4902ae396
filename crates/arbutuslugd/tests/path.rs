//! The whole path over real sockets: three instances, stand-ins around them.

use std::{net::SocketAddr, time::Duration};

use arbutuslugd::Daemon;
use bytes::Bytes;
use config::{Edit, Expected};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use settings::Settings;
use standin::{
    engine::{self, Engine},
    objects::{self, Limits, Listed, Objects, Role, Standing},
};
use tokio::time::timeout;
use world::{
    contract::{Customer, Key},
    object::Object,
};

/// Twice the time after which a listed endpoint gets no new work anywhere.
const LISTED: Duration = Duration::from_secs(4);
/// Longest wait for something that must come; far beyond what it takes.
const PATIENCE: Duration = Duration::from_mins(1);

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

struct Site {
    objects: objects::Handle,
    engines: Vec<engine::Handle>,
    daemons: Vec<Daemon>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Site {
    async fn spawn() -> Self {
        let objects = Objects::bind(loopback(), Limits::none()).await.expect("a port is free");
        let options = engine::Options { versions: ["summary@3".into()].into(), ..engine::Options::default() };
        let mut engines = Vec::new();
        for _ in 0..2 {
            engines.push(Engine::bind(loopback(), options.clone()).await.expect("a port is free"));
        }
        let mut daemons: Vec<Daemon> = Vec::new();
        for domain in ["a", "b", "c"] {
            let mut settings = Settings::local(
                format!("{domain}-1").parse().expect("a name"),
                domain.parse().expect("a name"),
                objects.addr(),
            );
            settings.domains = ["a", "b", "c"].map(|d| d.parse().expect("a name")).into();
            settings.timing.keep_ms = 100;
            settings.peers.seeds = daemons.iter().map(Daemon::peers).collect();
            daemons.push(Daemon::spawn(settings).await.expect("the daemon starts"));
        }
        Self { objects, engines, daemons }
    }

    async fn configure(&self) {
        let text = format!(
            r#"
kind: model
name: summary
spec: {{ versions: [ {{ version: "3", price: {{ input: "0.20", output: "0.60", currency: EUR }} }} ] }}
---
kind: pool
name: small
spec: {{ domain: a, serves: {{ versions: [summary@3] }}, endpoints: [ {{ name: small-1, address: "{}" }}, {{ name: small-2, address: "{}" }} ] }}
---
kind: contract
name: club
spec:
  keys: [ {{ sha256: "{}" }} ]
  models: [ {{ model: summary, versions: ["3"] }} ]
  budget: {{ amount: "100", currency: EUR, period: day }}
"#,
            self.engines[0].addr(),
            self.engines[1].addr(),
            Key::of("example-club").sha256,
        );
        let objects = Object::parse_file(&text).expect("the objects are well formed");
        let edits = objects.into_iter().map(|object| Edit::Put(object, Expected::Any)).collect();
        let applied = self.daemons[0].parts().config.apply("test", edits).await.expect("the change is accepted");
        for daemon in &self.daemons {
            let mut catalogs = daemon.parts().config.subscribe();
            let in_force = catalogs.wait_for(|catalog| catalog.generation() >= applied.generation);
            timeout(PATIENCE, in_force).await.expect("the change comes into force").expect("the daemon runs");
        }
    }

    async fn ask(&self, at: usize, method: Method, path: &str, body: &str, key: Option<&str>) -> Answer {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.daemons[at].callers()))
            .header("authorization", "Bearer example-club")
            .header("content-type", "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::from(body.to_owned())).expect("a request");
        let response = client.request(request).await.expect("the instance answers");
        let (head, body) = response.into_parts();
        let bytes = body.collect().await.expect("the body is whole").to_bytes();
        let body = String::from_utf8(bytes.to_vec()).expect("text");
        Answer { status: head.status, headers: head.headers, body }
    }

    fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.records().len()).sum()
    }

    async fn bills(&self) -> Vec<journal::Bill> {
        let customer: Customer = "club".parse().expect("a name");
        self.daemons[0].parts().journal.bills(&customer).await.expect("the platform answers")
    }
}

const CHAT: &str = r#"{"model":"summary","messages":[{"role":"user","content":"Sum up Saturday."}],"stream":true}"#;

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_is_whole_and_billed_once_wherever_it_is_repeated() {
    let site = Site::spawn().await;
    site.configure().await;

    let addresses = site.ask(0, Method::GET, "/v1/addresses?domain=a", "", None).await;
    assert_eq!(addresses.status, StatusCode::OK, "{}", addresses.body);
    assert!(addresses.body.contains(&site.daemons[0].callers().to_string()), "{}", addresses.body);

    let first = site.ask(0, Method::POST, "/v1/chat/completions", CHAT, Some("sheet-1")).await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    assert!(first.body.trim_end().ends_with("data: [DONE]"), "{}", first.body);
    assert_eq!(first.headers["arbutuslug-version"], "summary@3");

    // The caller's second try, at another instance, must not get another
    // answer to the same request: it ran again there, on whatever version was
    // chosen then, once the first answer was billed and its run forgotten.
    // The home now names who holds the answer.
    let again = site.ask(1, Method::POST, "/v1/chat/completions", CHAT, Some("sheet-1")).await;
    assert_eq!(again.status, StatusCode::OK, "{}", again.body);
    assert_eq!(site.runs(), 1);

    let outcome = site.ask(2, Method::GET, "/v1/requests/sheet-1", "", None).await;
    assert!(outcome.body.contains("answered"), "{}", outcome.body);
    assert_eq!(site.bills().await.len(), 1);
    assert!(!site.objects.dump("journal/").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_leaves_in_order() {
    let mut site = Site::spawn().await;
    site.configure().await;
    let last = site.daemons.pop().expect("three were started");
    let name = last.parts().peers.members().borrow().me.id.clone();
    timeout(PATIENCE, last.shutdown()).await.expect("it leaves");
    let mut members = site.daemons[0].parts().peers.members();
    let gone = members.wait_for(|m| m.get(&name).is_none_or(|i| i.state == world::instance::State::Gone));
    timeout(PATIENCE, gone).await.expect("the others hear of it").expect("the links run");
    let addresses = site.ask(0, Method::GET, "/v1/addresses", "", None).await;
    assert_eq!(addresses.body.matches("\"address\"").count(), 2, "{}", addresses.body);
}

// The platform lists an engine as leaving. The domain's reader sees it, the
// others ask the reader; callers see nothing: their requests go to the other
// engine from every instance, and the one that leaves gets none.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_new_work_from_any_instance() {
    let site = Site::spawn().await;
    site.configure().await;
    let listed = |name: &str, state| Listed { name: name.into(), role: Role::Endpoint, state };
    site.objects.set_instances(&[listed("small-1", Standing::Leaving), listed("small-2", Standing::Live)]);
    tokio::time::sleep(LISTED).await;
    let before = site.engines[0].records().len();
    for at in 0..site.daemons.len() {
        for n in 0..8 {
            let body = CHAT.replace("Saturday", &format!("day {n} at {at}"));
            let answer = site.ask(at, Method::POST, "/v1/chat/completions", &body, None).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        }
    }
    assert_eq!(site.engines[0].records().len(), before);
    assert_eq!(site.engines[1].records().len(), site.runs() - before);
}
