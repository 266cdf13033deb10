//! Checks of one specification on its own: syntax, ranges, names.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::{Class, Kind, Pool, PoolKind, RejectReason, Retirement, Server, Spec, Workspace};

/// Longest name of a resource (bytes).
const NAME_MAX: usize = 128;
/// Largest weight of a priority class.
const WEIGHT_MAX: u32 = 1_000;
/// Largest price of a priority class (thousandths).
const PRICE_MAX: u32 = 1_000_000;
/// Longest queue of a priority class.
const QUEUE_MAX: u32 = 65_536;
/// Most slots of a backend server.
const SLOTS_MAX: u32 = 65_536;
/// Longest demand that a router may claim ahead (s).
const AHEAD_MAX: u32 = 3_600;
/// Most bytes that may count as one token.
const TOKEN_BYTES_MAX: u32 = 64;
/// Longest reason of a retirement (bytes).
const REASON_MAX: usize = 512;

/// Parses and checks the specification of a resource.
pub(crate) fn parse(kind: Kind, name: &str, json: &str) -> Result<Spec, RejectReason> {
    let spec = read(kind, json)?;
    check_name(name, may_have_path(&spec))?;
    check(&spec)?;
    Ok(spec)
}

/// Parses a specification that was checked when it was accepted.
pub(crate) fn read(kind: Kind, json: &str) -> Result<Spec, RejectReason> {
    Ok(match kind {
        Kind::Workspace => Spec::Workspace(typed(json)?),
        Kind::Budget => Spec::Budget(typed(json)?),
        Kind::TopUp => Spec::TopUp(typed(json)?),
        Kind::Class => Spec::Class(typed(json)?),
        Kind::Pool => Spec::Pool(typed(json)?),
        Kind::Server => Spec::Server(typed(json)?),
        Kind::Key => Spec::Key(typed(json)?),
        Kind::Retirement => Spec::Retirement(typed(json)?),
    })
}

fn typed<T: DeserializeOwned>(json: &str) -> Result<Arc<T>, RejectReason> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let spec = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let detail = error.inner().to_string();
        let path = error.path().to_string();
        // The whole has the path "."; text that ends too early has none, or "?".
        let whole = path == "." || path.contains('?');
        let field = if whole {
            quoted(&detail).to_owned()
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

/// The field that a message such as "missing field `pool`" names.
fn quoted(detail: &str) -> &str {
    detail.split('`').nth(1).unwrap_or("spec")
}

pub(crate) fn invalid(field: &str, detail: impl Into<String>) -> RejectReason {
    RejectReason::Invalid {
        field: field.to_owned(),
        detail: detail.into(),
    }
}

/// Model names are often written as paths; other names become parts of URLs.
fn may_have_path(spec: &Spec) -> bool {
    matches!(spec, Spec::Pool(pool) if pool.kind == PoolKind::Model)
}

fn check_name(name: &str, path: bool) -> Result<(), RejectReason> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Err(invalid(
            "name",
            format!("must have 1 to {NAME_MAX} characters"),
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
        Spec::Budget(spec) => check_range("ahead_secs", spec.ahead_secs, 0, AHEAD_MAX),
        Spec::TopUp(spec) if spec.amount == 0 => Err(invalid("amount", "must be at least 1")),
        Spec::TopUp(_) | Spec::Key(_) => Ok(()),
        Spec::Class(spec) => check_class(spec),
        Spec::Pool(spec) => check_pool(spec),
        Spec::Server(spec) => check_server(spec),
        Spec::Retirement(spec) => check_retirement(spec),
    }
}

fn check_range(field: &str, value: u32, least: u32, most: u32) -> Result<(), RejectReason> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(invalid(
        field,
        format!("must be {least} to {most}, not {value}"),
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
    check_range("price", spec.price, 1, PRICE_MAX)?;
    check_range("weight", spec.weight, 1, WEIGHT_MAX)?;
    check_range("queue", spec.queue, 0, QUEUE_MAX)
}

fn check_pool(spec: &Pool) -> Result<(), RejectReason> {
    if spec.max_tokens == 0 {
        return Err(invalid("max_tokens", "must be at least 1"));
    }
    check_range("token_bytes", spec.token_bytes, 1, TOKEN_BYTES_MAX)?;
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
    check_range("slots", spec.slots, 1, SLOTS_MAX)
}

fn check_retirement(spec: &Retirement) -> Result<(), RejectReason> {
    if spec.reason.len() > REASON_MAX {
        return Err(invalid(
            "reason",
            format!("must have at most {REASON_MAX} bytes"),
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
