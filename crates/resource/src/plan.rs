//! Checks a change set against the configuration before any of it is applied.

use std::collections::BTreeMap;
use std::sync::Arc;

use swiftlink_wire::log as wire;

use crate::validate::{invalid, parse};
use crate::{Config, Kind, Reject, RejectReason, Resource, Spec};

/// Edits that an accepted set makes, by resource; `None` deletes the resource.
pub(crate) type Edits = BTreeMap<(Kind, Arc<str>), Option<Resource>>;

/// Checks the changes of one set as a unit.
///
/// References are checked against the configuration that the whole set would produce, so a set
/// may declare a resource and its dependencies in any order.
///
/// # Errors
/// Returns every reason to reject the set.
pub(crate) fn plan(
    config: &Config,
    version: u64,
    changes: &[wire::Change],
) -> Result<Edits, Vec<Reject>> {
    if changes.is_empty() {
        return Err(vec![reject(
            "",
            "",
            invalid("changes", "must not be empty"),
        )]);
    }
    let mut planner = Planner::new(config, version);
    for change in changes {
        planner.add(change);
    }
    planner.check_references();
    planner.check_hashes();
    planner.finish()
}

fn reject(kind: &str, name: &str, reason: RejectReason) -> Reject {
    Reject {
        kind: kind.to_owned(),
        name: name.to_owned(),
        reason,
    }
}

/// Collects the edits of a set and the reasons to reject it.
struct Planner<'a> {
    config: &'a Config,
    version: u64,
    edits: Edits,
    rejects: Vec<Reject>,
}

impl<'a> Planner<'a> {
    fn new(config: &'a Config, version: u64) -> Self {
        Self {
            config,
            version,
            edits: Edits::new(),
            rejects: Vec::new(),
        }
    }

    fn finish(self) -> Result<Edits, Vec<Reject>> {
        if self.rejects.is_empty() {
            Ok(self.edits)
        } else {
            Err(self.rejects)
        }
    }

    fn add(&mut self, change: &wire::Change) {
        if let Err(reason) = self.try_add(change) {
            self.rejects
                .push(reject(&change.kind, &change.name, reason));
        }
    }

    fn try_add(&mut self, change: &wire::Change) -> Result<(), RejectReason> {
        let kind: Kind = change
            .kind
            .parse()
            .map_err(|error: crate::kind::UnknownKind| invalid("kind", error.to_string()))?;
        let name: Arc<str> = Arc::from(change.name.as_str());
        if self.edits.contains_key(&(kind, Arc::clone(&name))) {
            return Err(invalid("name", "is changed twice in one set"));
        }
        let current = self
            .config
            .get(kind, &name)
            .map_or(0, |found| found.version);
        if change.base != current {
            return Err(RejectReason::Conflict { current });
        }
        if change.delete && current == 0 {
            let name = change.name.clone();
            return Err(RejectReason::Missing { kind, name });
        }
        if kind == Kind::TopUp && current != 0 {
            return Err(RejectReason::Immutable);
        }
        let edit = self.edit(kind, change)?;
        self.edits.insert((kind, name), edit);
        Ok(())
    }

    fn edit(&self, kind: Kind, change: &wire::Change) -> Result<Option<Resource>, RejectReason> {
        if change.delete {
            return Ok(None);
        }
        let spec = parse(kind, &change.name, &change.spec)?;
        let json = Arc::from(spec.to_json());
        let version = self.version;
        Ok(Some(Resource {
            version,
            spec,
            json,
        }))
    }

    fn check_references(&mut self) {
        let mut rejects = Vec::new();
        for ((kind, name), edit) in &self.edits {
            let reasons = match edit {
                Some(resource) => self.missing_references(&resource.spec),
                None => self.remaining_users(*kind, name),
            };
            for reason in reasons {
                rejects.push(reject(kind.as_str(), name, reason));
            }
        }
        self.rejects.append(&mut rejects);
    }

    /// Returns a reason for each reference of `spec` that the set would leave dangling.
    fn missing_references(&self, spec: &Spec) -> Vec<RejectReason> {
        let mut reasons = Vec::new();
        for (kind, name) in spec.references() {
            if self.will_exist(kind, name) {
                continue;
            }
            let name = name.to_owned();
            reasons.push(RejectReason::Missing { kind, name });
        }
        reasons
    }

    /// Returns the first resource that would still refer to a deleted one.
    fn remaining_users(&self, kind: Kind, name: &str) -> Vec<RejectReason> {
        for user_kind in Kind::ALL {
            for (user_name, user) in self.config.list(user_kind) {
                // A resource that the set changes is checked with its new specification.
                if self.edits.contains_key(&(user_kind, Arc::clone(user_name))) {
                    continue;
                }
                if !user.spec.references().contains(&(kind, name)) {
                    continue;
                }
                let by = format!("{user_kind}/{user_name}");
                return vec![RejectReason::InUse { by }];
            }
        }
        Vec::new()
    }

    fn will_exist(&self, kind: Kind, name: &str) -> bool {
        match self.edits.get(&(kind, Arc::from(name))) {
            Some(edit) => edit.is_some(),
            None => self.config.get(kind, name).is_some(),
        }
    }

    /// Rejects duplicate key hashes: with two keys of one secret, the workspace to charge would
    /// be ambiguous.
    fn check_hashes(&mut self) {
        let mut owners = BTreeMap::new();
        let mut rejects = Vec::new();
        for ((kind, name), edit) in &self.edits {
            let Some(Spec::Key(key)) = edit.as_ref().map(|resource| &resource.spec) else {
                continue;
            };
            let other = match owners.insert(key.hash, Arc::clone(name)) {
                Some(other) => Some(other),
                None => self.unchanged_owner(&key.hash),
            };
            if let Some(other) = other {
                let reason = invalid("hash", format!("is the hash of key {other} already"));
                rejects.push(reject(kind.as_str(), name, reason));
            }
        }
        self.rejects.append(&mut rejects);
    }

    /// Returns the key that has this hash now, unless the set changes that key.
    fn unchanged_owner(&self, hash: &crate::KeyHash) -> Option<Arc<str>> {
        let owner: Arc<str> = Arc::from(self.config.key_name_by_hash(hash)?.as_str());
        let changed = self.edits.contains_key(&(Kind::Key, Arc::clone(&owner)));
        (!changed).then_some(owner)
    }
}
