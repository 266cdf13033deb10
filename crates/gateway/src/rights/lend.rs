//! Rights that routers lend to each other.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::{Level, event};
use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::link::{Borrow, Lent, reply, request};
use tokio::time::sleep;

use super::book::Book;
use super::books::Books;
use crate::peers::Peers;

/// Time that a claim has before a peer is asked: it takes 10 ms while the store answers.
const CLAIM_TIME: Duration = Duration::from_millis(25);
/// Longest time for a peer's answer, and for a new connection to it.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Most peers that are asked for one workspace at a time.
const ASKED: usize = 8;
/// Multiple of what is missing that is asked for: more requests come.
const AHEAD: Tokens = 6;

/// Lends to another router.
pub(crate) fn lend(books: &Books, peer: &str, ask: &Borrow) -> reply::Kind {
    let workspace = WorkspaceName::from(ask.workspace.as_str());
    let book = books.get(&workspace);
    let amount = book.map_or(0, |book| book.lend(ask.amount, ask.need));
    event!(
        level(amount),
        "rights.lent",
        workspace = workspace,
        peer = peer,
        asked = ask.amount,
        amount = amount,
    );
    reply::Kind::Lent(Lent { amount })
}

/// Routers that run short ask again and again; only what moves is told.
fn level(amount: Tokens) -> Level {
    if amount == 0 {
        Level::Debug
    } else {
        Level::Info
    }
}

/// Borrows where requests wait, until the task is aborted.
pub async fn run(books: Arc<Books>, peers: Arc<Peers>) {
    let lacking = books.lacking();
    loop {
        lacking.notified().await;
        sleep(CLAIM_TIME).await;
        for book in books.all() {
            let short = book.take_short();
            if short > book.grant.available() {
                borrow(&book, &peers, short).await;
            }
        }
    }
}

/// Asks the routers that held most until there is enough.
async fn borrow(book: &Book, peers: &Peers, short: Tokens) {
    let wanted = short * AHEAD;
    let mut got = 0;
    for lender in book.lenders().iter().take(ASKED) {
        let ask = Borrow {
            workspace: book.workspace.to_string(),
            amount: wanted - got,
            need: short.saturating_sub(got),
        };
        let kind = request::Kind::Borrow(ask);
        match peers.call(&lender.vm, kind, ANSWER_TIME).await {
            Ok(reply::Kind::Lent(lent)) => {
                let amount = lent.amount.min(wanted - got);
                book.borrow(amount);
                if amount < wanted - got {
                    book.is_drained(&lender.vm);
                }
                got += amount;
                event!(
                    level(amount),
                    "rights.borrowed",
                    workspace = book.workspace,
                    peer = lender.vm,
                    amount = amount,
                );
            }
            Ok(_) => event!(
                warn,
                "rights.not_lent",
                peer = lender.vm,
                reason = "wrong reply"
            ),
            Err(error) => {
                event!(
                    info,
                    "rights.not_lent",
                    peer = lender.vm,
                    workspace = book.workspace,
                    reason = error,
                );
            }
        }
        if got >= short && got >= wanted / 2 {
            return;
        }
    }
}
