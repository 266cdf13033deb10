//! A fleet of routers in one process: a store in memory, and links that delay, lose answers
//! and fall silent as told. Time is paused.

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
use swiftlink_gateway::rights::holders::{Member, Placement};
use swiftlink_gateway::rights::{
    Book, Books, Calls, Claims, Missing, NoRights, Patience, Remote, Reservations, Spend, Witness,
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

/// One way between two routers, with their work on a message.
const WAY: Duration = Duration::from_millis(2);
/// VMs with more processor time than others come first; there is one in so many.
const STRONG_EACH: usize = 16;

/// Members of a fleet of `count` VMs in six failure domains.
pub(crate) fn members(count: usize) -> Vec<Member> {
    let member = |vm: usize| Member {
        vm: name(vm),
        domain: DomainName::from(format!("domain{}", vm % 6)),
        strength: if vm < (count / STRONG_EACH).max(6) {
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

/// What a router answers to others with.
#[derive(Debug)]
struct Ends {
    process: u64,
    books: Arc<Books>,
    reservations: Arc<Reservations>,
}

/// The links of all routers.
#[derive(Debug, Default)]
pub(crate) struct Net {
    ends: Mutex<HashMap<VmName, Arc<Ends>>>,
    /// Routers that answer nothing, and whose callers notice by a time-out only.
    silent: Mutex<HashSet<VmName>>,
    /// When each process was last heard of, and what its clock showed when it was asked.
    seen: Mutex<HashMap<u64, (u64, Instant)>>,
    /// Whether some answers are lost after the work was done.
    pub(crate) loses: AtomicBool,
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
impl Calls for Links {
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let ends = self.net.ends.lock().expect("a lock").get(vm).cloned();
        let ends = ends.ok_or(LinkError::Down)?;
        let steady = ends.books.clock().steady();
        let seen = (ends.process, (steady, Instant::now()));
        if self.net.is_silent(vm) || self.net.is_silent(&self.own) {
            sleep(time).await;
            return Err(LinkError::Timeout);
        }
        // A router goes on with what it was asked when the asker gives up.
        let work = tokio::spawn(async move {
            sleep(WAY).await;
            match kind {
                request::Kind::Reserve(ask) => {
                    let reserved = ends.reservations.reserve(&ends.books, &ask).await;
                    reply::Kind::Reserved(reserved)
                }
                request::Kind::Release(release) => {
                    ends.reservations.release(release.process, &release.ended);
                    reply::Kind::Released(Released::default())
                }
                other => panic!("not asked of routers here: {other:?}"),
            }
        });
        let answer = work.await.map_err(|_panic| LinkError::Lost)?;
        if self.net.loses.load(Relaxed) && rand::rng().random_bool(0.2) {
            sleep(time).await;
            return Err(LinkError::Timeout);
        }
        sleep(WAY).await;
        self.net.seen.lock().expect("a lock").insert(seen.0, seen.1);
        Ok(answer)
    }
}

#[async_trait]
impl Witness for Net {
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration> {
        let (steady, asked) = *self.seen.lock().expect("a lock").get(&process)?;
        let sighting = ClockReading { steady, asked: 0 };
        let now = u64::try_from(asked.elapsed().as_millis()).ok()?;
        Some(sighting.since(stamp, now))
    }
}

/// A running router.
pub(crate) struct Vm {
    pub(crate) books: Arc<Books>,
    pub(crate) claims: Claims,
    remote: Arc<Remote>,
    releases: JoinHandle<()>,
}

/// A fleet, its store and its clocks.
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
        let books = Arc::new(Books::new(placement, 12, clock));
        books.set_config(&self.config);
        let store: Arc<dyn Store> = Arc::clone(&self.store) as Arc<dyn Store>;
        let witness = Arc::clone(&self.net) as Arc<dyn Witness>;
        let claims = Claims::spawn(&books, &store, witness, &name(vm), process);
        let links = Links {
            net: Arc::clone(&self.net),
            own: name(vm),
        };
        let remote = Remote::new(Arc::clone(&books), Arc::new(links), process);
        let ends = Ends {
            process,
            books: Arc::clone(&books),
            reservations: Arc::default(),
        };
        let mut all = self.net.ends.lock().expect("a lock");
        all.insert(name(vm), Arc::new(ends));
        Vm {
            books,
            claims,
            releases: tokio::spawn(Arc::clone(&remote).run()),
            remote,
        }
    }

    /// Ends a router without a last word; its VM may lose power.
    pub(crate) fn kill(&mut self, vm: usize, loses_power: bool) {
        self.vms[vm].claims.abort();
        self.vms[vm].releases.abort();
        self.net.ends.lock().expect("a lock").remove(&name(vm));
        if loses_power {
            self.clocks[vm].lose_power(0);
        }
    }

    /// Starts a router that was killed.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.vms[vm] = self.open(vm);
    }

    /// VMs that the account of a workspace is placed on.
    pub(crate) fn holders(&self, workspace: usize) -> Vec<usize> {
        let workspace = WorkspaceName::from(format!("w{workspace}"));
        let vms = (0..self.vms.len()).filter(|vm| {
            let placement = self.vms[*vm].books.placement();
            placement.is_placed(&workspace)
        });
        vms.collect()
    }
}

impl Vm {
    fn book(&self, workspace: usize) -> Arc<Book> {
        let workspace = WorkspaceName::from(format!("w{workspace}"));
        self.books.get(&workspace).expect("a book")
    }

    /// Reserves for a request of the workspace.
    pub(crate) async fn reserve(&self, workspace: usize, usage: Usage) -> Result<Spend, NoRights> {
        let reserved = self.try_reserve(workspace, usage).await;
        reserved.map_err(|missing| missing.refusal)
    }

    /// The same, and why it gets none.
    pub(crate) async fn try_reserve(
        &self,
        workspace: usize,
        usage: Usage,
    ) -> Result<Spend, Missing> {
        let patience = Patience {
            wait: Duration::from_millis(100),
            time: Duration::from_secs(6),
        };
        let book = self.book(workspace);
        self.remote.reserve(&book, usage, patience).await
    }
}
