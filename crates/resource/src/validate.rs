//! Checks of a single specification: syntax, ranges and names.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::{Class, Kind, Pool, PoolKind, RejectReason, Retirement, Server, Spec, Workspace};

/// Maximum length of a resource name.
const MAX_NAME_BYTES: usize = 128;
/// Maximum weight of a priority class.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum price of a priority class (thousandths of a token per token).
const MAX_PRICE: u32 = 1_000_000;
/// Maximum queue length of a priority class (requests).
const MAX_QUEUE: u32 = 65_536;
/// Maximum concurrency of a backend server.
const MAX_SLOTS: u32 = 65_536;
/// Maximum demand that a router may claim in advance.
const MAX_AHEAD_SECS: u32 = 3_600;
/// Maximum number of prompt bytes that may count as one token.
const MAX_TOKEN_BYTES: u32 = 64;
/// Maximum length of the reason of a retirement.
const MAX_REASON_BYTES: usize = 512;

/// Parses and checks the specification of a resource.
pub(crate) fn parse(kind: Kind, name: &str, json: &str) -> Result<Spec, RejectReason> {
    let spec = parse_stored(kind, json)?;
    check_name(name, allows_path(&spec))?;
    check(&spec)?;
    Ok(spec)
}

/// Parses a specification without checking its name and ranges, which were checked when it
/// was accepted.
pub(crate) fn parse_stored(kind: Kind, json: &str) -> Result<Spec, RejectReason> {
    Ok(match kind {
        Kind::Workspace => Spec::Workspace(from_json(json)?),
        Kind::Budget => Spec::Budget(from_json(json)?),
        Kind::TopUp => Spec::TopUp(from_json(json)?),
        Kind::Class => Spec::Class(from_json(json)?),
        Kind::Pool => Spec::Pool(from_json(json)?),
        Kind::Server => Spec::Server(from_json(json)?),
        Kind::Key => Spec::Key(from_json(json)?),
        Kind::Retirement => Spec::Retirement(from_json(json)?),
    })
}

fn from_json<T: DeserializeOwned>(json: &str) -> Result<Arc<T>, RejectReason> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let spec = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let detail = error.inner().to_string();
        let path = error.path().to_string();
        // The path of the root is "."; truncated text has an empty path or a "?" in it.
        let is_root = path == "." || path.contains('?');
        let field = if is_root {
            field_in_message(&detail).to_owned()
        } else {
            path
        };
        invalid(&field, detail)
    })?;
    reader
        .end()
        .map_err(|error| invalid("spec", error.to_string()))?;
    Ok(Arc::new(spec))
}

/// Returns the field that a message such as "missing field `pool`" names.
fn field_in_message(detail: &str) -> &str {
    detail.split('`').nth(1).unwrap_or("spec")
}

pub(crate) fn invalid(field: &str, detail: impl Into<String>) -> RejectReason {
    RejectReason::Invalid {
        field: field.to_owned(),
        detail: detail.into(),
    }
}

/// Whether a name may contain `/` and `:`. Model names are often paths; other names become
/// segments of URLs.
fn allows_path(spec: &Spec) -> bool {
    matches!(spec, Spec::Pool(pool) if pool.kind == PoolKind::Model)
}

fn check_name(name: &str, path: bool) -> Result<(), RejectReason> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(invalid(
            "name",
            format!("must have 1 to {MAX_NAME_BYTES} characters"),
        ));
    }
    for c in name.chars() {
        let plain = c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if plain || (path && matches!(c, '/' | ':')) {
            continue;
        }
        return Err(invalid("name", format!("must not contain {c:?}")));
    }
    Ok(())
}

fn check(spec: &Spec) -> Result<(), RejectReason> {
    match spec {
        Spec::Workspace(spec) => check_workspace(spec),
        Spec::Budget(spec) => check_range("ahead_secs", spec.ahead_secs, 0, MAX_AHEAD_SECS),
        Spec::TopUp(spec) if spec.amount == 0 => Err(invalid("amount", "must be at least 1")),
        Spec::TopUp(_) | Spec::Key(_) => Ok(()),
        Spec::Class(spec) => check_class(spec),
        Spec::Pool(spec) => check_pool(spec),
        Spec::Server(spec) => check_server(spec),
        Spec::Retirement(spec) => check_retirement(spec),
    }
}

fn check_range(field: &str, value: u32, min: u32, max: u32) -> Result<(), RejectReason> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(
        field,
        format!("must be {min} to {max}, not {value}"),
    ))
}

fn check_workspace(spec: &Workspace) -> Result<(), RejectReason> {
    for (index, class) in spec.classes.iter().enumerate() {
        if spec.classes[..index].contains(class) {
            return Err(invalid("classes", format!("lists {class} twice")));
        }
    }
    Ok(())
}

fn check_class(spec: &Class) -> Result<(), RejectReason> {
    check_range("price", spec.price, 1, MAX_PRICE)?;
    check_range("weight", spec.weight, 1, MAX_WEIGHT)?;
    check_range("queue", spec.queue, 0, MAX_QUEUE)
}

fn check_pool(spec: &Pool) -> Result<(), RejectReason> {
    if spec.max_tokens == 0 {
        return Err(invalid("max_tokens", "must be at least 1"));
    }
    check_range("token_bytes", spec.token_bytes, 1, MAX_TOKEN_BYTES)?;
    for method in &spec.once {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            return Err(invalid(
                "once",
                format!("{method:?} is no method in capitals"),
            ));
        }
    }
    Ok(())
}

fn check_server(spec: &Server) -> Result<(), RejectReason> {
    check_address(spec.address)?;
    if spec.domain.as_str().is_empty() {
        return Err(invalid("domain", "must not be empty"));
    }
    if spec.vm.as_ref().is_some_and(|vm| vm.as_str().is_empty()) {
        return Err(invalid("vm", "must not be empty"));
    }
    check_range("slots", spec.slots, 1, MAX_SLOTS)
}

fn check_retirement(spec: &Retirement) -> Result<(), RejectReason> {
    if spec.reason.len() > MAX_REASON_BYTES {
        return Err(invalid(
            "reason",
            format!("must have at most {MAX_REASON_BYTES} bytes"),
        ));
    }
    Ok(())
}

fn check_address(address: SocketAddr) -> Result<(), RejectReason> {
    if address.port() == 0 {
        return Err(invalid("address", "must have a port"));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(invalid("address", "must be the address of one host"));
    }
    Ok(())
}
