//! The tool against a scripted instance.

mod fake;
mod follow;
mod lost;
mod render;
mod usage;
