//! Gateway daemon.

fn main() {}
