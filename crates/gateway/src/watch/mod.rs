//! Follows the feeds of the store: the configuration and the entries of the backend servers.
//!
//! `reader` polls a feed and resynchronizes after trimmed history; `follow` decides when to
//! poll. `config`, `drained`, `rollout_orders` and `directory` apply the records. State never moves
//! back to an older version or an older entry. `replicas` serves the newest records of the feeds
//! to other routers, `tree` computes which routers a router of a large fleet follows, and
//! `upstream` follows them. `confirmation` says up to which moment the servers' feed was read. `earlier` fetches what a store that went back to a copy may lack. `subset` selects the servers of very large pools that a router
//! needs; `listed_versions` publishes the versions of all.

mod config;
mod confirmation;
mod directory;
mod drained;
mod earlier;
mod follow;
mod history;
mod last_starts;
mod listed_versions;
mod reader;
pub(crate) mod replicas;
mod returns;
mod rollout_orders;
mod subset;
mod tree;
mod upstream;

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::catalog::Catalog;
use crate::node::Node;
use crate::store::{Feed, Store};

pub use confirmation::Confirmation;
pub use directory::{Directory, EntryChange};
pub use drained::DrainedDomains;
pub(crate) use follow::{Follow, Relay, run as follow};
pub use reader::{Answer, Change, FeedUpdate, Reader};
pub use replicas::{PeerFeeds, PeerPage, PeerUpdate, Replicas, Upstreams};
pub use tree::upstreams;

/// Spawns the tasks that follow the feeds into `tasks`. Feeds are read from `peers` in a large
/// fleet and while the store is unreachable.
pub fn spawn(
    tasks: &mut JoinSet<()>,
    node: &Arc<Node>,
    store: &Arc<dyn Store>,
    catalog: &Arc<dyn Catalog>,
    peers: &Arc<dyn PeerFeeds>,
) {
    let relay = Relay {
        node: Arc::clone(node),
        peers: Arc::clone(peers),
    };
    let config = config::Follower::new(Arc::clone(node), Arc::clone(catalog));
    let reader = Reader::new(Feed::Config, Arc::clone(store));
    tasks.spawn(follow::run(reader, config, Some(relay.clone())));
    let servers = directory::Follower::new(Arc::clone(node), Arc::clone(catalog));
    let reader = Reader::new(Feed::Servers, Arc::clone(store));
    tasks.spawn(follow::run(reader, servers, Some(relay)));
}
