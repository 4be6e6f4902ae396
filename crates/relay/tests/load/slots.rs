//! An endpoint with a few slots and a short queue.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use relay::source::Endpoint;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::sleep,
};

use crate::site::endpoint;

/// Number of runs at a time.
pub const SLOTS: u32 = 4;

/// Number of requests that wait for a slot; others are rejected.
const QUEUE: usize = 8;

/// Time that a run takes.
pub const RUN_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Load {
    running: u32,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Time that all slots together were busy for, and when that was last added up.
    busy: Duration,
    updated_at: Option<Instant>,
    rejections: usize,
    max_waiting: usize,
}

impl Load {
    fn update(&mut self) {
        let now = Instant::now();
        if let Some(before) = self.updated_at.replace(now) {
            self.busy += (now - before) * self.running;
        }
    }

    fn finish(&mut self) {
        self.update();
        self.running -= 1;
        while let Some(next) = self.waiting.pop_front() {
            if next.send(()).is_ok() {
                self.running += 1;
                return;
            }
        }
    }
}

/// A running endpoint.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    load: Arc<Mutex<Load>>,
}

impl Server {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let load = Arc::new(Mutex::new(Load::default()));
        let shared = Arc::clone(&load);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, load }
    }

    /// Returns the endpoint's registration.
    pub fn registration(&self, id: &str) -> Endpoint {
        Endpoint { slots: SLOTS, ..endpoint(id, self.address) }
    }

    /// Returns the time that all slots together were busy for so far.
    pub fn busy(&self) -> Duration {
        let mut load = self.load.lock().unwrap();
        load.update();
        load.busy
    }

    /// Returns the number of requests rejected so far.
    pub fn rejections(&self) -> usize {
        self.load.lock().unwrap().rejections
    }
}

/// A slot in use; dropping it lets the next request run.
struct Slot(Arc<Mutex<Load>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().unwrap().finish();
    }
}

/// Waits for a slot; `None` if the queue is full.
async fn take_slot(load: &Arc<Mutex<Load>>) -> Option<Slot> {
    let turn = {
        let mut state = load.lock().unwrap();
        state.update();
        if state.running < SLOTS {
            state.running += 1;
            return Some(Slot(Arc::clone(load)));
        }
        state.waiting.retain(|waiting| !waiting.is_closed());
        if state.waiting.len() >= QUEUE {
            state.rejections += 1;
            return None;
        }
        let (sender, turn) = oneshot::channel();
        state.waiting.push_back(sender);
        state.max_waiting = state.max_waiting.max(state.waiting.len());
        turn
    };
    turn.await.ok().map(|()| Slot(Arc::clone(load)))
}

async fn serve(mut stream: TcpStream, load: Arc<Mutex<Load>>) {
    let Some(id) = read_id(&mut stream).await else { return };
    let mut rest = [0; 16];
    let run = async {
        let slot = take_slot(&load).await?;
        sleep(RUN_TIME).await;
        drop(slot);
        Some(())
    };
    let ran = tokio::select! {
        ran = run => ran,
        () = async { while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {} } => return,
    };
    let head = if ran.is_some() { "200 OK" } else { "429 Full\r\nx-not-run: full" };
    let response = format!("HTTP/1.1 {head}\r\nx-request: {id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok");
    stream.write_all(response.as_bytes()).await.ok();
}

/// Reads a request's head and returns its id.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    Some(head.lines().find_map(|line| line.strip_prefix("x-request: "))?.trim().to_owned())
}
