//! An instance: the program of the deploy file as a process of its own.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command},
    time::{Duration, Instant},
};

use crate::template::{self, Fields, Value};

pub struct Instance {
    pub front: SocketAddr,
    ready: SocketAddr,
    file: PathBuf,
    child: Child,
}

impl Instance {
    /// Starts an instance with the deploy file's template, filled in with the fields of a small deployment.
    pub fn start(folder: &Path, store: SocketAddr) -> io::Result<Self> {
        let addresses = Addresses::free()?;
        Self::start_with(folder, addresses, &fields(addresses, store, "8"))
    }

    /// Starts an instance with given fields of the platform's settings file.
    pub fn start_with(folder: &Path, addresses: Addresses, fields: &Fields) -> io::Result<Self> {
        let file = folder.join("relay.yaml");
        write_settings(&file, fields)?;
        let log = File::options().create(true).append(true).open(folder.join("relay.log"))?;
        let child = Command::new("target/release/arbutuslugd")
            .arg("relay")
            .env("ARBUTUSLUG_NODE_FILE", &file)
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self { front: addresses.front, ready: addresses.ready, file, child })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Changes the settings file and sends SIGHUP.
    pub fn reload(&self, fields: &Fields) -> io::Result<()> {
        write_settings(&self.file, fields)?;
        self.signal("HUP")
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after `grace`.
    pub fn stop(mut self, grace: Duration) -> io::Result<()> {
        self.signal("TERM")?;
        let end = Instant::now() + grace;
        while Instant::now() < end && self.exit_status()?.is_none() {
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Returns how the process has ended, if it has.
    pub fn exit_status(&mut self) -> io::Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().map(drop)
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

    /// Waits until the instance says that it is ready, or has ended, and returns how it has ended.
    pub fn wait_until_ready_or_ended(&mut self, limit: Duration) -> Result<Option<String>, String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.exit_status().map_err(|error| error.to_string())? {
                return Ok(Some(status));
            }
            if self.is_ready().unwrap_or(false) {
                return Ok(None);
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

/// Addresses of an instance, all on loopback.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    control: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    /// Returns addresses whose ports are free for TCP and UDP.
    pub fn free() -> io::Result<Self> {
        let mut held = Vec::new();
        while held.len() < 5 {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            if let Ok(socket) = UdpSocket::bind(address) {
                held.push((address, listener, socket));
            }
        }
        let [front, ready, directory, control, metrics] = [0, 1, 2, 3, 4].map(|index: usize| held[index].0);
        Ok(Self { front, ready, directory, control, metrics })
    }
}

/// Returns the fields of the platform's settings file that the template names: those of the glider
/// fleet's sheet, but for the addresses. `grace_s` is written as given.
pub fn fields(addresses: Addresses, store: SocketAddr, grace_s: &str) -> Fields {
    let text = |value: SocketAddr| Value::Text(value.to_string());
    let plain = |value: &str| Value::Plain(value.to_owned());
    let fields = [
        ("node", Value::Text(format!("front-z1-{}", addresses.front.port()))),
        ("zone", Value::Text("z1".into())),
        ("listen.front", text(addresses.front)),
        ("listen.ready", text(addresses.ready)),
        ("listen.directory", text(addresses.directory)),
        ("listen.control", text(addresses.control)),
        ("seeds", Value::List(vec![text(addresses.control)])),
        ("platform.addr", text(store)),
        ("ip", Value::Text("127.0.0.1".into())),
        ("bounds.strict-revoke", plain("true")),
        ("bounds.revoke-ms", plain("5000")),
        ("bounds.config-ms", plain("2000")),
        ("bounds.budget-ratio", plain("0.9")),
        ("bounds.budget-extra", plain("54")),
        ("bounds.budget-window-s", plain("10")),
        ("bounds.expose-share", plain("0.15")),
        ("bounds.session-s", plain("5")),
        ("bounds.grace-s", plain(grace_s)),
        ("bounds.ttl_max_s", plain("5")),
        ("limits.cpu-share", plain("0.25")),
        ("limits.memory-mb", plain("260")),
        ("limits.max-fds", plain("4200")),
        ("metrics", text(addresses.metrics)),
    ];
    fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Writes the filled-in template. Its metrics port is fixed; here it is a free one.
fn write_settings(file: &Path, fields: &Fields) -> io::Result<()> {
    let template = fs::read_to_string("deploy/relay.yaml")?.replace("\"{{ip}}:9464\"", "{{metrics|json}}");
    fs::write(file, template::fill(&template, fields, None))
}
