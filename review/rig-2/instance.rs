//! An instance: the program of the deploy file as a process of its own.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::Path,
    process::{Child, Command},
    time::{Duration, Instant},
};

pub struct Instance {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Instance {
    /// Starts an instance with settings like those that `deploy/relay.yaml` gives for a small deployment.
    pub fn start(folder: &Path, store: SocketAddr) -> io::Result<Self> {
        let [front, ready, directory, news, metrics] = free_addresses()?;
        let settings = format!(
            r#"instance: "front-z1-1"
domain: "z1"
listeners:
  front: "{front}"
  ready: "{ready}"
  directory: "{directory}"
  news: "{news}"
seeds: ["{news}"]
store: "{store}"
metrics: "{metrics}"
log: info
revoke_ms: 5000
replace_ms: 2000
retries:
  ratio: 0.9
  reserve: 54
  window_ms: 10000
exposure_share: 0.15
session_s: 5
grace_ms: 8000
keep_addresses_ms: 5000
cores: 0.25
memory_mib: 260
descriptors: 4200
policies:
  capacity: learned
  answer_length: expected
"#
        );
        let file = folder.join("relay.yaml");
        fs::write(&file, settings)?;
        let log = File::create(folder.join("relay.log"))?;
        let child = Command::new("target/release/arbutuslugd")
            .arg("relay")
            .env("ARBUTUSLUG_NODE_FILE", &file)
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self { front, ready, child })
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the instance did not become ready".into())
    }

    fn is_ready(&self) -> io::Result<bool> {
        use std::io::{Read, Write};
        let mut stream = TcpStream::connect(self.ready)?;
        stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns loopback addresses whose ports are free for TCP and UDP.
fn free_addresses() -> io::Result<[SocketAddr; 5]> {
    let mut held = Vec::new();
    while held.len() < 5 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if let Ok(socket) = UdpSocket::bind(address) {
            held.push((address, listener, socket));
        }
    }
    let addresses: Vec<SocketAddr> = held.iter().map(|(address, ..)| *address).collect();
    Ok([addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]])
}
