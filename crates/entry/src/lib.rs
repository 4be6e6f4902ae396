//! Callers' HTTP and one request's life.

pub mod ask;
pub mod clock;
pub mod desk;
pub mod life;
pub mod problem;
pub mod session;
pub mod tape;
