//! Detects whether a server crashed after its connection broke in the middle of a response.
//!
//! A broken connection alone doesn't prove a crash: servers abort responses, and networks reset
//! connections, while the server keeps running. After a crash nothing listens on the server's
//! address, so a connection is attempted, once for all attempts that broke at the same time. A
//! server that doesn't answer may be partitioned or have lost power, which no request can cause; one
//! that refuses this router's connections and not those of others is behind a cut path.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{ServerInstance, VmName};
use tokio::task::JoinSet;

use super::{BrokenAttempt, Quarantine, ServerCrash};
use crate::fingerprint::Fingerprint;
use crate::paths::{Dialer, ProbeError};

/// Number of crashed servers that are remembered, for attempts whose failure is noticed a little
/// later.
const MAX_CRASHED: usize = 64;

/// Maximum time of a probe, and again of asking other routers; within a region one takes a
/// millisecond or two.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of the servers of broken attempts.
#[derive(Debug, Default)]
struct Servers {
    /// Servers being probed, with the requests that broke on them and their parts.
    probing: HashMap<ServerInstance, HashSet<Fingerprint>>,
    /// Crashed servers with the times of their crashes, in order of detection.
    crashed: Vec<(ServerInstance, u64)>,
}

impl Servers {
    fn crashed_at(&self, instance: &ServerInstance) -> Option<u64> {
        let known = self.crashed.iter().find(|(other, _)| other == instance)?;
        Some(known.1)
    }

    fn record_crash(&mut self, instance: ServerInstance, at: u64) {
        if self.crashed.len() >= MAX_CRASHED {
            self.crashed.remove(0);
        }
        self.crashed.push((instance, at));
    }
}

/// Probes the servers of broken attempts until the task is aborted.
pub(crate) async fn detect(quarantine: Arc<Quarantine>, dialer: Arc<Dialer>) {
    let mut servers = Servers::default();
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            () = quarantine.attempt_broken.notified() => {}
            Some(result) = probes.join_next() => {
                if let Ok((instance, error)) = result {
                    on_probe_result(&quarantine, &mut servers, instance, error);
                }
            }
        }
        for attempt in quarantine.take_broken_attempts() {
            investigate(&quarantine, &mut servers, &mut probes, &dialer, &attempt);
        }
    }
}

fn investigate(
    quarantine: &Quarantine,
    servers: &mut Servers,
    probes: &mut JoinSet<(ServerInstance, Option<ProbeError>)>,
    dialer: &Arc<Dialer>,
    attempt: &BrokenAttempt,
) {
    let instance = &attempt.server.instance;
    if let Some(at) = servers.crashed_at(instance) {
        let fingerprints = attempt.fingerprints.iter().copied().collect();
        quarantine.on_local_crash(&local_crash(
            quarantine.vm.clone(),
            instance.clone(),
            at,
            fingerprints,
        ));
        return;
    }
    if let Some(fingerprints) = servers.probing.get_mut(instance) {
        fingerprints.extend(&attempt.fingerprints);
        return;
    }
    let fingerprints = attempt.fingerprints.iter().copied().collect();
    servers.probing.insert(instance.clone(), fingerprints);
    let (server, instance) = (attempt.server.destination.clone(), instance.clone());
    let dialer = Arc::clone(dialer);
    probes.spawn(async move {
        let probed = dialer.probe(&server, PROBE_TIMEOUT).await;
        (instance, probed.err())
    });
}

fn on_probe_result(
    quarantine: &Quarantine,
    servers: &mut Servers,
    instance: ServerInstance,
    error: Option<ProbeError>,
) {
    let Some(fingerprints) = servers.probing.remove(&instance) else {
        return;
    };
    if error != Some(ProbeError::Refused) {
        return;
    }
    let now = quarantine.clock.steady();
    event!(
        info,
        "server.crashed",
        server = instance.name,
        requests = fingerprints.iter().filter(|one| !one.is_part()).count(),
        parts = fingerprints.iter().filter(|one| one.is_part()).count()
    );
    servers.record_crash(instance.clone(), now);
    quarantine.on_local_crash(&local_crash(
        quarantine.vm.clone(),
        instance,
        now,
        fingerprints,
    ));
}

fn local_crash(
    vm: VmName,
    instance: ServerInstance,
    at: u64,
    fingerprints: HashSet<Fingerprint>,
) -> ServerCrash {
    ServerCrash {
        instance,
        at,
        fingerprints,
        seen_by: BTreeSet::from([vm]),
    }
}
