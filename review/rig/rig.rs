//! Stand-ins for the platform's store, for servers and for consumers, and control of the instances'
//! processes, for the cases of this folder. Standard library only.
//!
//! Usage: `rig CASE FOLDER TROUBLE`. Writes `FOLDER/record.txt` and exits with 1 if the rule of the case was
//! broken, 0 if it held, and 2 if the case could not run. With 0 for TROUBLE the case runs without its
//! disruption.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

mod cases;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---- record

struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Adds a line to the record, with the time since its start.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

// ---- JSON, as far as the store needs it

/// Returns the end of the JSON value that starts at `at`.
fn value_end(text: &[u8], mut at: usize) -> usize {
    let (mut depth, mut in_string) = (0, false);
    while at < text.len() {
        let byte = text[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return at,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    at
}

/// Returns the raw value of a field of a JSON object.
pub fn field(object: &str, name: &str) -> Option<String> {
    let bytes = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        if at >= bytes.len() || bytes[at] != b'"' {
            return None;
        }
        let end = value_end(bytes, at);
        let key = &object[at + 1..end - 1];
        at = end;
        while at < bytes.len() && bytes[at] != b':' {
            at += 1;
        }
        at += 1;
        while at < bytes.len() && bytes[at].is_ascii_whitespace() {
            at += 1;
        }
        let end = value_end(bytes, at);
        if key == name {
            return Some(object[at..end].trim().to_owned());
        }
        at = end;
    }
}

pub fn text(raw: &str) -> String {
    raw.trim_matches('"').to_owned()
}

// ---- HTTP

/// A request or the head of a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(())
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Calls `serve` for each connection in a thread of its own.
pub fn listen(at: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

// ---- the platform's store

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Clone)]
struct Event {
    rev: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default, Clone)]
struct Contents {
    rev: u64,
    era: u64,
    is_away: bool,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A copy of the store.
pub struct Copy(Contents);

/// The platform's store; sound.
#[derive(Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"created\":{},\"finalizers\":[],\"deletion\":false}},\"spec\":{},\"status\":{}}}",
        object.rev, object.created, object.spec, object.status
    )
}

impl Store {
    pub fn open() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let shared = Arc::clone(&store);
        let address = listen("127.0.0.1:0", move |stream| {
            let _ = shared.serve(stream);
        })?;
        Ok((store, address))
    }

    /// Writes an object's specification, as its owner does. Owners write again what a restore has lost.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let status = self.get(kind, name).map_or("null".to_owned(), |object| object.status);
        self.write(kind, name, spec, &status);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut contents = self.contents.lock().unwrap();
        if let Some(object) = contents.objects.remove(&(kind.to_owned(), name.to_owned())) {
            contents.rev += 1;
            let rev = contents.rev;
            contents.events.push(Event { rev, kind: kind.into(), object: object_json(name, &object), deleted: true });
        }
        self.changed.notify_all();
    }

    /// Returns a copy of all that it holds.
    pub fn copy(&self) -> Copy {
        Copy(self.contents.lock().unwrap().clone())
    }

    /// Goes away: connections are closed without an answer.
    pub fn leave(&self) {
        self.contents.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from an older copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let mut contents = self.contents.lock().unwrap();
        let era = contents.era + 1;
        *contents = Contents { era, is_away: false, events: Vec::new(), ..copy.0.clone() };
    }

    /// Returns the status of an object as JSON.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        self.get(kind, name).map(|object| object.status)
    }

    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.contents.lock().unwrap().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn write(&self, kind: &str, name: &str, spec: &str, status: &str) -> Object {
        let mut contents = self.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = contents.objects.get(&key).cloned();
        if let Some(known) = known.filter(|known| known.spec == spec && known.status == status) {
            return known;
        }
        contents.rev += 1;
        let rev = contents.rev;
        let created = contents.objects.get(&key).map_or(rev, |object| object.created);
        let object = Object { rev, created, spec: spec.into(), status: status.into() };
        contents.objects.insert(key, object.clone());
        contents.events.push(Event { rev, kind: kind.into(), object: object_json(name, &object), deleted: false });
        self.changed.notify_all();
        object
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(mut call) = read_head(&mut reader)? {
            read_body(&mut reader, &mut call)?;
            let (status, body) = self.answer(&call);
            let (era, is_away) = {
                let contents = self.contents.lock().unwrap();
                (contents.era, contents.is_away)
            };
            if is_away {
                return Ok(());
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            respond(&mut stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches("/api/objects/").split('/').collect();
        let kind = parts[0];
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or_default();
        let name = parts.get(1).map(|name| (*name).to_owned()).or_else(|| field(&metadata, "name").map(|n| text(&n)));
        let wanted = field(&metadata, "rev").or_else(|| query.get("rev").map(|rev| (*rev).to_owned()));
        let wanted: Option<u64> = wanted.and_then(|rev| rev.parse().ok());
        let Some(name) = name else {
            return match query.get("watch").and_then(|from| from.parse().ok()) {
                Some(from) => self.watch(kind, from, query.get("wait-ms").and_then(|wait| wait.parse().ok())),
                None => self.list(kind),
            };
        };
        let current = self.get(kind, &name);
        if call.method() == "GET" {
            return current.map_or((404, "null".into()), |object| (200, object_json(&name, &object)));
        }
        if call.method() != "POST" && current.is_none() {
            return (404, "null".into());
        }
        let is_conflict = match &current {
            Some(object) => call.method() == "POST" || wanted.is_some_and(|rev| rev != object.rev),
            None => false,
        };
        if is_conflict {
            return (409, current.map_or("null".into(), |object| object_json(&name, &object)));
        }
        note(&format!("store {} {} {}", call.method(), call.target(), body));
        if call.method() == "DELETE" {
            self.remove(kind, &name);
            return (200, "null".into());
        }
        let known = current.unwrap_or(Object { rev: 0, created: 0, spec: "null".into(), status: "null".into() });
        let object = if parts.get(2) == Some(&"status") {
            self.write(kind, &name, &known.spec, &field(&body, "status").unwrap_or("null".into()))
        } else {
            self.write(kind, &name, &field(&body, "spec").unwrap_or("null".into()), &known.status)
        };
        (200, object_json(&name, &object))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let contents = self.contents.lock().unwrap();
        let entries: Vec<String> = contents
            .objects
            .iter()
            .filter(|((other, _), _)| other == kind)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        (200, format!("{{\"entries\":[{}],\"more\":false,\"store-revision\":{}}}", entries.join(","), contents.rev))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: Option<u64>) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
        let mut contents = self.contents.lock().unwrap();
        let era = contents.era;
        loop {
            if from > contents.rev || contents.era != era || contents.is_away {
                return (410, "null".into());
            }
            let events: Vec<String> = contents
                .events
                .iter()
                .filter(|event| event.rev > from && event.kind == kind)
                .map(|event| format!("{{\"deleted\":{},\"object\":{}}}", event.deleted, event.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"store-revision\":{}}}", events.join(","), contents.rev);
                return (200, body);
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

// ---- instances

/// A running instance.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
}

/// Returns a free port at an address.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).map(|at| at.port()).unwrap_or(0)
}

/// What the platform fills into the deploy file's template for a small deployment.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub seeds: Vec<String>,
    pub memory_mb: u32,
}

impl Deployment {
    /// Starts an instance with the command of the deploy file.
    pub fn spawn(&self, number: usize, zone: &str, news: &str) -> io::Result<Instance> {
        let ip = news.split(':').next().unwrap_or("127.0.0.1");
        let at = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let (front, ready, directory, metrics) =
            (at(free_port(ip)), at(free_port(ip)), at(free_port(ip)), at(free_port(ip)));
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "instance: \"{name}\"\ndomain: \"{zone}\"\nlisteners:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  \
             directory: \"{directory}\"\n  news: \"{news}\"\nseeds: [{}]\nstore: \"{}\"\nmetrics: \"{metrics}\"\n\
             log: info\nrevoke_ms: 5000\nreplace_ms: 2000\nretries:\n  ratio: 0.9\n  reserve: 54\n  window_ms: 10000\n\
             exposure_share: 0.15\nsession_s: 5\ngrace_ms: 8000\nkeep_addresses_ms: 5000\ncores: 0.25\n\
             memory_mib: {}\npolicies:\n  capacity: learned\n  answer_length: expected\n",
            seeds.join(","),
            self.store,
            self.memory_mb
        );
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/arbutuslugd")
            .arg("relay")
            .env_clear()
            .env("PATH", env::var("PATH").unwrap_or_default())
            .env("ARBUTUSLUG_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note(&format!("{name} started, callers at {front}"));
        Ok(Instance { name, front, ready, directory, child })
    }
}

impl Instance {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        note(&format!("signal {signal} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the instance is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the process has ended; kills it after `grace`, as the platform does.
    pub fn wait_end(&mut self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                note(&format!("{} ended: {status}", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        note(&format!("{} is killed after its grace", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a server's registration.
pub fn registration(service: &str, address: SocketAddr, zone: &str, version: &str, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":0}}"
    )
}

// ---- cases

pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(folder), Some(trouble)) = (arguments.get(1), arguments.get(2), arguments.get(3)) else {
        eprintln!("usage: rig CASE FOLDER TROUBLE");
        std::process::exit(2);
    };
    let record = match fs::File::create(Path::new(folder).join("record.txt")) {
        Ok(file) => Record { start: Instant::now(), file: Mutex::new(file) },
        Err(error) => {
            eprintln!("no record: {error}");
            std::process::exit(2);
        }
    };
    let _ = RECORD.set(record);
    let trouble = trouble != "0";
    note(&format!("case {case}, with its disruption: {trouble}"));
    let scratch = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = fs::create_dir_all(&scratch).and_then(|()| cases::run(case, &scratch, trouble));
    let _ = fs::remove_dir_all(&scratch);
    let code = match result {
        Ok(Verdict::Held) => {
            note("the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            note(&format!("the rule was broken: {what}"));
            println!("{what}");
            1
        }
        Err(error) => {
            note(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            2
        }
    };
    std::process::exit(code);
}

/// Reads up to the end of a connection; an error counts as the end.
pub fn read_all(stream: &mut impl Read) -> (Vec<u8>, Option<io::Error>) {
    let mut bytes = Vec::new();
    let error = stream.read_to_end(&mut bytes).err();
    (bytes, error)
}
