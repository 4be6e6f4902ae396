//! Sends observations of endpoints' paces.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::{
    encode, send,
    wire::{PaceReport, Packet},
};
use crate::dispatcher::{Dispatcher, fleet::short_hash};

/// Maximum number of endpoints whose paces are sent with a news message, so that they fit into
/// a datagram that is not fragmented. Of more, others are drawn at random each time.
pub(super) const MAX_PACES: usize = 60;

/// One in this many messages is followed by paces while all endpoints count as alike. That is often
/// enough to notice that they differ, and costs little where they never do.
const ALIKE_RATIO: u32 = 3;

/// Sends this instance's observations of endpoints' paces, if it learns capacity. Other failure
/// domains receive them too: an endpoint gets most requests from its own domain, and whether it is
/// slow shows only in comparison with those of other domains.
pub(super) fn send_paces(dispatcher: &Dispatcher, socket: &UdpSocket, recipients: &[SocketAddr]) {
    if !dispatcher.are_paces_in_effect() && !rand::random_ratio(1, ALIKE_RATIO) {
        return;
    }
    let paces: Vec<PaceReport> = dispatcher.own_paces(MAX_PACES).into_iter().map(PaceReport::from).collect();
    if paces.is_empty() {
        return;
    }
    let bytes = encode(&Packet::Paces(short_hash(&dispatcher.settings.instance), paces));
    for receiver in recipients {
        send(socket, *receiver, &bytes);
    }
}
