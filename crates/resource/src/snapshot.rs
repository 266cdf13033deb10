//! Snapshot of the fold's state as bytes, equal for equal states.

use std::sync::Arc;

use anyhow::{Context, anyhow, ensure};
use prost::Message;
use swiftlink_wire::log as wire;

use crate::sets::Sets;
use crate::validate::read;
use crate::{Config, Fold, Kind, Resource};

/// Kind of the entry that carries the version of the configuration as a whole.
/// Deleting a resource raises that version, so no resource need have it.
const STATE_KIND: &str = "";

pub(crate) fn encode(fold: &Fold) -> Vec<u8> {
    let mut state = wire::ResourceState {
        items: vec![state_entry(fold.version())],
        set_ids: fold.sets.iter().map(|id| id.to_string()).collect(),
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
    let mut sets = Sets::default();
    for id in state.set_ids {
        sets.insert(Arc::from(id));
    }
    let config = Arc::new(config);
    Ok(Fold { config, sets })
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
    let spec = read(kind, &entry.spec).map_err(|reason| anyhow!("{reason:?}"))?;
    ensure!(entry.version > 0, "no version");
    let resource = Resource {
        version: entry.version,
        json: Arc::from(spec.to_json()),
        spec,
    };
    config.put(&Arc::from(entry.name.as_str()), resource);
    Ok(())
}
