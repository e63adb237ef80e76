//! Complete agents: over sockets in real time, and without peers in paused time.

mod common;
mod config_model;
mod fleet;
