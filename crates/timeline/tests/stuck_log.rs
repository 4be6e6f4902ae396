//! A log whose reader has stopped reading.
//!
//! A test program of its own: whether a log line's place in the code is on is
//! remembered for the whole process. A test in another thread that records
//! without a subscriber, just while this one sets its subscriber up, leaves it
//! remembered as off; then no line is written and the writer is never reached.

use std::{
    io::Write,
    sync::{Mutex, mpsc},
    time::Duration,
};

use timeline::{Capacity, Event, Recorder, Source};
use world::instance;

fn configured(generation: u64) -> Event {
    Event::Configuration { generation }
}

/// A log's reader that takes nothing until it is let go.
struct Stuck {
    reached: mpsc::Sender<()>,
    release: mpsc::Receiver<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Both ends outlive the write; a closed one only ends the wait.
        let _ = self.reached.send(());
        let _ = self.release.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log lines stops reading while one event is written out.
/// Other requests record on; they would all stand still if the line were
/// written under the recorder's lock.
#[test]
fn stuck_log_holds_up_no_other_record() {
    let source = Source { instance: instance::Id::parse("tartu-a-1").unwrap(), incarnation: instance::Incarnation(1) };
    let recorder = Recorder::open(source, Capacity { requests: 10, others: 10 });
    let (reached, at_writer) = mpsc::channel();
    let (let_go, release) = mpsc::channel();
    let writer = Mutex::new(Stuck { reached, release });
    let log = tracing_subscriber::fmt().json().with_writer(writer).finish();
    let logging = recorder.clone();
    let stuck = std::thread::spawn(move || {
        tracing::subscriber::with_default(log, || logging.record(configured(1)));
    });
    at_writer.recv().unwrap();

    let (done, outcome) = mpsc::channel();
    let other = recorder.clone();
    std::thread::spawn(move || done.send(other.record(configured(2))));
    let outcome = outcome.recv_timeout(Duration::from_mins(1));
    let_go.send(()).unwrap();
    stuck.join().unwrap();
    assert!(outcome.is_ok(), "the second record waits for the first one's log line");
}
