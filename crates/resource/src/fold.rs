//! Deterministic fold of the configuration stream.

use std::sync::Arc;

use prost::Message;
use swiftlink_log::Step;
use swiftlink_wire::log as wire;

use crate::dedup::DecidedSets;
use crate::plan::{Edits, plan};
use crate::{Config, Event, SetFate, Verdict, snapshot};

/// State of the configuration stream: the current configuration and the recently decided
/// change sets. It is deterministic: the same records in the same order give the same state.
#[derive(Debug, Default)]
pub struct Fold {
    pub(crate) config: Arc<Config>,
    pub(crate) decided: DecidedSets,
}

impl Fold {
    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    /// Returns the current version; 0 before the first accepted change set.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Accepts or rejects the change set at `offset` of the stream.
    ///
    /// An accepted set creates version `offset + 1`. The caller must have filtered out sets
    /// without an identifier.
    pub fn decide(&mut self, offset: u64, set: &wire::ChangeSet) -> SetFate {
        let id: Arc<str> = Arc::from(set.id.as_str());
        if self.decided.contains(&id) {
            return self.fate(id, Verdict::Duplicate, Vec::new());
        }
        self.decided.insert(Arc::clone(&id));
        let version = offset.saturating_add(1);
        match plan(&self.config, version, &set.changes) {
            Ok(edits) => {
                let events = self.commit(version, edits);
                self.fate(id, Verdict::Accepted, events)
            }
            Err(rejects) => self.fate(id, Verdict::Rejected(rejects), Vec::new()),
        }
    }

    fn fate(&self, id: Arc<str>, verdict: Verdict, events: Vec<Event>) -> SetFate {
        SetFate {
            id,
            version: self.version(),
            verdict,
            events,
        }
    }

    fn commit(&mut self, version: u64, edits: Edits) -> Vec<Event> {
        // Clones the configuration only if the previous version is still referenced.
        let config = Arc::make_mut(&mut self.config);
        let mut events = Vec::with_capacity(edits.len());
        for ((kind, name), edit) in edits {
            let spec = edit.as_ref().map(|resource| Arc::clone(&resource.json));
            match edit {
                Some(resource) => config.put(&name, resource),
                None => config.remove(kind, &name),
            }
            let deleted = spec.is_none();
            events.push(Event {
                version,
                kind,
                name,
                deleted,
                spec,
            });
        }
        config.version = version;
        events
    }
}

impl swiftlink_log::Fold for Fold {
    type Fate = SetFate;

    fn empty() -> Self {
        Self::default()
    }

    fn apply(&mut self, offset: u64, data: &[u8]) -> Step<SetFate> {
        let Ok(mut set) = wire::ChangeSet::decode(data) else {
            return Step::Malformed;
        };
        if let Some(chunk) = set.snapshot.take() {
            return Step::Snapshot(chunk);
        }
        if set.id.is_empty() {
            return Step::Malformed;
        }
        Step::Fate(self.decide(offset, &set))
    }

    fn encode(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn decode(data: &[u8]) -> anyhow::Result<Self> {
        snapshot::decode(data)
    }

    fn chunk(_offset: u64, data: &[u8]) -> Option<wire::SnapshotChunk> {
        wire::ChangeSet::decode(data).ok()?.snapshot
    }
}
