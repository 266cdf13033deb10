//! Data that the daemon gets from ledgers: budgets and, during a log outage, the configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use serde_json::{Value, json};
use swiftlink_link::{Handler, Replies, Secret, Server};
use swiftlink_log::{Fault, Log, MemLog};
use swiftlink_wire::link::{BudgetView, Budgets, Page, reply, request};

use crate::rig::{Rig, SECRET, class, config, put, snapshot_all};

/// A fake ledger with one budget; it lists a top-up once `counted` is set.
struct Ledger {
    counted: AtomicBool,
    log: Arc<MemLog>,
    /// Oldest retained offset.
    first: u64,
}

#[async_trait]
impl Handler for Ledger {
    async fn handle(&self, _peer: &str, request: request::Kind, replies: Replies) {
        let kind = match request {
            request::Kind::GetBudgets(_) => reply::Kind::Budgets(self.budgets()),
            request::Kind::Follow(follow) => {
                let from = follow.from.max(self.first);
                let read = self.log.read(&config(), from, 100, Duration::ZERO).await;
                let page = read.expect("this ledger reads the log");
                reply::Kind::Page(Page {
                    first: page.first,
                    next: page.next,
                    records: page.records,
                    age_ms: 7,
                })
            }
            _ => return,
        };
        let _closed = replies.send(kind, false).await;
    }
}

impl Ledger {
    fn budgets(&self) -> Budgets {
        let mut view = BudgetView {
            name: "notaries".to_owned(),
            ..BudgetView::default()
        };
        if self.counted.load(Ordering::SeqCst) {
            view.topped_up = 500;
            view.free = 500;
            view.top_ups.push("first".to_owned());
        }
        Budgets { items: vec![view] }
    }
}

fn serve(ledger: &Arc<Ledger>) -> (Server, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler = Arc::clone(ledger) as Arc<dyn Handler>;
    let server = Server::bind(listener, "ledger-1", Secret::new(SECRET), handler);
    (server.expect("serves"), address)
}

fn with_ledger(address: SocketAddr) -> Value {
    json!({
        "topup_ms": 300,
        "ledgers": [{ "name": "ledger-1", "address": address, "domain": "rennes-a" }],
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_topup_is_effective_once_a_ledger_credits_it() {
    let log = Arc::new(MemLog::new());
    let ledger = Arc::new(Ledger {
        counted: AtomicBool::new(false),
        log: Arc::clone(&log),
        first: 0,
    });
    let (server, address) = serve(&ledger);
    let rig = Rig::start(&log, &with_ledger(address)).await;
    while rig.client.budget("notaries").await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let topup = |name| {
        put(
            "topup",
            name,
            None,
            json!({ "budget": "notaries", "amount": 500 }),
        )
    };
    let changes = vec![put("budget", "notaries", None, json!({})), topup("first")];
    let applied = rig.apply(changes).await.expect("accepted");
    assert_eq!(applied.results[0].effective, None);
    assert_eq!(applied.results[1].effective, Some(false));

    ledger.counted.store(true, Ordering::SeqCst);
    let id = applied.id.clone();
    let request = crate::rig::request(vec![topup("first")]);
    let again = rig
        .client
        .apply(&request, &id, true)
        .await
        .expect("accepted before");
    assert_eq!(again.results[0].effective, Some(true));
    let budget = rig.client.budget("notaries").await.expect("known");
    assert_eq!(
        (budget.topped_up, budget.ledger.as_str()),
        (500, "ledger-1")
    );
    rig.operator.stop().await;
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ledger_provides_the_configuration_during_a_log_outage() {
    // The ledger can reach the log; this operator can't.
    let near = Arc::new(MemLog::new());
    let far = Arc::new(MemLog::new());
    far.set_fault(Fault::Outage);
    let writer = Rig::start(&near, &json!({})).await;
    writer
        .apply(vec![class("urgent", None, 4)])
        .await
        .expect("accepted");
    let ledger = Arc::new(Ledger {
        counted: AtomicBool::new(false),
        log: Arc::clone(&near),
        first: 0,
    });
    let (server, address) = serve(&ledger);
    let rig = Rig::start(&far, &with_ledger(address)).await;
    let shown = rig.client.get("class", "urgent").await.expect("shown");
    assert_eq!(shown.spec["weight"], 4);
    assert!(rig.apply(vec![class("other", None, 4)]).await.is_err());
    rig.operator.stop().await;
    writer.operator.stop().await;
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ledger_with_only_a_snapshot_is_enough_to_start_from() {
    let near = Arc::new(MemLog::new());
    let far = Arc::new(MemLog::new());
    far.set_fault(Fault::Outage);
    let writer = Rig::start(&near, &json!({})).await;
    for weight in 1..=3 {
        writer
            .apply(vec![class("urgent", None, weight)])
            .await
            .expect("accepted");
    }
    let first = snapshot_all(&near).await;
    near.trim(&config(), first);
    let ledger = Arc::new(Ledger {
        counted: AtomicBool::new(false),
        log: Arc::clone(&near),
        first,
    });
    let (server, address) = serve(&ledger);
    let rig = Rig::start(&far, &with_ledger(address)).await;
    let shown = rig.client.get("class", "urgent").await.expect("shown");
    assert_eq!((shown.version, &shown.spec["weight"]), (3, &json!(3)));
    rig.operator.stop().await;
    writer.operator.stop().await;
    server.stop().await;
}
