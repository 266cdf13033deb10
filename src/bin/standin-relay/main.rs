//! Entry point of `standin-relay`.

fn main() {}
