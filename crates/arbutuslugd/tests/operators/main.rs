//! The operators' listener and the tool, over real sockets and a fake platform.

mod access;
mod changes;
mod requests;
mod site;
