//! Cost of the access decision of a request, and of sending one on a connection that is kept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use swiftlink_gateway::model::{
    Config, RequestLimits, Route, RouteKind, RouteTable, Target, Workspace,
};
use swiftlink_gateway::upstream::{SendOptions, send};
use swiftlink_types::{PoolName, WorkspaceName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::decisions::write;
use super::meter::{Cost, cost};
use crate::row::Rows;

/// Workspaces of the full-scale deployment, with a key each.
const WORKSPACES: usize = 26_000;
/// Access decisions per round.
const CALLS: usize = 200_000;
/// Requests on kept connections per round.
const SENDS: usize = 2_000;
/// Rounds of the latter, of which the median is reported.
const ROUNDS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// End of the head of a request, which has no body.
const HEAD_END: &[u8] = b"\r\n\r\n";

pub(super) fn run(quick: bool, rows: &mut Rows) {
    let calls = if quick { CALLS / 100 } else { CALLS };
    let config = config();
    let route = route();
    // The part of the decision that there has always been.
    let lookup = cost(calls, || config.keys.get("key-17").cloned());
    write("cost-access", "key-lookup", lookup, rows);
    for (policy, key) in [
        ("known-key", Some("key-17")),
        ("unknown-key", Some("never")),
        ("no-key", None),
    ] {
        let decision = cost(calls, || config.caller(&route, key).is_ok());
        write("cost-access", policy, decision, rows);
    }
    let sends = if quick { SENDS / 100 } else { SENDS };
    match kept_connection(sends) {
        Ok(cost) => write("cost-reuse", "round-trip", cost, rows),
        Err(error) => eprintln!("cost-reuse was not measured: {error:#}"),
    }
}

fn route() -> Route {
    Route {
        name: Arc::from("route"),
        host: Arc::from("a.example"),
        prefix: Arc::from("/"),
        kind: RouteKind::Idempotent,
        targets: vec![Target {
            pool: PoolName::from("pool"),
            weight: 1,
        }],
        timeout: TIMEOUT,
        latency_target: TIMEOUT,
        max_gap: None,
        priority: 0,
        max_attempts: 1,
        allowed_regions: Vec::new(),
        public: false,
        resumable: false,
    }
}

fn config() -> Config {
    let mut keys = HashMap::new();
    let mut workspaces = HashMap::new();
    for number in 0..WORKSPACES {
        let workspace = Arc::new(Workspace {
            name: WorkspaceName::from(format!("workspace-{number}")),
            priority: None,
            allowed_regions: Vec::new(),
            prepaid: Some(1),
        });
        let key = format!("key-{number}").into_boxed_str();
        keys.insert(key, Arc::clone(&workspace));
        workspaces.insert(workspace.name.clone(), workspace);
    }
    Config {
        version: 1,
        routes: RouteTable::new(vec![route()]),
        pools: HashMap::new(),
        limits: RequestLimits { max_body: 0 },
        workspaces,
        needs_key: true,
        keys,
    }
}

/// Time of a request and its response on a connection that is kept, over loopback.
fn kept_connection(count: usize) -> anyhow::Result<Cost> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                respond(stream).await;
            }
        });
        let mut times = Vec::with_capacity(ROUNDS);
        round_trips(address, count / 4).await?;
        for _ in 0..ROUNDS {
            let start = Instant::now();
            round_trips(address, count).await?;
            times.push(start.elapsed().as_nanos() as f64 / count as f64);
        }
        server.abort();
        times.sort_by(f64::total_cmp);
        Ok(Cost {
            nanos: times[ROUNDS / 2],
            allocations: None,
        })
    })
}

async fn round_trips(address: SocketAddr, count: usize) -> anyhow::Result<()> {
    let options = SendOptions {
        connect: TIMEOUT,
        response: TIMEOUT,
        fresh: false,
        may_abort: false,
    };
    for _ in 0..count {
        let mut request = Request::new(Full::new(Bytes::new()));
        let host = http::HeaderValue::from_static("a.example");
        request.headers_mut().insert(http::header::HOST, host);
        let (response, mut lease) = send(address, request, options).await?.split();
        response.into_body().collect().await?;
        lease.recycle();
    }
    Ok(())
}

/// Responds to each request of a connection until the client closes it.
async fn respond(mut stream: TcpStream) {
    let mut head = Vec::new();
    loop {
        match stream.read_buf(&mut head).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if !head.ends_with(HEAD_END) {
            continue;
        }
        head.clear();
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}
