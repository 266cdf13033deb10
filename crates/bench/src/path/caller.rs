//! A caller with its own persistent connection.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use swiftlink_testkit::fleet::MODEL;
use tokio::net::TcpStream;

/// Tokens of the answer.
const TOKENS: u32 = 4;
/// Path of the call.
const PATH: &str = "/v1/chat/completions";
/// Marks the end of each complete answer, streamed or not.
const USAGE: &[u8] = b"\"total_tokens\"";

/// Target address and response form of a call.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    authorization: Arc<str>,
    body: Bytes,
}

impl Target {
    /// Creates the target for the server at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, stream: bool, secret: &str) -> Self {
        let prompt = format!("measure the path tokens={TOKENS}");
        let body = json!({
            "model": MODEL,
            "stream": stream,
            "max_tokens": 2 * TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        Self {
            address,
            authorization: Arc::from(format!("Bearer {secret}")),
            body: Bytes::from(body.to_string()),
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        Request::post(PATH)
            .header("host", "localhost")
            .header("authorization", &*self.authorization)
            .header("content-type", "application/json")
            .body(Full::new(self.body.clone()))
            .expect("the parts are well-formed")
    }
}

/// A connection to one side.
#[derive(Debug)]
pub struct Caller {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    /// Connects. Call this on the thread that will use the connection.
    ///
    /// # Errors
    /// Fails when the connection can't be opened.
    pub async fn open(target: Target) -> anyhow::Result<Self> {
        let sender = connect(target.address).await?;
        Ok(Self { target, sender })
    }

    /// Makes one call and reads its answer to the end.
    ///
    /// # Errors
    /// Fails when the answer is incomplete; the next call then opens a new connection.
    pub async fn call(&mut self) -> anyhow::Result<()> {
        let done = self.attempt().await;
        if done.is_err() || self.sender.is_closed() {
            self.sender = connect(self.target.address).await?;
        }
        done
    }

    async fn attempt(&mut self) -> anyhow::Result<()> {
        self.sender.ready().await.context("the connection")?;
        let answer = self.sender.send_request(self.target.request()).await;
        let (head, mut body) = answer.context("the answer's head")?.into_parts();
        let mut text = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.context("the answer's body")?.into_data() {
                text.extend_from_slice(&data);
            }
        }
        let mut windows = text.windows(USAGE.len());
        let is_whole = head.status == StatusCode::OK && windows.any(|part| part == USAGE);
        let text = String::from_utf8_lossy(&text);
        anyhow::ensure!(is_whole, "{}: {text}", head.status);
        Ok(())
    }
}

async fn connect(address: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(address).await.context("connect")?;
    socket.set_nodelay(true).context("TCP_NODELAY")?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    // The call that uses the connection receives its error.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}
