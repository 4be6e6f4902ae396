//! Callers' HTTP and one request's life.
