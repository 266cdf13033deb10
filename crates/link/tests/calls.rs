//! Calls and reply streams over a TCP connection.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::{ENDLESS, LONG_TIMEOUT, PAGES, connect, listener, pair, ping, serve};
use swiftlink_link::{Client, LinkError, MAX_FRAME};
use swiftlink_wire::link::{
    FailureKind, Follow, GetBudgets, GetPending, Settle, Submit, reply, request,
};
use tokio::task::JoinHandle;

const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

fn spawn_hanging_call(client: &Arc<Client>) -> JoinHandle<Result<reply::Kind, LinkError>> {
    let client = Arc::clone(client);
    tokio::spawn(async move { client.call(hanging_request(), LONG_TIMEOUT).await })
}

fn hanging_request() -> request::Kind {
    request::Kind::GetBudgets(GetBudgets::default())
}

fn follow(from: u64) -> request::Kind {
    let stream = "config".to_owned();
    request::Kind::Follow(Follow { stream, from })
}

/// Waits until `count` is at least `min`.
async fn wait_for_count(count: &AtomicU64, min: u64) {
    let reached = async {
        while count.load(Ordering::SeqCst) < min {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LONG_TIMEOUT, reached)
        .await
        .expect("reached");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_get_their_own_replies() {
    let (server, fake, client) = pair().await;
    assert_eq!(client.peer().as_deref(), Some("ledger-1"));

    let mut callers = Vec::new();
    for _caller in 0..1_000 {
        let client = Arc::clone(&client);
        callers.push(tokio::spawn(async move {
            for _call in 0..20 {
                let reply = client.call(ping(), LONG_TIMEOUT).await.expect("a pong");
                assert!(matches!(reply, reply::Kind::Pong(pong) if pong.name == "router-1"));
            }
            let mut stream = client.stream(follow(0)).await.expect("connected");
            for expected in 1..=PAGES {
                let page = stream.next().await.expect("a page").expect("no error");
                assert!(matches!(page, reply::Kind::Page(page) if page.next == expected));
            }
            assert!(stream.next().await.is_none());
        }));
    }
    for caller in callers {
        caller.await.expect("no panic");
    }
    assert_eq!(fake.calls.load(Ordering::SeqCst), 21_000);
    client.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn a_dropped_stream_and_a_dropped_call_cancel_their_requests() {
    let (server, fake, client) = pair().await;
    let mut stream = client.stream(follow(ENDLESS)).await.expect("connected");
    stream.next().await.expect("a page").expect("no error");
    drop(stream);
    wait_for_count(&fake.cancelled, 1).await;

    let call = spawn_hanging_call(&client);
    wait_for_count(&fake.calls, 2).await;
    call.abort();
    wait_for_count(&fake.cancelled, 2).await;
    assert!(client.is_up());
    server.stop().await;
}

#[tokio::test]
async fn an_unread_stream_ends_and_does_not_block_other_calls() {
    let (server, fake, client) = pair().await;
    let mut stream = client.stream(follow(ENDLESS)).await.expect("connected");
    wait_for_count(&fake.cancelled, 1).await;
    client.call(ping(), LONG_TIMEOUT).await.expect("a pong");

    let mut end = None;
    while let Some(next) = stream.next().await {
        end = next.err();
    }
    assert_eq!(end, Some(LinkError::Lost));
    server.stop().await;
}

#[tokio::test]
async fn the_first_of_several_replies_answers_a_call() {
    let (server, _fake, client) = pair().await;
    let submit = Submit {
        wait_ms: 1,
        ..Submit::default()
    };
    let reply = client
        .call(request::Kind::Submit(submit), LONG_TIMEOUT)
        .await;
    assert!(matches!(reply, Ok(reply::Kind::Stored(_))), "{reply:?}");
    server.stop().await;
}

#[tokio::test]
async fn a_call_is_lost_if_its_handler_drops_the_replies_or_panics() {
    let (server, _fake, client) = pair().await;
    let dropped = request::Kind::GetPending(GetPending::default());
    let panics = request::Kind::Settle(Settle::default());
    for kind in [dropped, panics] {
        assert_eq!(client.call(kind, LONG_TIMEOUT).await, Err(LinkError::Lost));
    }
    server.stop().await;
}

#[tokio::test]
async fn a_request_over_the_size_limit_is_not_sent() {
    let (server, fake, client) = pair().await;
    let submit = Submit {
        stream: "x".repeat(MAX_FRAME),
        ..Submit::default()
    };
    let result = client
        .call(request::Kind::Submit(submit), LONG_TIMEOUT)
        .await;
    let Err(LinkError::Failed(failure)) = result else {
        panic!("{result:?}");
    };
    assert_eq!(failure.kind(), FailureKind::BadRequest);
    client.call(ping(), LONG_TIMEOUT).await.expect("still up");
    assert_eq!(fake.calls.load(Ordering::SeqCst), 1);
    server.stop().await;
}

#[tokio::test]
async fn a_call_without_a_reply_times_out_and_closes_a_silent_connection() {
    let (server, fake, client) = pair().await;
    let result = client.call(hanging_request(), SHORT_TIMEOUT).await;
    assert_eq!(result, Err(LinkError::Timeout));
    assert!(!client.is_up());
    // The connection is closed, so the handler sees the cancellation; then the client
    // reconnects.
    wait_for_count(&fake.cancelled, 1).await;
    assert!(client.wait_up(LONG_TIMEOUT).await);

    // A connection on which other replies arrived meanwhile stays open.
    let call = client.call(hanging_request(), SHORT_TIMEOUT);
    let (late, pong) = tokio::join!(call, client.call(ping(), LONG_TIMEOUT));
    assert_eq!(late, Err(LinkError::Timeout));
    assert!(pong.is_ok() && client.is_up());
    server.stop().await;
}

#[tokio::test]
async fn a_call_before_the_handshake_fails_as_down() {
    let listener = listener();
    let address = listener.local_addr().expect("bound");
    let client = Client::spawn(address, "router-1", common::secret());
    // The connection opens, but no server performs the handshake.
    assert_eq!(
        client.call(ping(), LONG_TIMEOUT).await,
        Err(LinkError::Down)
    );
    assert!(client.stream(ping()).await.is_err());
    assert!(!client.is_up() && client.peer().is_none());
    client.stop().await;
}

#[tokio::test]
async fn a_restart_loses_the_calls_in_flight_and_the_client_reconnects() {
    let (server, fake, client) = pair().await;
    let address = server.address();
    let call = spawn_hanging_call(&client);
    wait_for_count(&fake.calls, 1).await;
    server.stop().await;

    assert_eq!(call.await.expect("no panic"), Err(LinkError::Lost));

    let again = std::net::TcpListener::bind(address).expect("the same port");
    let (server, _fake, _address) = serve(again);
    let pong = async {
        while client.call(ping(), LONG_TIMEOUT).await.is_err() {
            client.wait_up(LONG_TIMEOUT).await;
        }
    };
    tokio::time::timeout(LONG_TIMEOUT, pong)
        .await
        .expect("connected again");
    server.stop().await;
    client.stop().await;
    assert_eq!(
        client.call(ping(), LONG_TIMEOUT).await,
        Err(LinkError::Down)
    );
}

#[tokio::test]
async fn a_stopped_client_ends_its_calls() {
    let (server, fake, address) = serve(listener());
    let client = connect(address).await;
    let call = spawn_hanging_call(&client);
    wait_for_count(&fake.calls, 1).await;
    client.stop().await;
    assert_eq!(call.await.expect("no panic"), Err(LinkError::Lost));
    wait_for_count(&fake.cancelled, 1).await;
    server.stop().await;
}
