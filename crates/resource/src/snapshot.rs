//! Encodes the state of the fold as a snapshot. Equal states have equal bytes.

use std::sync::Arc;

use anyhow::{Context, anyhow, ensure};
use prost::Message;
use swiftlink_wire::log as wire;

use crate::dedup::DecidedSets;
use crate::validate::parse_stored;
use crate::{Config, Fold, Kind, Resource};

/// Kind of the entry that holds the version of the configuration. It can't be derived from the
/// resources: a deletion raises the version too, so possibly no resource has it.
const STATE_KIND: &str = "";

pub(crate) fn encode(fold: &Fold) -> Vec<u8> {
    let mut state = wire::ResourceState {
        items: vec![state_entry(fold.version())],
        set_ids: fold.decided.iter().map(|id| id.to_string()).collect(),
    };
    for kind in Kind::ALL {
        for (name, resource) in fold.config.list(kind) {
            state.items.push(wire::ResourceEntry {
                kind: kind.as_str().to_owned(),
                name: name.to_string(),
                version: resource.version,
                spec: resource.json.to_string(),
            });
        }
    }
    state.encode_to_vec()
}

pub(crate) fn decode(data: &[u8]) -> anyhow::Result<Fold> {
    let state = wire::ResourceState::decode(data).context("resource snapshot")?;
    let mut config = Config::default();
    for entry in &state.items {
        if entry.kind == STATE_KIND {
            config.version = entry.version;
            continue;
        }
        put(&mut config, entry).with_context(|| format!("{}/{}", entry.kind, entry.name))?;
    }
    let mut decided = DecidedSets::default();
    for id in state.set_ids {
        decided.insert(Arc::from(id));
    }
    let config = Arc::new(config);
    Ok(Fold { config, decided })
}

fn state_entry(version: u64) -> wire::ResourceEntry {
    wire::ResourceEntry {
        kind: STATE_KIND.to_owned(),
        version,
        ..Default::default()
    }
}

fn put(config: &mut Config, entry: &wire::ResourceEntry) -> anyhow::Result<()> {
    let kind: Kind = entry.kind.parse()?;
    let spec = parse_stored(kind, &entry.spec).map_err(|reason| anyhow!("{reason:?}"))?;
    ensure!(entry.version > 0, "no version");
    let resource = Resource {
        version: entry.version,
        json: Arc::from(spec.to_json()),
        spec,
    };
    config.put(&Arc::from(entry.name.as_str()), resource);
    Ok(())
}
