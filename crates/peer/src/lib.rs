//! Links between instances: membership, news, calls.
