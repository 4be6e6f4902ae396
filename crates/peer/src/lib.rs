//! Links between instances: membership, news, calls.

#[expect(clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
mod generated;
