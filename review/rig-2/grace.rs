//! Case "grace": the platform shortens `grace-s` and sends SIGHUP; later it stops the instance with
//! SIGTERM, and with SIGKILL after the new `grace-s`.

use std::{
    fs::{self, File},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    instance::{Addresses, Instance, fields},
    server::Server,
    store::Store,
};

/// The bound `grace-s` before and after the change.
const GRACE_BEFORE: u64 = 8;
const GRACE_AFTER: u64 = 4;

/// Time between the change and the SIGTERM: `contact-ms` and a second.
const CALM: Duration = Duration::from_secs(4);

/// What the server takes for a request, the route's time-out, and the time that consumers wait.
const WORK: Duration = Duration::from_millis(1_500);
const TIMEOUT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 4_000;

const CONSUMERS: u64 = 30;

/// How long consumers keep the instance's address after SIGTERM: three times the `ttl-s` of 2.
const ADDRESS_KEPT_MS: u128 = 6_000;

/// A request sent later after SIGTERM than this counts even if its server is still at work at the end.
const EXCUSED_MS: u128 = 3_000;

/// A request whose connection was made.
struct Asked {
    id: String,
    sent_ms: u128,
    ended_ms: u128,
    /// Status of the whole answer; `None` if the channel ended without one.
    status: Option<u16>,
}

/// What consumers share: when they began, when SIGTERM was sent, and what they have asked.
#[derive(Clone)]
struct Consumers {
    front: SocketAddr,
    began: Instant,
    term_ms: Arc<Mutex<Option<u128>>>,
    asked: Arc<Mutex<Vec<Asked>>>,
}

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::open().map_err(failed)?;
    let server = Server::open("i-1", WORK).map_err(failed)?;
    store.put("servers", &server.id, &server.entry("book"));
    store.put("config", "main", &manifest());
    let scratch = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    fs::create_dir_all(&scratch).map_err(failed)?;
    let addresses = Addresses::free().map_err(failed)?;
    let settings = |grace: u64| fields(addresses, store.address, &grace.to_string());
    let instance = Instance::start_with(&scratch, addresses, &settings(GRACE_BEFORE)).map_err(failed)?;
    instance.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(2));

    let consumers = Consumers {
        front: addresses.front,
        began: Instant::now(),
        term_ms: Arc::default(),
        asked: Arc::default(),
    };
    let now = || consumers.began.elapsed().as_millis();
    let threads: Vec<_> = (0..CONSUMERS).map(|number| consumers.clone().ask_on(number)).collect();
    thread::sleep(Duration::from_secs(1));
    let mut told = Vec::new();
    let grace = if has_trouble { GRACE_AFTER } else { GRACE_BEFORE };
    if has_trouble {
        instance.reload(&settings(grace)).map_err(failed)?;
        told.push(format!("{} ms: settings written with grace-s = {grace}, SIGHUP", now()));
    }
    thread::sleep(CALM);
    let term_ms = now();
    *consumers.term_ms.lock().unwrap() = Some(term_ms);
    told.push(format!("{term_ms} ms: SIGTERM, SIGKILL after {grace} s"));
    instance.stop(Duration::from_secs(grace)).map_err(failed)?;
    told.push(format!("{} ms: the process has ended or was killed", now()));
    for thread in threads {
        thread.join().ok();
    }
    let log = fs::read_to_string(scratch.join("relay.log")).unwrap_or_default();
    told.push(format!("the instance logged \"settings read again\": {}", log.contains("settings read again")));
    told.push(format!("the instance logged \"left\" before its end: {}", log.contains("\"message\":\"left\"")));
    fs::remove_dir_all(&scratch).ok();

    let ran = server.ran.lock().unwrap();
    let asked = consumers.asked.lock().unwrap();
    let is_lost = |asked: &&Asked| {
        let is_due = asked.ended_ms - asked.sent_ms < u128::from(TIMEOUT_MS);
        let is_counted = asked.sent_ms > term_ms + EXCUSED_MS;
        asked.status.is_none() && ran.contains(&asked.id) && is_counted && is_due
    };
    let lost = asked.iter().filter(is_lost).count();
    told.push(format!(
        "sent later than {EXCUSED_MS} ms after SIGTERM, passed on to the server, and the channel ended without an answer: {lost}, allowed 0"
    ));
    for asked in asked.iter() {
        let has_run = if ran.contains(&asked.id) { "ran" } else { "did not run" };
        let status = asked.status.map_or("no answer".to_owned(), |status| status.to_string());
        told.push(format!("{}: sent at {} ms, {status} at {} ms, {has_run}", asked.id, asked.sent_ms, asked.ended_ms));
    }
    let mut record = File::create(folder.join("record.txt")).map_err(failed)?;
    writeln!(record, "{}", told.join("\n")).map_err(failed)?;
    if !asked.iter().any(|asked| asked.status == Some(200)) {
        return Err("no request was served".into());
    }
    Ok(lost == 0)
}

/// The operator's manifest, with one route whose requests may run once.
fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"record","host":"club.example","path-prefix":"/rec/","kind":"non_idempotent","timeout-ms":{TIMEOUT_MS},"goal-ms":300,"priority":2,"service":"book","attempts":1,"public":false}}],"services":[{{"name":"book","health-path":"/healthz","max-conns":400,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"club","api-keys":["k2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

impl Consumers {
    /// Sends one request after the other, on a kept channel for as long as the instance keeps it, until
    /// the consumer has another address.
    fn ask_on(self, number: u64) -> thread::JoinHandle<()> {
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(number * 50));
            let (mut channel, mut count) = (None, 0);
            while !self.has_other_address() {
                let Some(stream) = channel.take().or_else(|| TcpStream::connect(self.front).ok()) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                count += 1;
                let (id, sent_ms) = (format!("r-{number}-{count}"), self.began.elapsed().as_millis());
                let answer = ask(&stream, &id);
                let ended_ms = self.began.elapsed().as_millis();
                let status = answer.as_ref().and_then(|answer| answer.second_word().parse().ok());
                let is_kept = answer
                    .is_some_and(|answer| !answer.header("connection").is_some_and(|value| value.contains("close")));
                channel = is_kept.then_some(stream);
                self.asked.lock().unwrap().push(Asked { id, sent_ms, ended_ms, status });
                thread::sleep(Duration::from_millis(50));
            }
        })
    }

    fn has_other_address(&self) -> bool {
        let now = self.began.elapsed().as_millis();
        self.term_ms.lock().unwrap().is_some_and(|term_ms| now > term_ms + ADDRESS_KEPT_MS)
    }
}

fn ask(stream: &TcpStream, id: &str) -> Option<http::Message> {
    let mut writer = stream.try_clone().ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
    let request = format!(
        "POST /rec/{id} HTTP/1.1\r\nHost: club.example\r\nArbutuslug-Request-Id: {id}\r\nArbutuslug-Deadline-Ms: {DEADLINE_MS}\r\nArbutuslug-Key: k2ctnfzs989anu6wsjnb\r\nContent-Length: 6\r\n\r\nflight"
    );
    writer.write_all(request.as_bytes()).ok()?;
    http::read(&mut BufReader::new(writer)).ok()?
}
