//! Entry point of `swiftlink-router`.

fn main() {}
