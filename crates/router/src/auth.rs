//! Authentication of a request's sender, and the classes that its workspace may use.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use swiftlink_resource::{Class, Config, StaleRule, Workspace};
use swiftlink_types::{ClassName, PRICE_UNIT, Refusal, RefusalKind, WorkspaceName};

/// Class of a request that doesn't name one.
const DEFAULT_CLASS: &str = "standard";
/// Retry delay while the configuration may be stale.
const STALE_RETRY: Duration = Duration::from_secs(2);

/// The sender of a request.
#[derive(Debug, Clone)]
pub struct Sender {
    /// Name of its workspace.
    pub name: WorkspaceName,
    /// The workspace as declared.
    pub workspace: Arc<Workspace>,
}

/// Finds the workspace that the API key `secret` belongs to.
///
/// `is_stale` means that a newer configuration may exist. A workspace whose stale
/// rule is [`StaleRule::Refuse`] is refused then, and so is an unknown key, which may
/// have been declared since.
///
/// # Errors
/// [`RefusalKind::Unauthenticated`], or [`RefusalKind::Unavailable`] when stale.
pub fn authenticate(config: &Config, secret: &str, is_stale: bool) -> Result<Sender, Refusal> {
    let hash: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    let found = config.key_by_hash(&hash).filter(|(_, key)| !key.disabled);
    let Some((_, key)) = found else {
        if is_stale {
            return Err(stale());
        }
        let detail = "the API key is unknown or disabled";
        return Err(Refusal::not_run(RefusalKind::Unauthenticated, detail));
    };
    let Some(workspace) = config.workspaces.get(&key.workspace) else {
        let detail = "the API key's workspace doesn't exist";
        return Err(Refusal::not_run(RefusalKind::Unauthenticated, detail));
    };
    if is_stale && workspace.stale == StaleRule::Refuse {
        return Err(stale());
    }
    Ok(Sender {
        name: key.workspace.clone(),
        workspace: Arc::clone(workspace),
    })
}

/// Returns the class of a request if its workspace may use it.
///
/// # Errors
/// [`RefusalKind::Forbidden`], or [`RefusalKind::Malformed`] for an unknown class.
pub fn class_of(
    config: &Config,
    workspace: &Workspace,
    wanted: Option<&ClassName>,
) -> Result<(ClassName, Arc<Class>), Refusal> {
    let name = match wanted {
        Some(name) => name.clone(),
        None => default_class(workspace),
    };
    if !workspace.classes.is_empty() && !workspace.classes.contains(&name) {
        let detail = format!("the workspace may not use the priority class {name}");
        return Err(Refusal::not_run(RefusalKind::Forbidden, detail));
    }
    if let Some(class) = config.classes.get(&name) {
        return Ok((name, Arc::clone(class)));
    }
    if name.as_str() != DEFAULT_CLASS {
        let detail = format!("there is no priority class {name}");
        return Err(crate::surface::malformed(crate::surface::CLASS, detail));
    }
    let class = Class {
        price: PRICE_UNIT,
        weight: 1,
        queue: 256,
    };
    Ok((name, Arc::new(class)))
}

fn default_class(workspace: &Workspace) -> ClassName {
    let standard = ClassName::from(DEFAULT_CLASS);
    if workspace.classes.is_empty() || workspace.classes.contains(&standard) {
        return standard;
    }
    workspace.classes[0].clone()
}

fn stale() -> Refusal {
    let detail = "this router's configuration may be out of date";
    Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(STALE_RETRY)
}
