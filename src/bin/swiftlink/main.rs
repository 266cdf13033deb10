//! Entry point of `swiftlink`.

fn main() {}
