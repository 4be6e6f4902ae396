//! Measurement "growth", no case: the memory of an instance under steady requests. With `SCRAPE=1` its
//! metrics are read every 5 s.

use std::{
    env, fs,
    io::{BufReader, Read, Write},
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

const CONSUMERS: usize = 8;
const LENGTH: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_secs(5);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"fetch","host":"club.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"book","attempts":2,"public":true}],"services":[{"name":"book","health-path":"/healthz","max-conns":400,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

pub fn play(folder: &Path) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::open().map_err(failed)?;
    let server = Server::open("i-1", Duration::from_millis(1)).map_err(failed)?;
    store.put("servers", &server.id, &server.entry("book"));
    store.put("config", "main", MANIFEST);
    let addresses = Addresses::free().map_err(failed)?;
    let instance =
        Instance::start_with(folder, addresses, &fields(addresses, store.address, "8")).map_err(failed)?;
    instance.wait_until_ready(Duration::from_secs(10))?;
    let began = Instant::now();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| thread::spawn(move || ask_often(addresses.front, number, began).unwrap_or_default()))
        .collect();
    while began.elapsed() < LENGTH {
        thread::sleep(LOOK);
        if env::var("SCRAPE").is_ok() {
            read_metrics(addresses.metrics).map_err(failed)?;
        }
        println!("{} s: {}", began.elapsed().as_secs(), instance.memory());
    }
    let served: u64 = consumers.into_iter().filter_map(|consumer| consumer.join().ok()).sum();
    println!("{served} requests served");
    Ok(true)
}

/// Sends one request after the other and returns how many were served.
fn ask_often(front: SocketAddr, number: usize, began: Instant) -> std::io::Result<u64> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut served = 0;
    while began.elapsed() < LENGTH {
        let request = format!(
            "GET /fetch/x HTTP/1.1\r\nHost: club.example\r\nArbutuslug-Request-Id: g-{number}-{served}\r\nArbutuslug-Deadline-Ms: 2000\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        if http::read(&mut reader)?.is_some_and(|answer| answer.second_word() == "200") {
            served += 1;
        }
    }
    Ok(served)
}

fn read_metrics(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")?;
    stream.read_to_end(&mut Vec::new()).map(drop)
}

impl Instance {
    /// Returns the resident memory of the process.
    fn memory(&self) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default().to_owned()
    }
}
