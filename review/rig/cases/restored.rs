//! The operator takes a key away. The store goes away for a moment and comes back from a copy of some
//! seconds before, without that change, which the operator writes again within two seconds. An instance
//! that was killed starts in that time.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    free_port, listen, note, read_body, read_head, registration, respond, Deployment, Store, Verdict, SIGKILL,
};

const HOST: &str = "x.example";
/// Longest time for which a key that was taken away may work, `revoke-ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Age of the copy from which the store comes back: some seconds.
const COPY_AGE: Duration = Duration::from_millis(6_000);
/// Time for which it is away: a moment.
const AWAY: Duration = Duration::from_millis(600);
/// Time after its return in which the operator has written again what was lost.
const REWRITE: Duration = Duration::from_millis(2_000);
/// Time from the kill of a process to its start.
const DOWN: Duration = Duration::from_millis(500);
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const TAKEN_KEY: &str = "anfqasnmgkcuyj8pjbvk";

fn manifest(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-up","host":"{HOST}","path-prefix":"/up/","kind":"non_idempotent","timeout-ms":2000,"goal-ms":300,"priority":0,"service":"app","attempts":1,"public":false}}],"services":[{{"name":"app","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":[{}],"priority":1}}]}}"#,
        keys.join(",")
    )
}

/// Starts a sound server that records the ids of the requests that it runs.
fn server(id: &'static str, runs: &Arc<Mutex<Vec<String>>>) -> io::Result<SocketAddr> {
    let runs = Arc::clone(runs);
    listen("127.0.0.1:0", move |stream| {
        let serve = || -> io::Result<()> {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream.try_clone()?;
            while let Some(mut request) = read_head(&mut reader)? {
                read_body(&mut reader, &mut request)?;
                if request.header("arbutuslug-expect-instance").is_some_and(|expected| expected != id) {
                    respond(&mut stream, 421, &format!("Arbutuslug-Instance: {id}\r\n"), b"")?;
                    continue;
                }
                let request_id = request.header("arbutuslug-request-id").unwrap_or_default().to_owned();
                note(&format!("server {id} runs {request_id} for {:?}", request.header("arbutuslug-tenant")));
                runs.lock().unwrap().push(request_id.clone());
                thread::sleep(Duration::from_millis(20));
                let head = format!("Arbutuslug-Request-Id: {request_id}\r\nArbutuslug-Server-Seal: {id}.1\r\n");
                respond(&mut stream, 200, &head, b"done")?;
            }
            Ok(())
        };
        let _ = serve();
    })
}

fn request(front: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    write!(
        stream,
        "POST /up/x HTTP/1.1\r\nHost: {HOST}\r\nArbutuslug-Request-Id: {id}\r\nArbutuslug-Deadline-Ms: 2000\r\n\
         Arbutuslug-Key: {key}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    )?;
    Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
}

pub fn run(scratch: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, at) = Store::open()?;
    store.put("config", "main", &manifest(7, &[KEPT_KEY, TAKEN_KEY]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    for id in ["i-1", "i-2"] {
        let address = server(id, &runs)?;
        store.put("servers", id, &registration("app", address, "pasig", "v1", 6));
    }
    let news: Vec<String> = (0..3).map(|_| format!("127.0.0.1:{}", free_port("127.0.0.1"))).collect();
    let deployment = Deployment { folder: scratch.into(), store: at, seeds: news.clone(), memory_mb: 260 };
    let zones = ["pasig", "makati", "caloocan"];
    let mut instances = Vec::new();
    for number in 0..3 {
        instances.push(deployment.spawn(number + 1, zones[number], &news[number])?);
    }
    if !instances.iter().all(|instance| instance.wait_ready()) {
        return Err(io::Error::other("an instance is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    if request(instances[0].front, "before", TAKEN_KEY)? != 200 {
        return Err(io::Error::other("the key does not work before it is taken away"));
    }

    let copy = store.copy();
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    store.put("config", "main", &manifest(12, &[KEPT_KEY]));
    let acked_at = Instant::now();
    note("the operator has taken the key away (version 12), acked");
    let return_at = copied_at + COPY_AGE;
    let wait = |until: Instant| thread::sleep(until.saturating_duration_since(Instant::now()));
    // Each instance starts anew once, as in a series of kills; the others go on.
    wait(return_at - AWAY);
    if trouble {
        store.leave();
        note("the store is away");
    }
    wait(return_at + Duration::from_millis(200) - DOWN);
    let number = 2;
    instances[number].signal(SIGKILL);
    instances[number].wait_end(Duration::from_secs(1));
    wait(return_at);
    if trouble {
        store.restore(&copy);
        note("the store is back from its copy");
    }
    wait(return_at + Duration::from_millis(200));
    instances[number] = deployment.spawn(number + 1, zones[number], &news[number])?;
    let front = instances[number].front;
    let mut sent = Vec::new();
    let (mut count, mut is_rewritten) = (0, false);
    while return_at.elapsed() < Duration::from_secs(6) {
        if !is_rewritten && return_at.elapsed() >= REWRITE {
            is_rewritten = true;
            store.put("config", "main", &manifest(12, &[KEPT_KEY]));
            note("the operator has written version 12 again");
        }
        count += 1;
        let id = format!("taken-{count}");
        let sent_at = Instant::now();
        if let Ok(status) = request(front, &id, TAKEN_KEY) {
            note(&format!("{id} sent {} ms after the ack -> {status}", (sent_at - acked_at).as_millis()));
            sent.push((id, sent_at));
        }
        if count % 5 == 0 {
            let status = request(front, &format!("kept-{count}"), KEPT_KEY).unwrap_or(0);
            note(&format!("kept-{count} -> {status}"));
        }
        thread::sleep(Duration::from_millis(25));
    }
    let kept = request(front, "after", KEPT_KEY)?;
    drop(instances);
    let runs = runs.lock().unwrap();
    let late: Vec<&String> =
        sent.iter().filter(|(id, at)| *at > acked_at + REVOKE && runs.contains(id)).map(|(id, _)| id).collect();
    println!("{} requests with the key sent to the started instance, {} of them ran late", sent.len(), late.len());
    if !late.is_empty() {
        return Ok(Verdict::Broken(format!("CONFIG: {} requests ran with a key that was taken away", late.len())));
    }
    if kept != 200 || sent.len() < 20 {
        return Err(io::Error::other(format!("the instance has not served: {kept}, {} sent", sent.len())));
    }
    Ok(Verdict::Held)
}
