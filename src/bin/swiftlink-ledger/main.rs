//! Entry point of `swiftlink-ledger`.

fn main() {}
