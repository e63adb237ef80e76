//! Under construction.

fn main() {}
