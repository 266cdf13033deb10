//! Timeouts of outgoing connections.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::SockRef;
use swiftlink_fetch::{
    KEEPALIVE_INTERVAL, KEEPALIVE_TIME, UNACKED_TIMEOUT, connector, set_timeouts,
};
use tokio::net::{TcpListener, TcpStream};
use tower_service::Service;

fn assert_timeouts(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let timeout = socket.tcp_user_timeout().expect("an option");
    assert_eq!(timeout, Some(UNACKED_TIMEOUT));
    assert!(socket.keepalive().expect("an option"));
    let time = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    assert_eq!((time, interval), (KEEPALIVE_TIME, KEEPALIVE_INTERVAL));
}

/// Guards against connections that look open for a quarter of an hour after their path was cut.
#[tokio::test]
async fn connections_have_timeouts_for_silent_paths() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    set_timeouts(&stream).expect("options");
    assert_timeouts(&stream);
}

/// Guards against a long poll of the store that waits for its whole time on a silent connection.
#[tokio::test]
async fn connections_of_http_clients_have_timeouts_for_silent_paths() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connector: HttpConnector = connector(Duration::from_secs(1));
    let uri = format!("http://{address}/").parse().expect("a URI");
    let stream = connector.call(uri).await.expect("a connection");
    assert_timeouts(stream.inner());
}
