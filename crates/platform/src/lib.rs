//! The edge to the platform's object API.
