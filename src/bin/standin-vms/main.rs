//! Entry point of `standin-vms`.

fn main() {}
