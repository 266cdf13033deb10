//! Other routers of the fleet, and calls to them.
//!
//! Routers find each other in the members' feed of the store, in which each failure domain has its
//! partition. The secret of their links is drawn by one of them and stands on the store too.

mod follower;
mod register;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use rand::seq::IteratorRandom;
use swiftlink_link::{Client, LinkError, Secret};
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, VmName};
use swiftlink_wire::link::{GetFeed, GetSeen, Seen, reply, request};
use swiftlink_wire::rights::Member as MemberRecord;
use tokio::sync::watch as channel;
use tokio::time::{Instant, timeout};

use crate::clock::Clock;
use crate::notes;
use crate::peer_clocks::{ClockReading, PeerClocks};
use crate::quarantine::ranking;
use crate::rights::holders::Member;
use crate::rights::{Calls, Witness};
use crate::store::Feed;
use crate::watch::{Heard, Others, Told, Upstreams, copies};

pub(crate) use follower::Follower;
pub(crate) use register::{member, register, starts};

/// Key of the links' secret; no VM's name has a slash.
const SECRET_KEY: &str = "links/secret";
/// Links that are kept open at a time: those to the routers that hold accounts, and some more.
/// A link takes a descriptor at each end and a few kilobytes.
const LINKS: usize = 64;
/// How long after its own registration a router of a fleet that starts for the first time takes the
/// members as complete: its VMs start within a few tenths of a second and need some more to register.
const SETTLE: Duration = Duration::from_secs(1);
/// Longest time for a connection to a peer and its answer, each, at the start: peers of a
/// region answer in a few milliseconds.
const SEEN_TIME: Duration = Duration::from_millis(100);
/// Longest time for a connection to a peer and for its answer, each, about a feed: peers of a region
/// answer in a few milliseconds, and the store is asked next.
const TELL_TIME: Duration = Duration::from_millis(100);
/// Longest time at the start until the members of the fleet are known: two calls of the store.
const KNOWN_TIME: Duration = Duration::from_millis(300);

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    vm: VmName,
    /// Failure domain of the VM.
    domain: DomainName,
    /// Other routers, and where each listens.
    members: Mutex<HashMap<VmName, (Member, SocketAddr)>>,
    links: Mutex<HashMap<SocketAddr, Arc<Client>>>,
    secret: channel::Sender<Option<Secret>>,
    /// Routers that hold accounts for others; empty in a small fleet.
    holders: Mutex<Vec<VmName>>,
    /// Whom this router follows feeds by, once it knows the members of its failure domain.
    tree: Mutex<Option<Upstreams>>,
    /// Partitions of the members' feed, the own one first, and when each was known last.
    parts: Vec<u32>,
    known: Mutex<HashMap<u32, Instant>>,
    /// Whether the whole fleet starts for the first time.
    is_first_start: bool,
    /// When this router was known to be among the members.
    registered: OnceLock<Instant>,
    /// Members that the placement of accounts is made from.
    placed: Mutex<Vec<Member>>,
    /// Whether members came since.
    is_due: AtomicBool,
    clock: Arc<dyn Clock>,
    peer_clocks: Arc<PeerClocks>,
}

impl Peers {
    /// A router on `vm` in `domain` that knows no others. What their answers tell of their clocks goes to
    /// `peer_clocks`.
    #[must_use]
    pub fn new(
        vm: VmName,
        domain: DomainName,
        clock: Arc<dyn Clock>,
        peer_clocks: Arc<PeerClocks>,
    ) -> Self {
        Self {
            vm,
            domain,
            holders: Mutex::default(),
            tree: Mutex::default(),
            parts: vec![0],
            known: Mutex::default(),
            is_first_start: false,
            registered: OnceLock::new(),
            placed: Mutex::default(),
            is_due: AtomicBool::new(true),
            clock,
            peer_clocks,
            members: Mutex::default(),
            links: Mutex::default(),
            secret: channel::Sender::new(None),
        }
    }

    /// The same in a fleet whose members are in these partitions of their feed, its own one first.
    #[must_use]
    pub fn with_parts(mut self, parts: Vec<u32>, is_first_start: bool) -> Self {
        self.parts = parts;
        self.is_first_start = is_first_start;
        self
    }

    /// This router is among the members.
    fn note_registered(&self) {
        // Said once.
        let _again = self.registered.set(Instant::now());
    }

    fn learn_secret(&self, value: &Bytes) {
        let text = String::from_utf8_lossy(value);
        self.secret.send_replace(Some(Secret::new(text)));
    }

    /// Whether the members in a partition are known. In a fleet that starts for the first time others may
    /// register a moment later than this router.
    fn is_known(&self, part: &u32) -> bool {
        let Some(at) = lock(&self.known).get(part).copied() else {
            return false;
        };
        let registered = self.registered.get();
        if !self.is_first_start {
            return true;
        }
        // Those that told it had as much time by then.
        registered.is_some_and(|registered| {
            at >= *registered + SETTLE || registered.elapsed() >= SETTLE * 2
        })
    }

    /// Resolves once the secret of the links is known.
    pub async fn secret(&self) -> Option<Secret> {
        let mut known = self.secret.subscribe();
        let known = known.wait_for(Option::is_some).await.ok()?;
        known.clone()
    }

    /// Calls the router on `vm`, and waits for a connection to it for the same time.
    ///
    /// # Errors
    /// [`LinkError::Down`] when it isn't known or can't be reached: nothing was sent.
    pub(crate) async fn call_up(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let client = self.link(vm).ok_or(LinkError::Down)?;
        if !client.wait_up(time).await {
            return Err(LinkError::Down);
        }
        self.call(vm, kind, time).await
    }

    /// All other routers that are known.
    pub(crate) fn all(&self) -> Vec<VmName> {
        lock(&self.members).keys().cloned().collect()
    }

    /// Whether the fleet is so large that not every router is told everything.
    pub(crate) fn is_large(&self) -> bool {
        lock(&self.members).len() > notes::TOLD
    }

    /// The routers that are told of ends of servers, in this order: all others of a small fleet,
    /// the candidates of a large one.
    pub(crate) fn observers(&self) -> Vec<VmName> {
        let mut observers = self.all_observers();
        observers.retain(|vm| *vm != self.vm);
        observers
    }

    /// Whether this router is one of those that others tell of ends.
    pub(crate) fn is_observer(&self) -> bool {
        self.all_observers().contains(&self.vm)
    }

    fn all_observers(&self) -> Vec<VmName> {
        let members = lock(&self.members);
        let others = members
            .values()
            .map(|(member, _)| (member.vm.clone(), member.domain.clone()));
        let all = others.chain([(self.vm.clone(), self.domain.clone())]);
        if members.len() <= notes::TOLD {
            return all.map(|(vm, _)| vm).collect();
        }
        ranking(all.collect())
    }

    /// So many of the other routers, drawn anew each time.
    pub(crate) fn some(&self, count: usize) -> Vec<VmName> {
        let members = lock(&self.members);
        members.keys().cloned().sample(&mut rand::rng(), count)
    }

    /// One of the other routers, drawn anew each time; in a large fleet one of those that hold
    /// accounts, to which there are links.
    fn any(&self) -> Option<VmName> {
        let mut vms = lock(&self.holders).clone();
        if vms.is_empty() {
            vms = self.all();
        }
        vms.retain(|vm| *vm != self.vm);
        let drawn = rand::random_range(0..vms.len().max(1));
        vms.into_iter().nth(drawn)
    }

    /// What a router on `vm` knows of a process.
    async fn ask_seen(&self, vm: &VmName, process: u64) -> Option<Seen> {
        let kind = request::Kind::GetSeen(GetSeen { process });
        match self.call_up(vm, kind, SEEN_TIME).await {
            Ok(reply::Kind::Seen(seen)) => Some(seen),
            Ok(_) => {
                event!(warn, "peer.wrong_reply", peer = vm);
                None
            }
            Err(error) => {
                event!(info, "peer.not_asked", peer = vm, reason = error);
                None
            }
        }
    }

    fn link(&self, vm: &VmName) -> Option<Arc<Client>> {
        let secret = self.secret.borrow().clone()?;
        let address = lock(&self.members).get(vm)?.1;
        let mut links = lock(&self.links);
        if let Some(client) = links.get(&address) {
            return Some(Arc::clone(client));
        }
        if links.len() >= LINKS {
            // Any one will do: they are opened again in a millisecond or two.
            let oldest = links.keys().next().copied();
            oldest.and_then(|address| links.remove(&address));
        }
        let client = Client::spawn(address, self.vm.as_str(), secret);
        links.insert(address, Arc::clone(&client));
        Some(client)
    }

    fn learn(&self, key: &str, value: &Bytes) {
        let record = match MemberRecord::decode(value.clone()) {
            Ok(record) => record,
            Err(error) => {
                event!(error, "peer.unreadable", key = key, error = error);
                return;
            }
        };
        let vm = VmName::from(key);
        if vm == self.vm {
            return;
        }
        let Ok(address) = record.address.parse() else {
            event!(
                error,
                "peer.unreadable",
                key = key,
                address = record.address
            );
            return;
        };
        // Only their number is told at a start: there are hundreds in a large fleet.
        event!(debug, "peer.listed", vm = vm, address = address);
        let member = Member {
            vm: vm.clone(),
            domain: DomainName::from(record.domain),
            strength: record.strength.max(1),
        };
        lock(&self.members).insert(vm, (member, address));
    }

    /// All members of the fleet that are known, this router among them.
    fn members(&self, own: Member) -> Vec<Member> {
        let members = lock(&self.members);
        let others = members.values().map(|(member, _)| member.clone());
        others.chain([own]).collect()
    }
}

#[async_trait]
impl Calls for Peers {
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let client = self.link(vm).ok_or(LinkError::Down)?;
        let asked = self.clock.steady();
        let reply = client.call(kind, time).await?;
        if let Some((process, steady)) = told_clock(&reply) {
            self.peer_clocks
                .record(process, ClockReading { steady, asked });
        }
        Ok(reply)
    }
}

/// The process that replied, and its steady clock, where the reply tells.
fn told_clock(reply: &reply::Kind) -> Option<(u64, u64)> {
    match reply {
        reply::Kind::Noted(noted) => Some((noted.process, noted.steady_ms)),
        reply::Kind::Reserved(reserved) => Some((reserved.process, reserved.steady_ms)),
        reply::Kind::Released(released) => Some((released.process, released.steady_ms)),
        _ => None,
    }
}

#[async_trait]
impl Witness for Peers {
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration> {
        // The routers to ask are known with the secret of their links.
        if timeout(KNOWN_TIME, self.secret()).await.is_err() {
            return None;
        }
        let mut vms = lock(&self.holders).clone();
        if vms.is_empty() {
            vms = self.all();
            vms.truncate(notes::TOLD);
        }
        let asked = vms.iter().map(|vm| self.ask_seen(vm, process));
        let answers = join_all(asked).await;
        let seen = answers.into_iter().flatten().filter_map(|seen| {
            let sighting = ClockReading {
                steady: seen.steady_ms?,
                asked: 0,
            };
            Some(sighting.since(stamp, seen.age_ms))
        });
        seen.min()
    }
}

#[async_trait]
impl Others for Peers {
    async fn tell(&self, feed: Feed, from: u64) -> Option<Told> {
        let question = copies::question(feed, from)?;
        let vm = self.any()?;
        let kind = request::Kind::GetFeed(question);
        match self.call_up(&vm, kind, TELL_TIME).await {
            Ok(reply::Kind::FeedRecords(answer)) => Some(copies::heard(answer).told),
            Ok(_) => {
                event!(warn, "peer.wrong_reply", peer = vm);
                None
            }
            Err(error) => {
                event!(debug, "feed.not_told", peer = vm, reason = error);
                None
            }
        }
    }

    fn upstreams(&self, feed: Feed) -> Option<Upstreams> {
        let tree = lock(&self.tree).clone();
        let Feed::Members(part) = feed else {
            return tree;
        };
        match tree {
            Some(tree) if tree.is_leaf => Some(tree),
            // Who watches has to know those of other domains, to know by whom.
            Some(tree) => Some(Upstreams {
                is_followed: tree.is_followed,
                ..Upstreams::default()
            }),
            // From its own domain's members each router knows whom to ask for all else.
            None if self.parts.first() == Some(&part) => Some(Upstreams::default()),
            None => None,
        }
    }

    fn is_settled(&self) -> bool {
        self.parts.iter().all(|part| self.is_known(part))
    }

    async fn follow(&self, vm: &VmName, question: GetFeed, time: Duration) -> Option<Heard> {
        let client = self.link(vm)?;
        if !client.wait_up(TELL_TIME).await {
            return None;
        }
        match self.call(vm, request::Kind::GetFeed(question), time).await {
            Ok(reply::Kind::FeedRecords(answer)) => Some(copies::heard(answer)),
            Ok(_) => {
                event!(warn, "peer.wrong_reply", peer = vm);
                None
            }
            Err(error) => {
                event!(debug, "feed.not_followed", peer = vm, reason = error);
                None
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Maps are whole between any two calls.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
