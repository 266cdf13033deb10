//! Generates the Rust types of `crates/wire/proto` into `crates/wire/src/generated`.
//!
//! Run from the repository's root: `cargo run --manifest-path tools/codegen/Cargo.toml`.
//! With `--check` it writes nothing and exits with code 1 if the committed files are
//! out of date.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_DIR: &str = "crates/wire/src/generated";
const PROTOS: [&str; 3] = ["log.proto", "link.proto", "rights.proto"];
const OUTPUTS: [&str; 3] = [
    "swiftlink.log.rs",
    "swiftlink.link.rs",
    "swiftlink.rights.rs",
];

fn main() -> Result<()> {
    let check = std::env::args().any(|arg| arg == "--check");
    let fresh = std::env::temp_dir().join(format!("swiftlink-codegen-{}", std::process::id()));
    fs::create_dir_all(&fresh)?;
    generate(&fresh)?;
    let result = if check { compare(&fresh) } else { install(&fresh) };
    fs::remove_dir_all(&fresh)?;
    result
}

fn generate(out: &Path) -> Result<()> {
    let files = protox::compile(PROTOS, [PROTO_DIR]).context("compiling the proto files")?;
    prost_build::Config::new()
        .out_dir(out)
        .compile_fds(files)
        .context("generating the Rust types")
}

fn compare(fresh: &Path) -> Result<()> {
    for name in OUTPUTS {
        let committed = fs::read(Path::new(OUT_DIR).join(name))?;
        if committed != fs::read(fresh.join(name))? {
            bail!("{OUT_DIR}/{name} is out of date: run the generator");
        }
    }
    println!("generated code is up to date");
    Ok(())
}

fn install(fresh: &Path) -> Result<()> {
    for name in OUTPUTS {
        fs::copy(fresh.join(name), Path::new(OUT_DIR).join(name))?;
    }
    Ok(())
}
