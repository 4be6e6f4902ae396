//! Makes room for the body of a request by giving up what is worth least.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use super::Dispatcher;
use crate::{uploads, write_timeout};

/// Interval, and number of times, in which memory is looked for after something was given up. Its task
/// releases the memory when it runs next.
const RELEASE_INTERVAL: Duration = Duration::from_millis(2);
const MAX_RELEASE_CHECKS: u32 = 25;

/// What is given up for a request.
enum Victim {
    /// A body that has not arrived whole. Its request has not run and is refused.
    Upload(Arc<uploads::End>),
    /// A response whose caller takes nothing.
    Response(Arc<write_timeout::Connection>),
}

impl Victim {
    /// Whether its memory is still to be released.
    fn is_ending(&self) -> bool {
        match self {
            Self::Upload(end) => !end.is_gone(),
            Self::Response(connection) => connection.is_unwanted(),
        }
    }
}

impl Dispatcher {
    /// Gives up unfinished bodies and unread responses until `has_room` and returns true, or returns
    /// false if there are none left that may be, or after `limit`.
    ///
    /// Other requests that need memory meanwhile wait for their turn, as the memory of one may do for
    /// all.
    pub(crate) async fn make_room(&self, is_short: bool, limit: Duration, mut has_room: impl FnMut() -> bool) -> bool {
        let making_room = async {
            let _turn = self.eviction.lock().await;
            while !has_room() {
                let Some(victim) = self.give_up(is_short) else { return false };
                for _ in 0..MAX_RELEASE_CHECKS {
                    if has_room() {
                        return true;
                    }
                    if !victim.is_ending() {
                        break;
                    }
                    sleep(RELEASE_INTERVAL).await;
                }
            }
            true
        };
        timeout(limit, making_room).await.unwrap_or(false)
    }

    /// Gives up what has stood still for longest: a body first, since its caller may send the request
    /// again. A short body may also displace a long one that goes on.
    fn give_up(&self, is_short: bool) -> Option<Victim> {
        let slow = self.uploads.give_up_slowest().map(Victim::Upload);
        let unread = || self.stalled_callers.disconnect_longest().map(Victim::Response);
        let large = || is_short.then(|| self.uploads.give_up_largest()).flatten().map(Victim::Upload);
        slow.or_else(unread).or_else(large)
    }
}
