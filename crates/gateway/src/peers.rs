//! Other routers of the fleet, and calls to them.
//!
//! Routers find each other in the members' feed of the store. The secret of their links
//! is drawn by the first of them and stands there too.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use swiftlink_link::{Client, LinkError, Secret};
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::link::{GetSeen, Seen, reply, request};
use swiftlink_wire::rights::Member;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::node::Node;
use crate::notes;
use crate::rights::Witness;
use crate::settings::RouterSettings;
use crate::sightings::Sighting;
use crate::store::{Feed, Record, Store, StoreError};
use crate::watch::{Follow, News};

/// Key of the links' secret; no VM's name has a slash.
const SECRET_KEY: &str = "links/secret";
/// Bytes of the secret before its hexadecimal form.
const SECRET_BYTES: usize = 24;
/// Links that are kept open at a time.
const LINKS: usize = 16;
/// Longest time for a connection to a peer and its answer, each, at the start: peers of a
/// region answer in a few milliseconds.
const SEEN_TIME: Duration = Duration::from_millis(100);
/// First pause after a registration failed.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest pause.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    vm: VmName,
    addresses: Mutex<HashMap<VmName, SocketAddr>>,
    links: Mutex<HashMap<SocketAddr, Arc<Client>>>,
    secret: watch::Sender<Option<Secret>>,
}

impl Peers {
    /// A router on `vm` that knows no others.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            addresses: Mutex::default(),
            links: Mutex::default(),
            secret: watch::Sender::new(None),
        }
    }

    /// Resolves once the secret of the links is known.
    pub async fn secret(&self) -> Option<Secret> {
        let mut known = self.secret.subscribe();
        let known = known.wait_for(Option::is_some).await.ok()?;
        known.clone()
    }

    /// Calls the router on `vm`.
    ///
    /// # Errors
    /// [`LinkError::Down`] when it isn't known or can't be reached: nothing was sent.
    pub async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let client = self.link(vm).ok_or(LinkError::Down)?;
        if !client.wait_up(time).await {
            return Err(LinkError::Down);
        }
        client.call(kind, time).await
    }

    /// Calls the router on `vm` if there is a connection to it; opens one else.
    ///
    /// # Errors
    /// [`LinkError::Down`] when there is none: nothing was sent.
    pub(crate) async fn tell(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let client = self.link(vm).ok_or(LinkError::Down)?;
        client.call(kind, time).await
    }

    /// All other routers that are known.
    pub(crate) fn all(&self) -> Vec<VmName> {
        lock(&self.addresses).keys().cloned().collect()
    }

    /// What a router on `vm` knows of a process.
    async fn ask_seen(&self, vm: &VmName, process: u64) -> Option<Seen> {
        let kind = request::Kind::GetSeen(GetSeen { process });
        match self.call(vm, kind, SEEN_TIME).await {
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
        let address = *lock(&self.addresses).get(vm)?;
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
        if key == SECRET_KEY {
            let text = String::from_utf8_lossy(value);
            self.secret.send_replace(Some(Secret::new(text)));
            return;
        }
        let address = match Member::decode(value.clone()) {
            Ok(member) => member.address.parse().ok(),
            Err(error) => {
                event!(error, "peer.unreadable", key = key, error = error);
                None
            }
        };
        let vm = VmName::from(key);
        let Some(address) = address else {
            return;
        };
        if vm == self.vm {
            return;
        }
        event!(info, "peer.listed", vm = vm, address = address);
        lock(&self.addresses).insert(vm, address);
    }
}

#[async_trait]
impl Witness for Peers {
    async fn since(&self, process: u64, stamp: u64) -> Option<Duration> {
        let vms = self.all();
        if vms.len() > notes::TOLD {
            // Routers of large fleets don't see each other.
            return None;
        }
        let asked = vms.iter().map(|vm| self.ask_seen(vm, process));
        let answers = join_all(asked).await;
        let seen = answers.into_iter().flatten().filter_map(|seen| {
            let sighting = Sighting {
                steady: seen.steady_ms?,
                asked: 0,
            };
            Some(sighting.since(stamp, seen.age_ms))
        });
        seen.min()
    }
}

/// Takes news of the members' feed.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) peers: Arc<Peers>,
    pub(crate) node: Arc<Node>,
}

impl Follow for Follower {
    fn take(&mut self, news: News) {
        for change in &news.changes {
            if let Some(value) = &change.value {
                self.peers.learn(&change.key, value);
            }
        }
        self.tell();
    }

    fn regained(&mut self) {}

    fn tick(&mut self) {
        // Pools that were declared since the last member came need it too.
        self.tell();
    }
}

impl Follower {
    fn tell(&self) {
        let routers = lock(&self.peers.addresses).len() + 1;
        self.node.pools.set_routers(routers, &self.node.settings);
        self.node.books.set_fleet(routers);
    }
}

/// When the routers on other VMs than `own` started last, by the members' records.
pub(crate) fn starts(records: &[Record], own: &VmName) -> Vec<u64> {
    let others = records
        .iter()
        .filter(|record| record.key != own.as_str() && record.key != SECRET_KEY);
    let members = others.filter_map(|record| Member::decode(record.value.clone()?).ok());
    members.map(|member| member.started_ms).collect()
}

/// Writes this router into the members' feed, and the secret if there is none.
pub(crate) async fn register(
    store: Arc<dyn Store>,
    settings: RouterSettings,
    process: u64,
    started: u64,
) {
    let member = Member {
        process,
        address: settings.peers.to_string(),
        domain: settings.domain.to_string(),
        started_ms: started,
    };
    let mut backoff = BACKOFF;
    loop {
        match try_register(&*store, &settings.vm, &member).await {
            Ok(()) => return,
            Err(error) => event!(info, "peer.not_registered", error = error),
        }
        sleep(backoff.mul_f64(rand::random())).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn try_register(store: &dyn Store, vm: &VmName, member: &Member) -> Result<(), StoreError> {
    let record = (vm.to_string(), Bytes::from(member.encode_to_vec()));
    let producer = format!("{vm}/{:016x}", member.process);
    store
        .append_next(Feed::Members, &producer, 1, record)
        .await?;
    let page = store.newest(Feed::Members).await?;
    if page.records.iter().any(|record| record.key == SECRET_KEY) {
        return Ok(());
    }
    let secret = (SECRET_KEY.to_owned(), draw_secret());
    store.append_at(Feed::Members, page.end, &[secret]).await?;
    Ok(())
}

fn draw_secret() -> Bytes {
    let drawn: [u8; SECRET_BYTES] = rand::random();
    let text: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    Bytes::from(text)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Maps are whole between any two calls.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
