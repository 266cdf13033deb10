//! Entry point of `swiftlink-operator`.

fn main() {}
