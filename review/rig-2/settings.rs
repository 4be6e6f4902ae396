//! Case "settings": the platform changes a bound to a fraction, and restarts the instances one after the
//! other.

use std::{
    fs::{self, File},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    instance::{Addresses, Instance, fields},
    server::Server,
    store::Store,
};

const INSTANCES: usize = 2;

/// The bound `grace-s` before and after the change.
const GRACE_BEFORE: &str = "8";
const GRACE_AFTER: &str = "7.5";

/// How often the platform starts a process again that has ended by itself, and how long after its end.
const RESTARTS: usize = 3;
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut record = File::create(folder.join("record.txt")).map_err(failed)?;
    let began = Instant::now();
    let mut write = move |line: String| -> Result<(), String> {
        writeln!(record, "{} ms: {line}", began.elapsed().as_millis()).map_err(failed)
    };
    let store = Store::open().map_err(failed)?;
    let server = Server::open("i-1", Duration::from_millis(40)).map_err(failed)?;
    store.put("servers", &server.id, &server.entry("book"));
    store.put("config", "main", MANIFEST);
    let scratch = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let folder = scratch.join(number.to_string());
        fs::create_dir_all(&folder).map_err(failed)?;
        let addresses = Addresses::free().map_err(failed)?;
        let before = fields(addresses, store.address, GRACE_BEFORE);
        let instance = Instance::start_with(&folder, addresses, &before).map_err(failed)?;
        instance.wait_until_ready(Duration::from_secs(10))?;
        instances.push((folder, addresses, instance));
    }
    thread::sleep(Duration::from_secs(2));
    for (number, (_, addresses, _)) in instances.iter().enumerate() {
        let served = served_of_ten(addresses.front, "before");
        write(format!("instance {number}: {served} of 10 requests served"))?;
        if served < 10 {
            return Err("requests are not served before the change".into());
        }
    }

    let grace_s = if has_trouble { GRACE_AFTER } else { GRACE_BEFORE };
    let mut has_held = true;
    for (number, (folder, addresses, instance)) in instances.into_iter().enumerate() {
        let after = fields(addresses, store.address, grace_s);
        write(format!("instance {number}: settings written with grace-s = {grace_s}, SIGHUP"))?;
        instance.reload(&after).map_err(failed)?;
        thread::sleep(Duration::from_millis(300));
        write(format!("instance {number}: SIGTERM"))?;
        instance.stop(Duration::from_secs(8)).map_err(failed)?;
        let mut ends = 0;
        let mut running = None;
        while running.is_none() && ends < RESTARTS {
            thread::sleep(RESTART_DELAY);
            write(format!("instance {number}: started"))?;
            let mut instance = Instance::start_with(&folder, addresses, &after).map_err(failed)?;
            match instance.wait_until_ready_or_ended(Duration::from_secs(10))? {
                Some(status) => {
                    ends += 1;
                    write(format!("instance {number}: ended by itself, {status}: {}", complaint(&folder)))?;
                }
                None => running = Some(instance),
            }
        }
        let served = served_of_ten(addresses.front, "after");
        write(format!("instance {number}: {served} of 10 requests served, ended by itself {ends} times"))?;
        has_held &= ends < RESTARTS && served > 0;
    }
    fs::remove_dir_all(&scratch).ok();
    Ok(has_held)
}

/// Returns what the process has printed beside its log lines.
fn complaint(folder: &Path) -> String {
    let log = fs::read_to_string(folder.join("relay.log")).unwrap_or_default();
    let lines = log.lines().rev().take_while(|line| !line.starts_with('{')).map(str::trim);
    let mut lines: Vec<&str> = lines.filter(|line| !line.is_empty()).take(8).collect();
    lines.reverse();
    lines.join(" / ")
}

/// The operator's manifest, with one route.
const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"fetch","host":"club.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"book","attempts":2,"public":false}],"services":[{"name":"book","health-path":"/healthz","max-conns":400,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"club","api-keys":["k2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

fn served_of_ten(front: SocketAddr, phase: &str) -> usize {
    (0..10).filter(|number| ask(front, &format!("{phase}-{}-{number}", front.port())) == Some(200)).count()
}

fn ask(front: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let request = format!(
        "GET /fetch/x HTTP/1.1\r\nHost: club.example\r\nArbutuslug-Request-Id: {id}\r\nArbutuslug-Deadline-Ms: 4000\r\nArbutuslug-Key: k2ctnfzs989anu6wsjnb\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()??.second_word().parse().ok()
}
