//! The configuration and the clients of a small deployment.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::http::{Answer, read_answer};

/// Longest time that a client waits for bytes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address that ends in `.1`, on which the gateway's fixed metrics port is free, as on the
/// same address with `.2`.
pub fn free_ip() -> io::Result<String> {
    let seed = std::process::id();
    for turn in 0..200 {
        let number = seed.wrapping_add(turn * 7_919);
        let ip = format!("127.{}.{}.1", 64 + number % 128, 1 + (number / 128) % 250);
        let next = format!("{}2", ip.trim_end_matches('1'));
        let is_free = |ip: &str| TcpListener::bind((ip, 9464)).is_ok();
        if is_free(&ip) && is_free(&next) {
            return Ok(ip);
        }
    }
    Err(io::Error::other(
        "no loopback address with a free metrics port",
    ))
}

/// A free address on `ip`.
pub fn free_address(ip: &str) -> io::Result<String> {
    let listener = TcpListener::bind((ip, 0))?;
    Ok(listener.local_addr()?.to_string())
}

/// A configuration with one streaming route to the service `lm`, and `more` further routes;
/// `is_resumable`: whether its streams may be taken up again.
pub fn config(version: u64, key: &str, more: usize, is_resumable: bool) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"{prefix}\",\
             \"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":400,\
             \"priority\":2,\"service\":\"lm\",\"max_attempts\":2,\"public\":false,\
             \"session_affinity\":true,\"resumable\":{is_resumable},\"gap_aim_ms\":300}}"
        )
    };
    let mut routes = vec![route("r-zoning", "/zoning/")];
    for number in 0..more {
        routes.push(route(
            &format!("r-more-{number}"),
            &format!("/more{number}/"),
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"lm\",\
         \"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"runtime\":{{\"slots\":64,\"kv_capacity\":374509,\"stride\":3}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[\"{key}\"],\"priority\":1,\
         \"prepaid\":29296780}}]}}",
        routes.join(",")
    )
}

/// Sends a request for a stream on a new connection and reads the answer.
pub fn ask(gateway: SocketAddr, id: &str, key: &str) -> io::Result<Answer> {
    let stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let body = "the question";
    let request = format!(
        "POST /zoning/q HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 715,693\r\nX-Prompt-Prefix: 5c1e07a2:103,91bd3f06:69,e4402b7d:543\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut writer = &stream;
    writer.write_all(request.as_bytes())?;
    read_answer(&mut BufReader::new(&stream))
}

/// Ids of the events of an answer, in order.
pub fn event_ids(answer: &Answer) -> Vec<u64> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.trim().parse().ok()).collect()
}
