//! Copies of an instance's state, on which decisions can be made without an effect.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::{Notify, watch};

use super::Dispatcher;
use crate::{connections::Connections, log_limit::LogLimit, memory::Account};

impl Dispatcher {
    /// Returns a copy of the state at this moment. No task serves it, hears of changes from it or
    /// sends what it queues, and nothing that happens to it changes this instance.
    #[must_use]
    pub fn scratch(&self) -> Arc<Self> {
        let state = self.lock().clone();
        let account = Arc::new(Account::new(self.settings.memory_bounds()));
        Arc::new(Self {
            settings: self.settings.clone(),
            dialect: self.dialect.clone(),
            connections: Connections::new(Arc::clone(&account), &self.settings.connections),
            account,
            uploads: Arc::default(),
            max_body_pause_ms: AtomicU64::default(),
            grace_ms: AtomicU64::new(self.grace_ms.load(Ordering::Relaxed)),
            refusal_log: LogLimit::default(),
            stalled_callers: Arc::default(),
            eviction: tokio::sync::Mutex::default(),
            gate: self.gate.as_ref().map(|gate| gate.scratch()),
            created_at: self.created_at,
            startup_progressed: Notify::new(),
            urgent_news: Notify::new(),
            stage_decided: Notify::new(),
            notices_ready: Notify::new(),
            findings_ready: Notify::new(),
            quarantine_changes_ready: Notify::new(),
            limits_ready: Notify::new(),
            withdrawals_ready: Notify::new(),
            peers_to_greet: Notify::new(),
            endpoint_removed: Notify::new(),
            probe_wanted: Notify::new(),
            catalog_wanted: Notify::new(),
            endpoints_wanted: Notify::new(),
            catalog_progress: Arc::default(),
            era: watch::Sender::new(*self.era.borrow()),
            serving_ended: self.serving_ended.child_token(),
            state: Mutex::new(state),
        })
    }
}
