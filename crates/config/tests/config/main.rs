//! Configuration over a fake platform and in-process peer links.

mod apply;
mod freshness;
mod site;
