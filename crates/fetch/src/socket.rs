//! Timeouts of outgoing connections whose path falls silent.
//!
//! A connection behind a cut path looks open until data stays unacknowledged or a keep-alive probe
//! has no answer. Once `TCP_USER_TIMEOUT` is set, it decides for both when the connection is lost,
//! whatever the number of probes.

use std::io;
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without an acknowledgement after which a connection is lost. Longer than the second for
/// which a sound server may fall silent.
pub const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without data after which a connection is probed.
pub const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time between two probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the timeouts on a connection, and sends small writes at once.
///
/// # Errors
/// When the socket can't be used.
pub fn set_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// A connector for HTTP clients whose connections have these timeouts.
#[must_use]
pub fn connector(connect_timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_TIME));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    connector
}
