//! Which servers a pool has, and which of them this router uses.

use std::collections::{HashMap, HashSet};

use swiftlink_types::{ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use crate::backlog::PrefillBacklog;
use crate::health::Health;
use crate::load::Load;
use crate::server::Server;
use crate::slowness::Slowness;
use crate::spec::{ListedVm, ServerSpec};
use crate::speed::SampleSums;
use crate::timing::EventGap;
use crate::update::PendingUpdate;

/// Seed of the hash of a server's name, the same at every router.
const NAME_SEED: u64 = 0;

impl Fleet {
    /// Applies the configured servers of the pool. State of unchanged instances is kept. A
    /// restarted server begins with fresh state: it has no prompt cached, runs no request, and
    /// isn't ejected for errors of its previous instance.
    pub fn set_config(&mut self, specs: &[ServerSpec]) {
        let kept: HashSet<&ServerName> = specs.iter().map(|spec| &spec.instance.name).collect();
        self.by_name.retain(|name, _| kept.contains(name));
        let mut free = self.free_indices();
        for spec in specs {
            let index = match self.by_name.get(&spec.instance.name) {
                Some(index) if self.servers[*index as usize].instance == spec.instance => *index,
                Some(index) => self.replace(*index, spec),
                None => self.add(spec, free.next()),
            };
            self.apply_spec(index, spec);
        }
        self.choose_members();
        self.refresh();
    }

    /// Applies the complete VM list. A server whose VM is leaving, or has disappeared from the
    /// list, gets no new work; one whose VM was never listed does, since the list lags behind.
    pub fn set_vm_list(&mut self, list: &[ListedVm]) {
        let leaving: HashMap<&VmName, bool> =
            list.iter().map(|vm| (&vm.name, vm.leaving)).collect();
        for server in &mut self.servers {
            let Some(vm) = &server.vm else {
                continue;
            };
            match leaving.get(vm) {
                Some(leaving) => {
                    server.was_listed = true;
                    server.is_vm_leaving = *leaving;
                }
                None => server.is_vm_leaving = server.was_listed,
            }
        }
        self.refresh();
    }

    /// Indices that no configured server uses.
    fn free_indices(&self) -> impl Iterator<Item = u32> + use<> {
        let used: HashSet<u32> = self.by_name.values().copied().collect();
        let all = 0..self.servers.len() as u32;
        all.filter(move |index| !used.contains(index))
    }

    /// Stores a new server at a `free` index, or at a new one.
    fn add(&mut self, spec: &ServerSpec, free: Option<u32>) -> u32 {
        let generation = free.map_or(0, |index| self.servers[index as usize].generation + 1);
        let server = new_server(spec, generation);
        let index = free.unwrap_or(self.servers.len() as u32);
        match self.servers.get_mut(index as usize) {
            Some(entry) => *entry = server,
            None => self.servers.push(server),
        }
        self.by_name.insert(spec.instance.name.clone(), index);
        index
    }

    /// Replaces a server with its new instance.
    fn replace(&mut self, index: u32, spec: &ServerSpec) -> u32 {
        let entry = &mut self.servers[index as usize];
        *entry = new_server(spec, entry.generation + 1);
        index
    }

    fn apply_spec(&mut self, index: u32, spec: &ServerSpec) {
        let is_local = spec.domain == self.settings.domain;
        let server = &mut self.servers[index as usize];
        if server.vm != spec.vm {
            server.was_listed = false;
            server.is_vm_leaving = false;
        }
        server.domain = spec.domain.clone();
        server.vm = spec.vm.clone();
        server.slots = spec.slots;
        server.is_drained = spec.drain;
        server.version = spec.version.clone();
        server.is_excluded = spec.is_excluded;
        server.is_canary = spec.is_canary;
        server.is_domain_drained = self.drained_domains.contains(&spec.domain);
        server.cold_until = server.cold_until.max(spec.cold_until);
        server.is_local = is_local;
    }

    /// Chooses the subset: the servers with the highest hashes under this router's seed (rendezvous
    /// hashing). A change of the pool moves few of them.
    fn choose_members(&mut self) {
        if self.settings.subset == 0 {
            for index in self.by_name.values() {
                self.servers[*index as usize].is_member = true;
            }
            return;
        }
        let seed = self.settings.seed;
        let mut ranked: Vec<(u64, u32)> = self
            .by_name
            .iter()
            .map(|(name, index)| (xxh3_64_with_seed(name.as_str().as_bytes(), !seed), *index))
            .collect();
        ranked.sort_unstable_by(|one, two| two.cmp(one));
        let all = ranked.len();
        let count = self.settings.subset.min(all);
        for (rank, (_, index)) in ranked.into_iter().enumerate() {
            self.servers[index as usize].is_member = rank < count;
        }
    }
}

fn new_server(spec: &ServerSpec, generation: u32) -> Server {
    let name = spec.instance.name.as_str().as_bytes();
    Server {
        instance: spec.instance.clone(),
        domain: spec.domain.clone(),
        vm: spec.vm.clone(),
        hash: xxh3_64_with_seed(name, NAME_SEED),
        instance_hash: xxh3_64_with_seed(name, spec.instance.started),
        generation,
        slots: spec.slots,
        is_local: false,
        is_member: false,
        is_drained: spec.drain,
        version: spec.version.clone(),
        is_excluded: spec.is_excluded,
        is_canary: spec.is_canary,
        is_vm_leaving: false,
        is_domain_drained: false,
        is_backed_off: false,
        is_throttled: false,
        is_brittle: false,
        backoff_until: 0,
        cold_until: spec.cold_until,
        was_listed: false,
        draining_at: None,
        load: Load::default(),
        health: Health::default(),
        ttft: Slowness::default(),
        inter_token: Slowness::default(),
        event_gap: EventGap::default(),
        gap_ratio: 1.0,
        shared_speed: None,
        samples: SampleSums::default(),
        is_isolated: false,
        backlog: PrefillBacklog::default(),
        pending: PendingUpdate::default(),
        unanswered: 0,
        sent_sum: 0,
    }
}
