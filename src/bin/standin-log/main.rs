//! Entry point of `standin-log`.

fn main() {}
