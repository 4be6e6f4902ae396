//! Consumers upload bodies of three quarters of the manifest's `max-body-bytes`, and three of four
//! instances are killed at the same moment. Their consumers go on at the one that is left. The platform
//! kills a process that has more memory than its machine, as it says.

use std::{
    collections::HashMap,
    fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    field, free_port, listen, note, read_body, read_head, registration, respond, Deployment, Instance, Store, Verdict,
    SIGKILL,
};

const HOST: &str = "x.example";
/// Memory of a machine of the deployment, `memory-mb`, and the bytes beyond which the platform kills.
const MEMORY_MB: u32 = 110;
const MEMORY_BYTES: u64 = 110 << 20;
/// Consumers that upload, and consumers that look things up.
const UPLOADERS: usize = 64;
const READERS: usize = 12;
/// Instances, and those of them that are killed at the same moment.
const INSTANCES: usize = 4;
const KILLED: usize = 3;
/// Bytes of an upload; the manifest allows 4,194,304.
const UPLOAD: usize = 3 << 20;
/// Shortest time between two uploads of a consumer; up to as much is added.
const THINK_MS: usize = 100;
/// Time that a server works on a request, and its slots.
const WORK: Duration = Duration::from_millis(30);
const SLOTS: usize = 6;
/// Time from the kill until the platform starts the first process again, and from one to the next.
const DOWN: Duration = Duration::from_secs(2);
const START_GAP: Duration = Duration::from_millis(150);
const LENGTH: Duration = Duration::from_secs(12);
/// Time without a disruption after which a machine is in touch, `contact-ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// The rule allows so many.
const ALLOWED: usize = 3;

const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"r-up","host":"x.example","path-prefix":"/up/","kind":"non_idempotent","timeout-ms":4000,"goal-ms":300,"priority":0,"service":"app","attempts":1,"public":false},{"name":"r-get","host":"x.example","path-prefix":"/get/","kind":"idempotent","timeout-ms":2000,"goal-ms":300,"priority":0,"service":"app","attempts":2,"public":false}],"services":[{"name":"app","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// What a request came to, as its consumer saw it.
#[derive(Clone)]
struct End {
    at: Duration,
    instance: SocketAddr,
    was_kept: bool,
    outcome: String,
}

#[derive(Default)]
struct Log {
    /// Requests that servers have begun to run.
    runs: Mutex<HashMap<String, Duration>>,
    ends: Mutex<Vec<(String, End)>>,
}

struct Shared {
    start: Instant,
    log: Log,
    stop: AtomicBool,
    directories: Mutex<Vec<SocketAddr>>,
}

impl Shared {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// A sound server with a few slots, which works on a request for a fixed time.
fn server(id: String, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    let shared = Arc::clone(shared);
    let slots = Arc::new((Mutex::new(SLOTS), Condvar::new()));
    listen("127.0.0.1:0", move |stream| {
        let serve = || -> io::Result<()> {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream.try_clone()?;
            while let Some(mut request) = read_head(&mut reader)? {
                read_body(&mut reader, &mut request)?;
                if request.header("arbutuslug-expect-instance").is_some_and(|expected| expected != id) {
                    respond(&mut stream, 421, &format!("Arbutuslug-Instance: {id}\r\n"), b"")?;
                    continue;
                }
                let request_id = request.header("arbutuslug-request-id").unwrap_or_default().to_owned();
                let mut free = slots.0.lock().unwrap();
                while *free == 0 {
                    free = slots.1.wait(free).unwrap();
                }
                *free -= 1;
                drop(free);
                shared.log.runs.lock().unwrap().insert(request_id.clone(), shared.now());
                note(&format!("server {id} runs {request_id} ({} bytes)", request.body.len()));
                thread::sleep(WORK);
                *slots.0.lock().unwrap() += 1;
                slots.1.notify_one();
                let head = format!(
                    "Arbutuslug-Request-Id: {request_id}\r\nArbutuslug-Server-Seal: {id}.1\r\nArbutuslug-Instance: {id}\r\n"
                );
                respond(&mut stream, 200, &head, &[b'a'; 800])?;
            }
            Ok(())
        };
        let _ = serve();
    })
}

/// Draws numbers for a consumer.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % bound.max(1)
    }
}

/// Asks a node that serves `directory` where to connect.
fn resolve(directory: SocketAddr) -> io::Result<Vec<SocketAddr>> {
    let mut stream = TcpStream::connect_timeout(&directory, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET /api/resolve?name={HOST}&region=luzon&zone=pasig HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer)?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let list = field(&body, "addrs").unwrap_or_default();
    Ok(list.trim_matches(['[', ']']).split(',').filter_map(|item| item.trim().trim_matches('"').parse().ok()).collect())
}

struct Channel {
    address: SocketAddr,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    requests: usize,
}

/// A consumer with one channel, which it keeps.
struct Consumer {
    number: usize,
    uploads: bool,
    shared: Arc<Shared>,
    draw: Draw,
    addresses: Vec<SocketAddr>,
    asked_at: Option<Instant>,
    channel: Option<Channel>,
}

impl Consumer {
    fn run(mut self) {
        let mut count = 0;
        while !self.shared.stop.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{}{}-{count}", if self.uploads { "up" } else { "get" }, self.number);
            let pause = match self.request(&id) {
                Some(503) => Duration::from_millis(500 + self.draw.below(250) as u64),
                Some(_) if self.uploads => Duration::from_millis((THINK_MS + self.draw.below(THINK_MS)) as u64),
                Some(_) => Duration::from_millis(5 + self.draw.below(10) as u64),
                None => Duration::from_millis(self.draw.below(20) as u64),
            };
            thread::sleep(pause);
        }
    }

    /// Asks for addresses when the last answer is older than two seconds, as the answer says.
    fn refresh(&mut self) {
        if self.asked_at.is_some_and(|at| at.elapsed() < Duration::from_secs(2)) && !self.addresses.is_empty() {
            return;
        }
        let directories = self.shared.directories.lock().unwrap().clone();
        let first = self.draw.below(directories.len());
        for offset in 0..directories.len() {
            if let Ok(addresses) = resolve(directories[(first + offset) % directories.len()]) {
                if !addresses.is_empty() {
                    self.addresses = addresses;
                    self.asked_at = Some(Instant::now());
                    return;
                }
            }
        }
    }

    /// Sends a request and returns the status of its answer, if there is one.
    fn request(&mut self, id: &str) -> Option<u16> {
        self.refresh();
        if self.channel.as_ref().is_some_and(|channel| !self.addresses.contains(&channel.address)) {
            self.channel = None;
        }
        if self.channel.is_none() {
            let address = *self.addresses.get(self.draw.below(self.addresses.len()))?;
            match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    let reader = BufReader::new(stream.try_clone().ok()?);
                    self.channel = Some(Channel { address, stream, reader, requests: 0 });
                }
                Err(_) => {
                    self.addresses.retain(|other| *other != address);
                    return None;
                }
            }
        }
        let mut channel = self.channel.take()?;
        let was_kept = channel.requests > 0;
        channel.requests += 1;
        let result = exchange(&mut channel, id, self.uploads);
        let outcome = match &result {
            Ok((status, _)) => status.to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        note(&format!("{id} at {} kept={was_kept} -> {outcome}", channel.address));
        let end = End { at: self.shared.now(), instance: channel.address, was_kept, outcome };
        self.shared.log.ends.lock().unwrap().push((id.to_owned(), end));
        let (status, closes) = result.ok()?;
        if !closes {
            self.channel = Some(channel);
        }
        Some(status)
    }
}

/// Sends a request on a channel and reads the whole answer; returns its status and whether the channel
/// is to be closed.
fn exchange(channel: &mut Channel, id: &str, uploads: bool) -> io::Result<(u16, bool)> {
    let (method, path, length, deadline) =
        if uploads { ("POST", "/up/x", UPLOAD, 4000) } else { ("GET", "/get/x", 0, 2000) };
    let length_line = if uploads { format!("Content-Length: {length}\r\n") } else { String::new() };
    write!(
        channel.stream,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nArbutuslug-Request-Id: {id}\r\n\
         Arbutuslug-Deadline-Ms: {deadline}\r\nArbutuslug-Key: n2ctnfzs989anu6wsjnb\r\n{length_line}\r\n"
    )?;
    let body = vec![b'x'; length];
    // An answer may come before the whole body was sent; it is read below.
    let _ = channel.stream.write_all(&body);
    let mut answer = read_head(&mut channel.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut channel.reader, &mut answer)?;
    let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok((answer.status(), closes))
}

/// Peak of the resident memory of a process in bytes.
fn peak(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) << 10
}

pub fn run(scratch: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, at) = Store::open()?;
    store.put("config", "main", MANIFEST);
    let shared = Arc::new(Shared {
        start: Instant::now(),
        log: Log::default(),
        stop: AtomicBool::new(false),
        directories: Mutex::default(),
    });
    for number in 1..=4 {
        let id = format!("i-{number}");
        let address = server(id.clone(), &shared)?;
        store.put("servers", &id, &registration("app", address, "pasig", "v1", SLOTS as u32));
    }
    let news: Vec<String> = (0..INSTANCES).map(|_| format!("127.0.0.1:{}", free_port("127.0.0.1"))).collect();
    let deployment = Deployment { folder: scratch.into(), store: at, seeds: news[..3].to_vec(), memory_mb: MEMORY_MB };
    let zones = ["pasig", "makati", "caloocan", "antipolo"];
    let mut instances: Vec<Option<Instance>> = Vec::new();
    for number in 0..INSTANCES {
        instances.push(Some(deployment.spawn(number + 1, zones[number], &news[number])?));
    }
    for instance in instances.iter().flatten() {
        if !instance.wait_ready() {
            return Err(io::Error::other("an instance is not ready"));
        }
        shared.directories.lock().unwrap().push(instance.directory);
    }
    thread::sleep(Duration::from_secs(2));
    let consumers: Vec<_> = (0..UPLOADERS + READERS)
        .map(|number| {
            let consumer = Consumer {
                number,
                uploads: number < UPLOADERS,
                shared: Arc::clone(&shared),
                draw: Draw(number as u64 * 7_919 + 17),
                addresses: Vec::new(),
                asked_at: None,
                channel: None,
            };
            thread::spawn(move || consumer.run())
        })
        .collect();

    // The platform: one kill by the disruption, and kills of processes that exceed their memory.
    let begun = Instant::now();
    let (mut peaks, mut memory_kills) = ([0_u64; INSTANCES], Vec::new());
    let mut restart_at: [Option<Instant>; INSTANCES] = [None; INSTANCES];
    let mut started = [Instant::now(); INSTANCES];
    let mut is_struck = !trouble;
    while begun.elapsed() < LENGTH {
        if !is_struck && begun.elapsed() > Duration::from_secs(5) {
            is_struck = true;
            for instance in instances[..KILLED].iter().flatten() {
                instance.signal(SIGKILL);
            }
            for number in 0..KILLED {
                if let Some(mut instance) = instances[number].take() {
                    instance.wait_end(Duration::from_secs(1));
                    restart_at[number] = Some(Instant::now() + DOWN + START_GAP * number as u32);
                }
            }
        }
        for number in 0..INSTANCES {
            if restart_at[number].is_some_and(|at| at <= Instant::now()) {
                restart_at[number] = None;
                let instance = deployment.spawn(number + 1, zones[number], &news[number])?;
                shared.directories.lock().unwrap()[number] = instance.directory;
                instances[number] = Some(instance);
                started[number] = Instant::now();
            }
            let Some(instance) = &mut instances[number] else { continue };
            let bytes = peak(instance.pid());
            peaks[number] = peaks[number].max(bytes);
            if bytes > MEMORY_BYTES {
                let front = instance.front;
                note(&format!("{} has {bytes} bytes of memory, more than {MEMORY_MB} MB: killed", instance.name));
                instance.signal(SIGKILL);
                instance.wait_end(Duration::from_secs(1));
                if started[number].elapsed() >= CONTACT {
                    memory_kills.push((shared.now(), front, bytes));
                }
                instances[number] = None;
                restart_at[number] = Some(Instant::now() + Duration::from_millis(500));
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    shared.stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(instances);
    judge(&shared, &peaks, &memory_kills)
}

/// Counts the requests that a machine without a disruption had passed on to a server, and whose kept
/// channel was closed without an answer.
fn judge(shared: &Shared, peaks: &[u64], kills: &[(Duration, SocketAddr, u64)]) -> io::Result<Verdict> {
    let runs = shared.log.runs.lock().unwrap();
    let ends = shared.log.ends.lock().unwrap();
    let mut outcomes: HashMap<&str, usize> = HashMap::new();
    for (_, end) in ends.iter() {
        *outcomes.entry(end.outcome.as_str()).or_default() += 1;
    }
    note(&format!("outcomes: {outcomes:?}"));
    let peaks: Vec<u64> = peaks.iter().map(|bytes| bytes >> 10).collect();
    note(&format!("peaks of resident memory in kB: {peaks:?}"));
    let lost = |(at, front, _): &(Duration, SocketAddr, u64)| {
        let near = |end: &End| end.at + Duration::from_millis(50) >= *at && end.at < *at + Duration::from_millis(500);
        ends.iter()
            .filter(|(id, end)| {
                end.instance == *front
                    && end.was_kept
                    && near(end)
                    && end.outcome.starts_with("no answer")
                    && runs.contains_key(id)
            })
            .count()
    };
    let counts: Vec<usize> = kills.iter().map(lost).collect();
    let total: usize = counts.iter().sum();
    note(&format!("processes in touch that were killed for their memory: {}; requests lost with each: {counts:?}", kills.len()));
    println!(
        "peaks {peaks:?} kB, {} processes in touch killed for their memory, requests lost with each: {counts:?}",
        kills.len()
    );
    if total > ALLOWED {
        return Ok(Verdict::Broken(format!(
            "LOST: {total} requests were passed on from kept channels that were then closed without an answer"
        )));
    }
    if runs.len() < 200 {
        return Err(io::Error::other("too few requests have run"));
    }
    Ok(Verdict::Held)
}
