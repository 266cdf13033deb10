//! A fake handler, and a connected server and client, for the tests.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::{Client, Handler, Replies, Secret, Server};
use swiftlink_wire::link::{Page, Ping, Pong, Stored, reply, request};

/// Longer than any step of the tests takes, even on a busy machine.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of replies to a `Follow` whose `from` is not [`ENDLESS`].
pub const PAGES: u64 = 5;

/// Value of `from` for which a `Follow` never ends.
pub const ENDLESS: u64 = 1_000;

/// A handler whose behavior depends on the kind of the request.
///
/// `Ping` gets a pong, `Follow` gets pages, `Submit` gets one reply, which is the last if
/// its `wait_ms` is 0. `GetBudgets` waits until the request is cancelled and sends no
/// reply. `Settle` panics. All others drop their replies.
#[derive(Debug, Default)]
pub struct Fake {
    /// Number of handlers that saw their request cancelled.
    pub cancelled: AtomicU64,
    /// Number of requests of any kind.
    pub calls: AtomicU64,
}

#[async_trait]
impl Handler for Fake {
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies) {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match request {
            request::Kind::Ping(_) => {
                let pong = reply::Kind::Pong(Pong {
                    name: peer.to_owned(),
                    ..Pong::default()
                });
                let _closed = replies.send(pong, true).await;
            }
            request::Kind::Follow(follow) => self.send_pages(follow.from, replies).await,
            request::Kind::GetBudgets(_) => {
                replies.closed().await;
                self.cancelled.fetch_add(1, Ordering::SeqCst);
            }
            request::Kind::Submit(submit) => {
                let stored = reply::Kind::Stored(Stored::default());
                let _closed = replies.send(stored, submit.wait_ms == 0).await;
            }
            request::Kind::GetPending(_)
            | request::Kind::Reserve(_)
            | request::Kind::Release(_)
            | request::Kind::Notes(_)
            | request::Kind::GetFeed(_)
            | request::Kind::Ends(_)
            | request::Kind::Tally(_)
            | request::Kind::AskPermits(_)
            | request::Kind::DomainReport(_)
            | request::Kind::PoolReport(_)
            | request::Kind::StreamOrigins(_)
            | request::Kind::FindOrigin(_)
            | request::Kind::CopyOrigins(_)
            | request::Kind::GetSeen(_) => drop(replies),
            request::Kind::Settle(_) => panic!("intended by the test"),
        }
    }
}

impl Fake {
    async fn send_pages(&self, from: u64, replies: Replies) {
        let mut next = 0;
        while from == ENDLESS || next < PAGES {
            next += 1;
            let page = Page {
                next,
                ..Page::default()
            };
            let last = next == PAGES && from != ENDLESS;
            if replies.send(reply::Kind::Page(page), last).await.is_err() {
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }
}

pub fn secret() -> Secret {
    Secret::new("correct horse")
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn serve(listener: TcpListener) -> (Server, Arc<Fake>, SocketAddr) {
    let fake = Arc::new(Fake::default());
    let handler = Arc::clone(&fake) as Arc<dyn Handler>;
    let server = Server::bind(listener, "ledger-1", secret(), handler).expect("bound");
    let address = server.address();
    (server, fake, address)
}

pub async fn connect(address: SocketAddr) -> Arc<Client> {
    let client = Client::spawn(address, "router-1", secret());
    assert!(
        client.wait_up(LONG_TIMEOUT).await,
        "{:?}",
        client.last_error()
    );
    client
}

pub async fn pair() -> (Server, Arc<Fake>, Arc<Client>) {
    let (server, fake, address) = serve(listener());
    let client = connect(address).await;
    (server, fake, client)
}

pub fn ping() -> request::Kind {
    request::Kind::Ping(Ping {})
}
