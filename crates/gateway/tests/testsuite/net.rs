//! A fleet of routers in one process, with an in-memory store and links that add delay, lose
//! answers and fall silent on demand. Time is paused.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;
use rand::RngExt;
use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::model::{Config, Workspace};
use swiftlink_gateway::peer_clocks::ClockReading;
use swiftlink_gateway::quota::holders::{Member, Placement};
use swiftlink_gateway::quota::lease::LeaseCounters;
use swiftlink_gateway::quota::{
    Claims, LastSeen, LocalQuota, PeerClient, PeerReservations, QuotaError, QuotaTable,
    Reservation, ReserveError, Reserver, Timeouts,
};
use swiftlink_gateway::store::{Feed, MemStore, Store};
use swiftlink_link::LinkError;
use swiftlink_types::{DomainName, VmName, WorkspaceName};
use swiftlink_wire::link::{Released, reply, request};
use swiftlink_wire::rights::Member as MemberRecord;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::book::config;
use crate::clock::TestClock;

/// Delay from one router to another, processing included.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
/// One in so many VMs has more processor time than the others; these come first.
const STRONG_INTERVAL: usize = 16;

/// Members of a fleet of `count` VMs in six failure domains.
pub(crate) fn members(count: usize) -> Vec<Member> {
    let member = |vm: usize| Member {
        vm: name(vm),
        domain: DomainName::from(format!("domain{}", vm % 6)),
        cpu_millis: if vm < (count / STRONG_INTERVAL).max(6) {
            500
        } else {
            120
        },
    };
    (0..count).map(member).collect()
}

pub(crate) fn name(vm: usize) -> VmName {
    VmName::from(format!("vm{vm}"))
}

/// A configuration with workspaces `w0`, `w1` and so on.
pub(crate) fn workspaces(count: usize, prepaid: u64) -> Config {
    let mut all = config(None);
    all.workspaces.clear();
    for index in 0..count {
        let workspace = Workspace {
            name: WorkspaceName::from(format!("w{index}")),
            priority: None,
            allowed_regions: Vec::new(),
            prepaid: Some(prepaid),
        };
        all.workspaces
            .insert(workspace.name.clone(), Arc::new(workspace));
    }
    all
}

/// The state that a router answers requests of other routers with.
#[derive(Debug)]
struct Endpoint {
    process: u64,
    quotas: Arc<QuotaTable>,
    reservations: Arc<PeerReservations>,
}

/// The links of all routers.
#[derive(Debug, Default)]
pub(crate) struct Net {
    endpoints: Mutex<HashMap<VmName, Arc<Endpoint>>>,
    /// Routers that don't answer; their callers run into a timeout.
    silent: Mutex<HashSet<VmName>>,
    /// When each process was last heard from, and the reading of its clock at the request.
    seen: Mutex<HashMap<u64, (u64, Instant)>>,
    /// Whether some answers are lost after the work was done.
    pub(crate) loses_answers: AtomicBool,
    /// Whether routers ignore the fields of leases, as earlier versions do.
    pub(crate) ignores_leases: AtomicBool,
}

impl Net {
    pub(crate) fn set_silent(&self, vm: usize, silent: bool) {
        let mut all = self.silent.lock().expect("a lock");
        if silent {
            all.insert(name(vm));
        } else {
            all.remove(&name(vm));
        }
    }

    fn is_silent(&self, vm: &VmName) -> bool {
        self.silent.lock().expect("a lock").contains(vm)
    }
}

/// One router's side of the links.
#[derive(Debug)]
struct Links {
    net: Arc<Net>,
    own: VmName,
}

#[async_trait]
impl PeerClient for Links {
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let endpoint = self.net.endpoints.lock().expect("a lock").get(vm).cloned();
        let endpoint = endpoint.ok_or(LinkError::Down)?;
        let steady = endpoint.quotas.clock().steady();
        let seen = (endpoint.process, (steady, Instant::now()));
        if self.net.is_silent(vm) || self.net.is_silent(&self.own) {
            sleep(time).await;
            return Err(LinkError::Timeout);
        }
        let ignores_leases = self.net.ignores_leases.load(Relaxed);
        // A router completes a request even if the requester gives up.
        let work = tokio::spawn(async move {
            sleep(ONE_WAY_DELAY).await;
            match kind {
                request::Kind::Reserve(mut ask) => {
                    if ignores_leases {
                        ask.lease = None;
                    }
                    let reserved = endpoint.reservations.reserve(&endpoint.quotas, &ask).await;
                    reply::Kind::Reserved(reserved)
                }
                request::Kind::Release(release) => {
                    let reports = release.ended.iter().filter(|ended| ended.held.is_some());
                    assert!(
                        !ignores_leases || reports.count() == 0,
                        "a report of a lease"
                    );
                    endpoint
                        .reservations
                        .release(release.process, &release.ended);
                    reply::Kind::Released(Released::default())
                }
                other => panic!("not asked of routers here: {other:?}"),
            }
        });
        let answer = work.await.map_err(|_panic| LinkError::Lost)?;
        if self.net.loses_answers.load(Relaxed) && rand::rng().random_bool(0.2) {
            sleep(time).await;
            return Err(LinkError::Timeout);
        }
        sleep(ONE_WAY_DELAY).await;
        self.net.seen.lock().expect("a lock").insert(seen.0, seen.1);
        Ok(answer)
    }
}

#[async_trait]
impl LastSeen for Net {
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration> {
        let (steady, asked) = *self.seen.lock().expect("a lock").get(&process)?;
        let reading = ClockReading { steady, asked: 0 };
        let now = u64::try_from(asked.elapsed().as_millis()).ok()?;
        Some(reading.since(stamp, now))
    }
}

/// A running router.
pub(crate) struct Vm {
    pub(crate) quotas: Arc<QuotaTable>,
    pub(crate) claims: Claims,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) counters: LeaseCounters,
    reservations: Arc<PeerReservations>,
    releases: JoinHandle<()>,
}

/// A fleet with its store and its clocks.
pub(crate) struct Fleet {
    pub(crate) net: Arc<Net>,
    pub(crate) store: Arc<MemStore>,
    pub(crate) vms: Vec<Vm>,
    clocks: Vec<Arc<TestClock>>,
    config: Config,
    processes: u64,
}

impl Fleet {
    /// Starts `count` routers.
    pub(crate) fn start(count: usize, config: Config) -> Self {
        let mut fleet = Self {
            net: Arc::default(),
            store: Arc::new(MemStore::new()),
            vms: Vec::new(),
            clocks: (0..count).map(|_| TestClock::new()).collect(),
            config,
            processes: 0,
        };
        for vm in 0..count {
            let started = fleet.open(vm);
            fleet.vms.push(started);
        }
        fleet
    }

    fn open(&mut self, vm: usize) -> Vm {
        self.processes += 1;
        let process = self.processes;
        let clock = Arc::clone(&self.clocks[vm]);
        let record = MemberRecord {
            started_ms: swiftlink_gateway::clock::Clock::read(&*clock).wall,
            ..MemberRecord::default()
        };
        let record = Bytes::from(record.encode_to_vec());
        self.store
            .put(Feed::Members(0), name(vm).as_str(), Some(record));
        let members = members(self.clocks.len());
        let placement = Placement::new(name(vm), members, Instant::now());
        let quotas = Arc::new(QuotaTable::new(placement, 12, clock));
        quotas.set_config(&self.config);
        let store: Arc<dyn Store> = Arc::clone(&self.store) as Arc<dyn Store>;
        let last_seen = Arc::clone(&self.net) as Arc<dyn LastSeen>;
        let claims = Claims::spawn(&quotas, &store, last_seen, &name(vm), process);
        let links = Links {
            net: Arc::clone(&self.net),
            own: name(vm),
        };
        let counters = LeaseCounters::default();
        let reserver = Reserver::new(
            Arc::clone(&quotas),
            Arc::new(links),
            process,
            counters.clone(),
        );
        let endpoint = Endpoint {
            process,
            quotas: Arc::clone(&quotas),
            reservations: Arc::default(),
        };
        let reservations = Arc::clone(&endpoint.reservations);
        let mut all = self.net.endpoints.lock().expect("a lock");
        all.insert(name(vm), Arc::new(endpoint));
        Vm {
            quotas,
            claims,
            releases: tokio::spawn(Arc::clone(&reserver).run()),
            reserver,
            counters,
            reservations,
        }
    }

    /// Kills a router without a shutdown; its VM may lose power.
    pub(crate) fn kill(&mut self, vm: usize, loses_power: bool) {
        self.vms[vm].claims.abort();
        self.vms[vm].releases.abort();
        self.net.endpoints.lock().expect("a lock").remove(&name(vm));
        if loses_power {
            self.clocks[vm].lose_power(0);
        }
    }

    /// Restarts a router that was killed.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.vms[vm] = self.open(vm);
    }

    /// VMs that hold the account of a workspace.
    pub(crate) fn holders(&self, workspace: usize) -> Vec<usize> {
        let workspace = WorkspaceName::from(format!("w{workspace}"));
        let vms = (0..self.vms.len()).filter(|vm| {
            let placement = self.vms[*vm].quotas.placement();
            placement.is_placed(&workspace)
        });
        vms.collect()
    }
}

impl Vm {
    /// Tokens of a workspace that this router lends to others.
    pub(crate) fn lent(&self, workspace: usize) -> u64 {
        self.reservations.lent(&self.quota(workspace).workspace)
    }

    pub(crate) fn quota(&self, workspace: usize) -> Arc<LocalQuota> {
        let workspace = WorkspaceName::from(format!("w{workspace}"));
        self.quotas.get(&workspace).expect("quota of the workspace")
    }

    /// Reserves tokens for a request of the workspace.
    pub(crate) async fn reserve(
        &self,
        workspace: usize,
        usage: Usage,
    ) -> Result<Reservation, QuotaError> {
        let reserved = self.try_reserve(workspace, usage).await;
        reserved.map_err(|error| error.reason)
    }

    /// As [`Self::reserve`], with the details of a refusal.
    pub(crate) async fn try_reserve(
        &self,
        workspace: usize,
        usage: Usage,
    ) -> Result<Reservation, ReserveError> {
        let timeouts = Timeouts {
            wait: Duration::from_millis(100),
            request: Duration::from_secs(6),
        };
        let quota = self.quota(workspace);
        self.reserver.reserve(&quota, usage, timeouts).await
    }
}
