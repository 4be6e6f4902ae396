//! The operators' service: wire types and client.
