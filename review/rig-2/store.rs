//! The platform's store of objects: listings, watches and conditional writes, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// A store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Kind, revision and object of each change.
    events: Vec<(String, u64, String)>,
}

#[derive(Clone, Default)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Self { revision, spec, status } = self;
        let status = if status.is_empty() { "null" } else { status };
        format!(
            r#"{{"metadata":{{"name":"{name}","rev":{revision},"created":1,"finalizers":[],"deletion":false}},"spec":{spec},"status":{status}}}"#
        )
    }
}

impl Store {
    pub fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object's spec, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, |object| object.spec = spec.to_owned());
    }

    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> String {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = state.objects.entry((kind.to_owned(), name.to_owned())).or_default();
        change(object);
        object.revision = revision;
        let json = object.json(name);
        state.events.push((kind.to_owned(), revision, json.clone()));
        changed.notify_all();
        json
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(request) = http::read(&mut reader).ok()? {
            let (status, body) = self.answer(&request);
            http::respond(&mut stream, status, "Content-Type: application/json\r\n", body.as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, request: &http::Message) -> (&'static str, String) {
        let (path, query) = request.second_word().split_once('?').unwrap_or((request.second_word(), ""));
        let method = request.first.split(' ').next().unwrap_or_default();
        let words: Vec<&str> = path.trim_start_matches("/api/objects/").split('/').collect();
        let parameter = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, words.as_slice()) {
            ("GET", [kind]) => match parameter("watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = parameter("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    ("200 OK", self.watch(kind, from, Duration::from_millis(wait)))
                }
                None => ("200 OK", self.list(kind)),
            },
            ("POST", [kind]) => {
                let name = text_after(&body, "\"name\":\"");
                if self.has(kind, &name) {
                    return ("409 Conflict", self.get(kind, &name));
                }
                let spec = body.split_once("\"spec\":").map_or("null", |(_, spec)| spec.trim_end_matches('}'));
                let spec = if spec.starts_with('{') { format!("{spec}}}") } else { spec.to_owned() };
                ("200 OK", self.change(kind, &name, |object| object.spec = spec))
            }
            ("PUT", [kind, name]) => ("200 OK", self.get(kind, name)),
            ("PUT", [kind, name, "status"]) => {
                let status = body.split_once("\"status\":").map_or("null", |(_, status)| status);
                let status = status.split('}').next().unwrap_or_default().to_owned() + "}";
                ("200 OK", self.change(kind, name, |object| object.status = status))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        self.shared.0.lock().unwrap().objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    fn get(&self, kind: &str, name: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map_or("{}".to_owned(), |object| object.json(name))
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
        let entries: Vec<String> = of_kind.map(|((_, name), object)| object.json(name)).collect();
        format!(r#"{{"entries":[{}],"more":false,"store-revision":{}}}"#, entries.join(","), state.revision)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let (state, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let is_new = |event: &&(String, u64, String)| event.0 == kind && event.1 > from;
            let events: Vec<String> = state
                .events
                .iter()
                .filter(is_new)
                .map(|(_, _, object)| format!(r#"{{"deleted":false,"object":{object}}}"#))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(r#"{{"events":[{}],"store-revision":{}}}"#, events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn text_after(body: &str, start: &str) -> String {
    body.split_once(start).and_then(|(_, rest)| rest.split('"').next()).unwrap_or_default().to_owned()
}
