//! Selects the instances whose addresses a caller receives.

use std::net::{IpAddr, SocketAddr};

use route::relay::fronts;
use world::hash;

use super::Peer;
use crate::{clock, dispatcher::Dispatcher};

/// Maximum number of addresses in an answer to a caller.
const MAX_ADDRESSES: usize = 64;

/// A caller that asks for the addresses of instances.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    /// Its failure domain, if it states one.
    pub domain: Option<String>,
    /// IP address from which it asks.
    pub from: Option<IpAddr>,
}

impl Caller {
    /// Returns the caller's domain and hash, by which [`fronts::choose`] selects for it.
    fn to_hashed(&self) -> fronts::Caller<'_> {
        let domain = self.domain.as_deref();
        let from = self.from.map(|from| from.to_string()).unwrap_or_default();
        let key = hash::stable(domain.unwrap_or_default().as_bytes());
        fronts::Caller { domain, hash: hash::rendezvous(key, from.as_bytes()) }
    }
}

/// An instance whose address callers may receive.
struct Front<'a> {
    address: SocketAddr,
    is_fresh: bool,
    is_in_touch: bool,
    reaches_services: bool,
    candidate: fronts::Candidate<'a>,
}

impl<'a> Front<'a> {
    /// Returns `None` if the instance has not reported an address for callers.
    fn of(peer: &'a Peer) -> Option<Self> {
        let candidate =
            fronts::Candidate { hash: peer.hash, domain: &peer.status.domain, cores: peer.status.cores.get() };
        Some(Self {
            address: peer.status.front?,
            is_fresh: peer.status.fresh,
            is_in_touch: peer.status.in_touch,
            reaches_services: peer.status.unreachable.is_empty(),
            candidate,
        })
    }
}

impl Dispatcher {
    /// Returns the addresses that a caller may use: those of ready instances, this one
    /// included, restricted to instances with fresh access keys if there are any. If there
    /// are too many, [`fronts::choose`] selects among them for the caller.
    #[must_use]
    pub fn caller_addresses(&self, caller: &Caller) -> Vec<SocketAddr> {
        let now = clock::now();
        let (me_ready, me_fresh, me_in_touch) = (self.is_ready(), self.is_fresh(), self.is_in_touch_with_store());
        let state = self.lock();
        let mut all: Vec<Front<'_>> = state
            .peers
            .known
            .values()
            .filter(|peer| peer.is_live(now) && peer.status.is_ready())
            .filter_map(Front::of)
            .collect();
        if me_ready {
            let me = fronts::Candidate {
                hash: hash::stable(self.settings.instance.as_bytes()),
                domain: &self.settings.domain,
                cores: self.settings.cores.get(),
            };
            all.push(Front {
                address: self.settings.listeners.front,
                is_fresh: me_fresh,
                is_in_touch: me_in_touch,
                reaches_services: state.fleet.reaches_services(now),
                candidate: me,
            });
        }
        if all.iter().any(|front| front.is_fresh) {
            all.retain(|front| front.is_fresh);
        }
        // An instance that has lost the store depends on the proofs of others, and is the
        // first to refuse access keys when they fail. If most instances are in that state,
        // they are listed too, since the others could not serve all callers.
        let in_touch = all.iter().filter(|front| front.is_in_touch).count();
        if in_touch * 2 >= all.len() {
            all.retain(|front| front.is_in_touch);
        }
        // An instance that reaches no endpoint of a service forwards its requests to others,
        // which takes longer. If most do, the rest may not have room for the connections of all
        // callers.
        let reaching = all.iter().filter(|front| front.reaches_services).count();
        if reaching * 2 >= all.len() {
            all.retain(|front| front.reaches_services);
        }
        let candidates: Vec<fronts::Candidate<'_>> = all.iter().map(|front| front.candidate).collect();
        let chosen = fronts::choose(&candidates, caller.to_hashed(), MAX_ADDRESSES);
        let mut addresses: Vec<SocketAddr> = chosen.into_iter().map(|index| all[index].address).collect();
        addresses.sort_unstable();
        addresses
    }
}
