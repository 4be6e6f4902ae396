//! Case "uploads": proper requests whose bodies arrive slowly, before and after the operator shortens
//! their route's time-out.

use std::{
    fs::{self, File},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, instance::Instance, server::Server, store::Store};

/// Pieces of a slow body, their length in bytes, and the pause after each: 300 KiB in 3 s.
const PIECES: usize = 30;
const PIECE_BYTES: usize = 10 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// Time that consumers wait.
const DEADLINE: Duration = Duration::from_secs(6);

/// Slow requests before and after the change.
const SLOW_BEFORE: usize = 10;
const SLOW_AFTER: usize = 40;

/// The route's time-out before and after the change, in milliseconds.
const TIMEOUT_BEFORE: u32 = 4_000;
const TIMEOUT_AFTER: u32 = 2_000;

/// A request and its answer.
struct Asked {
    id: String,
    sent_ms: u128,
    answered_ms: u128,
    /// Status of the answer; 0 if there was none.
    status: u16,
    is_signed: bool,
}

#[derive(Clone)]
struct Consumers {
    front: SocketAddr,
    began: Instant,
    asked: Arc<Mutex<Vec<Asked>>>,
}

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::open().map_err(failed)?;
    let server = Server::open("i-1", Duration::from_millis(40)).map_err(failed)?;
    store.put("servers", &server.id, &server.entry("book"));
    store.put("config", "main", &manifest(1, TIMEOUT_BEFORE));
    let scratch = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    fs::create_dir_all(&scratch).map_err(failed)?;
    let instance = Instance::start(&scratch, store.address).map_err(failed)?;
    instance.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(2));

    let consumers = Consumers { front: instance.front, began: Instant::now(), asked: Arc::default() };
    let is_over = Arc::new(AtomicBool::new(false));
    let fast: Vec<_> = (0..4).map(|number| consumers.clone().ask_often(number, Arc::clone(&is_over))).collect();
    consumers.upload_slowly("before", SLOW_BEFORE);
    let changed_ms = consumers.began.elapsed().as_millis();
    if has_trouble {
        store.put("config", "main", &manifest(2, TIMEOUT_AFTER));
    }
    // The manifest is in force after `config-ms`, 2 s.
    thread::sleep(Duration::from_millis(2_500));
    consumers.upload_slowly("after", SLOW_AFTER);
    is_over.store(true, Ordering::Relaxed);
    for thread in fast {
        thread.join().ok();
    }
    drop(instance);
    fs::remove_dir_all(&scratch).ok();
    let change = has_trouble.then_some(changed_ms);
    let asked = consumers.asked.lock().unwrap();
    judge(folder, &asked, &server.ran.lock().unwrap(), change)
}

/// The operator's manifest, with one route whose requests may run once.
fn manifest(version: u32, timeout_ms: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"record","host":"club.example","path-prefix":"/rec/","kind":"non_idempotent","timeout-ms":{timeout_ms},"goal-ms":300,"priority":2,"service":"book","attempts":1,"public":false}}],"services":[{{"name":"book","health-path":"/healthz","max-conns":400,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"club","api-keys":["k2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

impl Consumers {
    /// Sends short requests, each on a channel of its own, until `is_over`.
    fn ask_often(self, number: usize, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
        thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                self.ask(format!("short-{number}-{count}"), 1, 600, Duration::ZERO);
                thread::sleep(Duration::from_millis(60));
            }
        })
    }

    /// Sends requests whose bodies take 3 s, 50 ms apart, and waits for their answers.
    fn upload_slowly(&self, phase: &str, count: usize) {
        let threads: Vec<_> = (0..count)
            .map(|number| {
                let (consumers, id) = (self.clone(), format!("slow-{phase}-{number}"));
                thread::sleep(Duration::from_millis(50));
                thread::spawn(move || consumers.ask(id, PIECES, PIECE_BYTES, PIECE_PAUSE))
            })
            .collect();
        for thread in threads {
            thread.join().ok();
        }
    }

    fn ask(&self, id: String, pieces: usize, piece_bytes: usize, pause: Duration) {
        let sent_ms = self.began.elapsed().as_millis();
        let answer = self.exchange(&id, pieces, piece_bytes, pause);
        let status = answer.as_ref().and_then(|answer| answer.second_word().parse().ok()).unwrap_or(0);
        let is_signed = answer.is_some_and(|answer| answer.header("arbutuslug-server-seal").is_some());
        let answered_ms = self.began.elapsed().as_millis();
        self.asked.lock().unwrap().push(Asked { id, sent_ms, answered_ms, status, is_signed });
    }

    fn exchange(&self, id: &str, pieces: usize, piece_bytes: usize, pause: Duration) -> Option<http::Message> {
        let mut stream = TcpStream::connect(self.front).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(DEADLINE)).ok()?;
        let head = format!(
            "POST /rec/{id} HTTP/1.1\r\nHost: club.example\r\nArbutuslug-Request-Id: {id}\r\nArbutuslug-Deadline-Ms: {}\r\nArbutuslug-Key: k2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n",
            DEADLINE.as_millis(),
            pieces * piece_bytes,
        );
        stream.write_all(head.as_bytes()).ok()?;
        let piece = vec![b'x'; piece_bytes];
        for _ in 0..pieces {
            if stream.write_all(&piece).is_err() {
                break;
            }
            thread::sleep(pause);
        }
        http::read(&mut BufReader::new(stream)).ok()?
    }
}

/// DENIED: more than 5 + one in 500 of all requests are ended with a 3xx or 4xx of the system's own,
/// other than 408, 421 and 429. Returns whether the rule held.
fn judge(folder: &Path, asked: &[Asked], ran: &[String], changed_ms: Option<u128>) -> Result<bool, String> {
    let mut record = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
    let mut write = |line: String| writeln!(record, "{line}").map_err(|error| error.to_string());
    let is_denied = |asked: &&Asked| {
        (300..500).contains(&asked.status) && !matches!(asked.status, 408 | 421 | 429) && !asked.is_signed
    };
    let denied = asked.iter().filter(is_denied).count();
    let bound = 5 + asked.len() / 500;
    match changed_ms {
        Some(at) => write(format!("{at} ms: the operator changes the time-out of the route to {TIMEOUT_AFTER} ms"))?,
        None => write("TROUBLE=0: the time-out of the route stays as it is".into())?,
    }
    let served = |start: &str| {
        let of_kind = asked.iter().filter(|asked| asked.id.starts_with(start));
        let good = of_kind.clone().filter(|asked| asked.status == 200).count();
        format!("{start}: {good} of {} served", of_kind.count())
    };
    for start in ["short", "slow-before", "slow-after"] {
        write(served(start))?;
    }
    write(format!("ended with a 3xx or 4xx of the system's own: {denied} of {}, allowed {bound}", asked.len()))?;
    for Asked { id, sent_ms, answered_ms, status, is_signed } in asked {
        let has_run = if ran.contains(id) { "ran" } else { "did not run" };
        let by = if *is_signed { "the server" } else { "the system" };
        write(format!("{id}: sent at {sent_ms} ms, {status} by {by} at {answered_ms} ms, {has_run}"))?;
    }
    if !asked.iter().any(|asked| asked.status == 200) {
        return Err("no request was served".into());
    }
    Ok(denied <= bound)
}
