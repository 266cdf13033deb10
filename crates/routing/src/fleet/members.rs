//! Which servers a pool has, and which of them this router uses.

use std::collections::{HashMap, HashSet};

use swiftlink_types::{ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use crate::flow::Pace;
use crate::health::Health;
use crate::load::Load;
use crate::note::News;
use crate::server::Server;
use crate::slowness::Slowness;
use crate::spec::{ListedVm, ServerSpec};
use crate::unread::Unread;

/// Seed of the servers' own hashes, the same at every router.
const NAME_SEED: u64 = 0;

impl Fleet {
    /// Takes the pool's servers from the configuration in force. What is known of a server that
    /// stays is kept; nothing of one that started again: it holds no prompt, runs no request,
    /// and isn't ejected for what ended with the start before.
    pub fn set_config(&mut self, specs: &[ServerSpec]) {
        let kept: HashSet<&ServerName> = specs.iter().map(|spec| &spec.instance.name).collect();
        self.by_name.retain(|name, _| kept.contains(name));
        let mut free = self.free_slots();
        for spec in specs {
            let slot = match self.by_name.get(&spec.instance.name) {
                Some(slot) if self.servers[*slot as usize].instance == spec.instance => *slot,
                Some(slot) => self.replace(*slot, spec),
                None => self.add(spec, free.next()),
            };
            self.update(slot, spec);
        }
        self.choose_members();
        self.refresh();
    }

    /// Takes the whole VM list. A server whose VM is leaving, or was listed and is
    /// not any more, gets no new work; one whose VM was never listed does, since the
    /// list lags.
    pub fn set_listed(&mut self, list: &[ListedVm]) {
        let leaving: HashMap<&VmName, bool> =
            list.iter().map(|vm| (&vm.name, vm.leaving)).collect();
        for server in &mut self.servers {
            let Some(vm) = &server.vm else {
                continue;
            };
            match leaving.get(vm) {
                Some(leaving) => {
                    server.was_listed = true;
                    server.is_listed_out = *leaving;
                }
                None => server.is_listed_out = server.was_listed,
            }
        }
        self.refresh();
    }

    /// Slots that no configured server uses.
    fn free_slots(&self) -> impl Iterator<Item = u32> + use<> {
        let used: HashSet<u32> = self.by_name.values().copied().collect();
        let all = 0..self.servers.len() as u32;
        all.filter(move |slot| !used.contains(slot))
    }

    /// Puts a new server in a `free` slot, or in a new one.
    fn add(&mut self, spec: &ServerSpec, free: Option<u32>) -> u32 {
        let generation = free.map_or(0, |slot| self.servers[slot as usize].generation + 1);
        let server = new_server(spec, generation);
        let slot = free.unwrap_or(self.servers.len() as u32);
        match self.servers.get_mut(slot as usize) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        self.by_name.insert(spec.instance.name.clone(), slot);
        slot
    }

    /// Puts a new start of a server in the place of the one before.
    fn replace(&mut self, slot: u32, spec: &ServerSpec) -> u32 {
        let place = &mut self.servers[slot as usize];
        *place = new_server(spec, place.generation + 1);
        slot
    }

    fn update(&mut self, slot: u32, spec: &ServerSpec) {
        let is_home = spec.domain == self.settings.home;
        let server = &mut self.servers[slot as usize];
        if server.vm != spec.vm {
            server.was_listed = false;
            server.is_listed_out = false;
        }
        server.domain = spec.domain.clone();
        server.vm = spec.vm.clone();
        server.slots = spec.slots;
        server.is_drained = spec.drain;
        server.is_canary = spec.is_canary;
        server.is_emptied = self.emptied.contains(&spec.domain);
        server.cold_until = server.cold_until.max(spec.cold_until);
        server.is_home = is_home;
    }

    /// Chooses the subset: the servers with the highest hashes under this router's
    /// seed. A change of the pool moves few of them.
    fn choose_members(&mut self) {
        if self.settings.subset == 0 {
            for slot in self.by_name.values() {
                self.servers[*slot as usize].is_member = true;
            }
            return;
        }
        let seed = self.settings.seed;
        let mut ranked: Vec<(u64, u32)> = self
            .by_name
            .iter()
            .map(|(name, slot)| (xxh3_64_with_seed(name.as_str().as_bytes(), !seed), *slot))
            .collect();
        ranked.sort_unstable_by(|one, two| two.cmp(one));
        let all = ranked.len();
        let count = self.settings.subset.min(all);
        for (rank, (_, slot)) in ranked.into_iter().enumerate() {
            self.servers[slot as usize].is_member = rank < count;
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
        start_hash: xxh3_64_with_seed(name, spec.instance.started),
        generation,
        slots: spec.slots,
        is_home: false,
        is_member: false,
        is_drained: spec.drain,
        is_canary: spec.is_canary,
        is_listed_out: false,
        is_emptied: false,
        is_resting: false,
        rests_until: 0,
        cold_until: spec.cold_until,
        was_listed: false,
        draining_at: None,
        load: Load::default(),
        health: Health::default(),
        first: Slowness::default(),
        pace: Slowness::default(),
        flow: Pace::default(),
        slower: 1.0,
        is_quiet: false,
        unread: Unread::default(),
        news: News::default(),
        unanswered: 0,
        sent_sum: 0,
    }
}
