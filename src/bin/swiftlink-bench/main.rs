//! Entry point of `swiftlink-bench`.

fn main() {}
