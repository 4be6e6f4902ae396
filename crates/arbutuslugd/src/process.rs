//! A daemon on a thread and a runtime of its own.
//!
//! One test process can hold many of these and take one away as a crash
//! would: [`Process::kill`] ends the runtime between two polls, with no
//! shutdown path run, sockets closed by the drop of their tasks;
//! [`Process::freeze`] holds its only thread, so that clocks go on while
//! nothing of the daemon runs, as in a long pause of the machine.

use std::{
    net::SocketAddr,
    sync::mpsc,
    thread::{self, JoinHandle},
    time::Duration,
};

use settings::Settings;
use tokio::{runtime, sync::oneshot};

use crate::{Daemon, daemon::Error};

/// How a process is to end.
#[derive(Debug)]
enum End {
    /// Leaves in order.
    Shutdown,
    /// Is dropped where it stands.
    Kill,
}

/// A running daemon; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    addresses: Addresses,
    end: Option<oneshot::Sender<End>>,
    thread: Option<JoinHandle<()>>,
    runtime: runtime::Handle,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Links from other instances.
    pub peers: SocketAddr,
    /// Operators' service.
    pub operators: SocketAddr,
}

impl Process {
    /// Starts a daemon and waits until it listens.
    ///
    /// Blocks its thread; call it through `spawn_blocking` from a task.
    ///
    /// # Errors
    ///
    /// [`Error`] when the daemon could not start.
    ///
    /// # Panics
    ///
    /// When the machine gives no thread or no runtime.
    pub fn spawn(settings: Settings) -> Result<Self, Error> {
        let (started, start) = mpsc::channel();
        let (end, ended) = oneshot::channel();
        let name = settings.instance.to_string();
        let thread = thread::Builder::new()
            .name(name)
            .spawn(move || run(settings, &started, ended))
            .expect("the machine gives a thread");
        let (addresses, runtime) = start.recv().expect("the thread says how it started")?;
        Ok(Self { addresses, end: Some(end), thread: Some(thread), runtime })
    }

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Ends it as a crash would. Blocks until its sockets are closed.
    pub fn kill(mut self) {
        self.finish(End::Kill);
    }

    /// Has it leave in order, as a signal would. Blocks until it has left.
    pub fn shutdown(mut self) {
        self.finish(End::Shutdown);
    }

    /// Holds everything of it still for `span`, from its next poll on.
    pub fn freeze(&self, span: Duration) {
        // The runtime has this one thread: blocking it in a poll is the pause.
        drop(self.runtime.spawn(async move { thread::sleep(span) }));
    }

    fn finish(&mut self, how: End) {
        if let Some(end) = self.end.take() {
            drop(end.send(how));
        }
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.finish(End::Kill);
    }
}

type Started = Result<(Addresses, runtime::Handle), Error>;

fn run(settings: Settings, started: &mpsc::Sender<Started>, ended: oneshot::Receiver<End>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("the machine gives a runtime");
    let outcome = runtime.block_on(async {
        let daemon = Daemon::spawn(settings).await?;
        let addresses = Addresses { callers: daemon.callers(), peers: daemon.peers(), operators: daemon.operators() };
        drop(started.send(Ok((addresses, runtime.handle().clone()))));
        tokio::select! {
            end = ended => {
                if matches!(end, Ok(End::Shutdown)) {
                    daemon.shutdown().await;
                }
            }
            () = daemon.drained() => daemon.shutdown().await,
        }
        Ok(())
    });
    if let Err(error) = outcome {
        drop(started.send(Err(error)));
    }
    // Every task is dropped here where it stands; that is the crash.
    runtime.shutdown_background();
}
