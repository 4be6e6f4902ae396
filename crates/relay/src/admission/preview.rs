//! What admission control would decide on a request.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use route::admission::Position;

use super::{Decision, Entry, Gate, Refused, Service, Supply};
use crate::{clock, dispatcher::fleet::short_hash};

/// A decision on a request that is not made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Preview {
    /// It passes at once, with a priority for engines if that is not its rank.
    Pass { priority: Option<u8> },
    /// It waits.
    Wait {
        /// Place in the order in which those that wait now would be sent.
        position: Option<Position>,
        /// Number of requests that wait, this one included.
        waiting: usize,
        /// Expected time in the queue.
        wait: Duration,
        /// Priority for engines as of now, if that is not its rank.
        priority: Option<u8>,
    },
    /// It is refused.
    Refuse(Refused),
}

impl Gate {
    /// Returns a copy with the same knowledge and queues. Nobody waits in those of the copy.
    pub(crate) fn scratch(&self) -> Arc<Self> {
        Arc::new(Self {
            started: self.started,
            instances: AtomicUsize::new(self.instances.load(Ordering::Relaxed)),
            services: Mutex::new(self.lock().clone()),
        })
    }

    /// Returns the decision on a request, as [`Gate::enter`] makes it. It counts in this gate, so this
    /// is called for a copy.
    pub(crate) fn preview(&self, entry: &Entry<'_>, supply: impl FnOnce() -> Supply) -> Preview {
        match self.decide(entry, supply) {
            Decision::Pass(pass) => Preview::Pass { priority: pass.priority },
            Decision::Refuse(refused) => Preview::Refuse(refused),
            Decision::Wait { key, .. } => {
                let services = self.lock();
                let service = services.get(&short_hash(entry.service));
                let (position, wait) =
                    service.map_or_else(Default::default, |service| service.place(key, clock::now()));
                let priority = service.and_then(|service| service.priority_of(key));
                Preview::Wait { position, waiting: service.map_or(0, Service::waiting), wait, priority }
            }
        }
    }
}
