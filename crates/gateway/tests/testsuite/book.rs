//! A router's rights in memory.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_gateway::dialect::Usage;
use swiftlink_gateway::model::{Config, RequestLimits, RouteTable, Workspace};
use swiftlink_gateway::rights::holders::Placement;
use swiftlink_gateway::rights::{Book, Books, NoRights, Reservations};
use swiftlink_types::WorkspaceName;
use swiftlink_wire::link::{Ended, Refusal, Reserve};
use tokio::time::Instant;

use crate::clock::TestClock;
use crate::net::{members, name};

/// A configuration with one workspace, `acme`.
pub(crate) fn config(prepaid: Option<u64>) -> Config {
    let workspace = Arc::new(Workspace {
        name: WorkspaceName::from("acme"),
        priority: None,
        allowed_regions: Vec::new(),
        prepaid,
    });
    Config {
        version: 1,
        routes: RouteTable::default(),
        pools: HashMap::new(),
        limits: RequestLimits { max_body: 1_000 },
        workspaces: HashMap::from([(workspace.name.clone(), workspace)]),
        keys: HashMap::new(),
    }
}

fn books() -> Books {
    let placement = Placement::new(name(0), members(5), Instant::now());
    Books::new(placement, 2, TestClock::new())
}

fn book() -> (Books, Arc<Book>) {
    let books = books();
    books.set_config(&config(Some(10_000)));
    let book = books.get(&WorkspaceName::from("acme")).expect("a book");
    (books, book)
}

const USAGE: Usage = Usage {
    prompt: 100,
    output: 50,
};

#[tokio::test]
async fn a_request_pays_its_prompt_and_what_was_delivered() {
    let (_books, book) = book();
    book.grant.credit(1_000);
    let mut spend = book.reserve(USAGE, Duration::ZERO).await.expect("rights");
    assert_eq!(book.standing().reserved, 150);
    spend.deliver(20);
    drop(spend);
    let standing = book.standing();
    assert_eq!((standing.charged, standing.reserved), (120, 0));
}

#[tokio::test]
async fn a_request_whose_caller_gets_nothing_pays_nothing() {
    let (_books, book) = book();
    book.grant.credit(1_000);
    let spend = book.reserve(USAGE, Duration::ZERO).await.expect("rights");
    assert_eq!(spend.spent(), 0);
    drop(spend);
    assert_eq!(book.standing().charged, 0);
    assert_eq!(book.grant.available(), 1_000);
}

#[tokio::test]
async fn an_answer_of_unknown_length_pays_its_most() {
    let (_books, book) = book();
    book.grant.credit(1_000);
    let mut spend = book.reserve(USAGE, Duration::ZERO).await.expect("rights");
    spend.deliver_all();
    drop(spend);
    assert_eq!(book.standing().charged, 150);
}

#[tokio::test]
async fn no_request_pays_more_than_it_reserved() {
    let (_books, book) = book();
    book.grant.credit(1_000);
    let mut spend = book.reserve(USAGE, Duration::ZERO).await.expect("rights");
    spend.deliver(5_000);
    drop(spend);
    assert_eq!(book.standing().charged, 150);
}

#[tokio::test(start_paused = true)]
async fn without_rights_and_without_news_the_request_may_come_back() {
    let (_books, book) = book();
    let refused = book.reserve(USAGE, Duration::from_millis(100)).await;
    assert_eq!(refused.err(), Some(NoRights::Elsewhere));
}

fn ask(number: u64, tokens: u64) -> Reserve {
    Reserve {
        process: 9,
        number,
        workspace: "acme".to_owned(),
        tokens,
        wait_ms: 0,
        time_ms: 1_000,
    }
}

fn ended(number: u64, spent: u64) -> Ended {
    Ended { number, spent }
}

#[tokio::test]
async fn a_reservation_counts_as_reserved_by_the_holder_until_it_is_released() {
    let (books, book) = book();
    book.grant.credit(1_000);
    let reservations = Reservations::default();
    let reserved = reservations.reserve(&books, &ask(1, 600)).await;
    assert_eq!(reserved.refusal(), Refusal::Unspecified);
    let standing = book.standing();
    assert_eq!((standing.granted, standing.reserved), (1_000, 600));

    reservations.release(9, &[ended(1, 250)]);
    let standing = book.standing();
    assert_eq!((standing.charged, standing.reserved), (250, 0));
    assert_eq!(book.grant.available(), 750);
}

#[tokio::test]
async fn a_release_that_is_repeated_or_not_known_changes_nothing() {
    let (books, book) = book();
    book.grant.credit(1_000);
    let reservations = Reservations::default();
    reservations.reserve(&books, &ask(1, 600)).await;
    for _repeat in 0..3 {
        reservations.release(9, &[ended(1, 250), ended(7, 100)]);
        reservations.release(8, &[ended(1, 100)]);
    }
    assert_eq!(book.standing().charged, 250);
    assert_eq!(book.grant.available(), 750);
}

#[tokio::test]
async fn a_holder_says_why_it_refuses() {
    let (books, book) = book();
    book.grant.credit(1_000);
    let reservations = Reservations::default();
    let refused = reservations.reserve(&books, &ask(1, 2_000)).await;
    assert_eq!(refused.refusal(), Refusal::Elsewhere);
    let refused = reservations.reserve(&books, &ask(2, 20_000)).await;
    assert_eq!((refused.refusal(), refused.rest), (Refusal::Spent, 10_000));
    assert!(reservations.is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_that_was_released_while_it_waited_holds_nothing() {
    let (books, book) = book();
    let reservations = Arc::new(Reservations::default());
    let waiting = Reserve {
        wait_ms: 500,
        ..ask(1, 600)
    };
    let asked = Arc::clone(&reservations);
    let asked = tokio::spawn(async move { asked.reserve(&books, &waiting).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    reservations.release(9, &[ended(1, 0)]);
    book.grant.credit(1_000);
    asked.await.expect("an answer");
    assert_eq!(book.grant.available(), 1_000);
    assert!(reservations.is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_that_is_never_released_counts_as_spent() {
    let (books, book) = book();
    book.grant.credit(1_000);
    let reservations = Reservations::default();
    reservations.reserve(&books, &ask(1, 600)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(reservations.expire(), 0, "its router may still say");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(reservations.expire(), 600);
    assert_eq!(book.standing().charged, 600);
}

#[test]
fn a_workspace_without_a_limit_has_no_book() {
    let books = books();
    books.set_config(&config(None));
    assert!(books.get(&WorkspaceName::from("acme")).is_none());
}

/// A holder whose rights wait for a cap says when the cap lets them out.
#[tokio::test(start_paused = true)]
async fn a_holder_whose_rights_are_locked_says_when_they_open() {
    let (books, book) = book();
    let reservations = Reservations::default();
    let refused = reservations.reserve(&books, &ask(1, 600)).await;
    assert_eq!(refused.back_ms, None, "it holds none");
    book.grant.credit(100);
    let refused = reservations.reserve(&books, &ask(2, 600)).await;
    assert_eq!(refused.back_ms, None, "it holds too little");
}
