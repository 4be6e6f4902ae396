//! The daemon as a relay on a platform that keeps its state.
//!
//! One thread runs everything: an instance has a fraction of a core, and a
//! second thread would only add switches. Log lines go to standard output
//! through a bounded queue that drops rather than waits; what it dropped is
//! counted and told at the next look.

pub mod listener;
mod query;
pub mod turns;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use listener::{Instance, Listener};
use relay::dispatcher::Dispatcher;
use settings::Relay;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Log lines that wait for standard output; at a hundred a second, what a
/// stalled reader misses within half a minute.
const LINES: usize = 4_096;

/// Pause between looks at dropped log lines.
const LOOK: Duration = Duration::from_secs(5);

/// Exit status for settings that are not valid.
const EXIT_USAGE: u8 = 2;

/// Runs until a signal, then leaves in order.
#[must_use]
pub fn run(path: Option<PathBuf>) -> ExitCode {
    let Some(path) = path.or_else(platform::settings_file) else {
        eprintln!("no settings; give a file with --settings");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Relay::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let (_guard, dropped) = log(&settings.log);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}; raise the process's limits");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(settings, path, dropped))
}

fn log(filter: &str) -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter).with_writer(writer).init();
    (guard, dropped)
}

async fn serve(settings: Relay, path: PathBuf, dropped: ErrorCounter) -> ExitCode {
    let reload = watch(SignalKind::hangup());
    let explained = Instance::default();
    tokio::spawn(serve_operators(settings.metrics, settings.operator_connections, explained.clone()));
    tokio::spawn(count_dropped(dropped));
    let source = Arc::new(platform::Objects::open(settings.store));
    let instance = settings.relay.instance.clone();
    let relay = match relay::spawn(settings.relay, platform::dialect(), source).await {
        Ok(relay) => relay,
        Err(error) => {
            tracing::error!(%error, "not started");
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    explained.set(relay.dispatcher());
    tracing::info!(instance, version = env!("CARGO_PKG_VERSION"), "started");
    tokio::spawn(read_settings_again(reload, path, Arc::clone(relay.dispatcher())));
    until_terminated().await;
    relay.shutdown().await;
    tracing::info!(instance, "stopped");
    ExitCode::SUCCESS
}

fn watch(kind: SignalKind) -> Signal {
    signal(kind).expect("signals can be watched")
}

async fn until_terminated() {
    let (mut terminate, mut interrupt) = (watch(SignalKind::terminate()), watch(SignalKind::interrupt()));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads and checks the settings at each signal that they have changed, also while the process leaves. Limits on
/// connections and the grace period are put in force; the others hold from the next start.
async fn read_settings_again(mut changed: Signal, path: PathBuf, dispatcher: Arc<Dispatcher>) {
    while changed.recv().await.is_some() {
        match Relay::load(&path) {
            Ok(settings) => {
                dispatcher.reload(&settings.relay);
                tracing::info!(
                    instance = settings.relay.instance,
                    grace_ms = settings.relay.grace.as_millis(),
                    "settings read again"
                );
            }
            Err(error) => tracing::warn!(%error, "settings are not valid; the earlier ones stay"),
        }
    }
}

async fn count_dropped(dropped: ErrorCounter) {
    let mut told = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        let now = dropped.dropped_lines();
        if now > told {
            tracing::warn!(lines = now - told, "log lines dropped");
            metrics::counter!("relay_log_lines_dropped_total").absolute(u64::try_from(now).unwrap_or(u64::MAX));
            told = now;
        }
    }
}

async fn serve_operators(address: SocketAddr, max_connections: usize, instance: Instance) {
    match Listener::bind(address, max_connections).await {
        Ok(listener) => listener.serve(instance).await,
        Err(error) => {
            tracing::warn!(%address, %error, "metrics are not served; free the address or change `metrics`");
        }
    }
}
