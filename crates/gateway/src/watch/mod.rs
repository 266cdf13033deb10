//! Follows the feeds of the store: the configuration, and the backend servers' entries.
//!
//! `follow` reads a feed by long polls and finds its way back after lost history;
//! `config` and `directory` say what a record changes. Nothing ever goes back to an
//! older version or an older entry.

mod config;
mod directory;
mod follow;

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::catalog::Catalog;
use crate::node::Node;
use crate::store::{Feed, Store};

pub use directory::Directory;
pub use follow::{Change, News, Reader};
pub(crate) use follow::{Follow, run as follow};

/// Starts the tasks that follow the feeds, in `tasks`.
pub fn spawn(
    tasks: &mut JoinSet<()>,
    node: &Arc<Node>,
    store: &Arc<dyn Store>,
    catalog: &Arc<dyn Catalog>,
) {
    let config = config::Follower::new(Arc::clone(node), Arc::clone(catalog));
    let reader = Reader::new(Feed::Config, Arc::clone(store));
    tasks.spawn(follow::run(reader, config));
    let servers = directory::Follower::new(Arc::clone(node), Arc::clone(catalog));
    let reader = Reader::new(Feed::Servers, Arc::clone(store));
    tasks.spawn(follow::run(reader, servers));
}
