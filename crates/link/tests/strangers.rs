//! Peers that don't know the secret, replay a handshake, or send invalid frames.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use common::{LONG_TIMEOUT, listener, pair, ping, secret, serve};
use proptest::prelude::*;
use swiftlink_link::{Client, FrameCodec, Secret, Server};
use swiftlink_wire::link::{Challenge, Frame, Hello, Ping, Request, frame, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Decoder, Encoder};

fn encode(body: frame::Body) -> BytesMut {
    let frame = Frame {
        id: 1,
        body: Some(body),
    };
    let mut bytes = BytesMut::new();
    FrameCodec::default()
        .encode(&frame, &mut bytes)
        .expect("small");
    bytes
}

async fn read_frame(socket: &mut TcpStream) -> (Frame, BytesMut) {
    let mut bytes = BytesMut::new();
    loop {
        let mut input = bytes.clone();
        if let Some(frame) = FrameCodec::default()
            .decode(&mut input)
            .expect("a valid frame")
        {
            return (frame, bytes);
        }
        let read = socket.read_buf(&mut bytes).await.expect("open");
        assert!(read > 0, "closed early");
    }
}

/// Sends `bytes` after the challenge; returns whether the server sent anything back.
async fn gets_response(address: SocketAddr, bytes: &[u8]) -> bool {
    let mut socket = TcpStream::connect(address).await.expect("listening");
    let _challenge = read_frame(&mut socket).await;
    let _closed = socket.write_all(bytes).await;
    let _closed = socket.shutdown().await;
    let mut rest = Vec::new();
    let _closed = socket.read_to_end(&mut rest).await;
    !rest.is_empty()
}

async fn wait_for_refusals(server: &Server, min: u64) {
    while server.refused() < min {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_client_with_another_secret_is_refused() {
    let (server, fake, address) = serve(listener());
    let client = Client::spawn(address, "router-1", Secret::new("wrong horse"));
    let refused = tokio::time::timeout(LONG_TIMEOUT, wait_for_refusals(&server, 2));
    refused.await.expect("refused twice");

    assert!(!client.is_up());
    assert!(client.call(ping(), LONG_TIMEOUT).await.is_err());
    assert_eq!(fake.calls.load(Ordering::SeqCst), 0);
    client.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn a_server_with_another_secret_is_refused() {
    let fake = Arc::new(common::Fake::default());
    let wrong = Secret::new("wrong horse");
    let server = Server::bind(listener(), "ledger-1", wrong, fake).expect("bound");
    let client = Client::spawn(server.address(), "router-1", secret());
    let refused = tokio::time::timeout(LONG_TIMEOUT, wait_for_refusals(&server, 2));
    refused.await.expect("refused twice");
    assert!(!client.is_up());
    client.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn a_replayed_handshake_is_refused() {
    let (server, fake, address) = serve(listener());

    // A proxy that forwards the frames of a genuine client and records its hello.
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = Client::spawn(proxy.local_addr().expect("bound"), "router-1", secret());
    let (mut client_side, _from) = proxy.accept().await.expect("the client");
    let mut server_side = TcpStream::connect(address).await.expect("the server");
    let (_frame, challenge) = read_frame(&mut server_side).await;
    client_side.write_all(&challenge).await.expect("open");
    let (hello_frame, hello) = read_frame(&mut client_side).await;
    assert!(matches!(hello_frame.body, Some(frame::Body::Hello(_))));
    server_side.write_all(&hello).await.expect("open");
    let (welcome_frame, welcome) = read_frame(&mut server_side).await;
    assert!(matches!(welcome_frame.body, Some(frame::Body::Welcome(_))));

    // Client to server: the same hello against another challenge.
    let mut replay = hello.to_vec();
    replay.extend_from_slice(&encode(frame::Body::Request(Request {
        kind: Some(request::Kind::Ping(Ping {})),
    })));
    assert!(!gets_response(address, &replay).await);
    assert_eq!(fake.calls.load(Ordering::SeqCst), 0);

    // Server to client: the same challenge and welcome against another nonce.
    drop(client_side);
    let (mut client_side, _from) = proxy.accept().await.expect("the client again");
    client_side.write_all(&challenge).await.expect("open");
    let _hello = read_frame(&mut client_side).await;
    client_side.write_all(&welcome).await.expect("open");
    let mut rest = Vec::new();
    let _reset = client_side.read_to_end(&mut rest).await;
    assert!(rest.is_empty() && !client.is_up());

    client.stop().await;
    server.stop().await;
}

#[tokio::test]
async fn unauthenticated_peers_get_no_response() {
    let (server, fake, client) = pair().await;
    let hello = Hello {
        name: "router-1".to_owned(),
        nonce: vec![0; 32],
        proof: vec![0; 32],
        tunnel: None,
    };
    let challenge = Challenge { nonce: vec![0; 32] };
    let request = Request {
        kind: Some(request::Kind::Ping(Ping {})),
    };
    let cases = [
        encode(frame::Body::Hello(hello)),
        encode(frame::Body::Challenge(challenge)),
        encode(frame::Body::Request(request)),
        // A length far over the limit before authentication.
        BytesMut::from(&[0, 0x7f, 0xff, 0xff, 1][..]),
        BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..]),
    ];
    for case in cases {
        assert!(!gets_response(server.address(), &case).await, "{case:?}");
    }
    assert_eq!(server.refused(), 5);

    // Authenticated clients are not affected.
    client.call(ping(), LONG_TIMEOUT).await.expect("a pong");
    assert_eq!(fake.calls.load(Ordering::SeqCst), 1);
    server.stop().await;
}

proptest! {
    #[test]
    fn the_decoder_does_not_panic_on_random_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        framed in any::<bool>(),
    ) {
        let mut input = BytesMut::new();
        if framed {
            input.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        }
        input.extend_from_slice(&bytes);
        let mut codec = FrameCodec::new(256);
        while let Ok(Some(_frame)) = codec.decode(&mut input) {}
    }
}
