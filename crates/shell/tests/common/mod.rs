//! Raw TCP client for a server under test.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use swiftlink_shell::web::{Limits, Service, WebServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts a server on a free port.
pub fn serve(limits: Limits, service: impl Service) -> WebServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    WebServer::bind(listener, limits, Arc::new(service)).unwrap()
}

/// One connection and its read buffer.
pub struct Client {
    socket: TcpStream,
    buffer: Vec<u8>,
}

/// A response as read from the wire.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    for line in head.lines() {
        let Some((key, value)) = line.split_once(':') else {
            continue;
        };
        if key.eq_ignore_ascii_case(name) {
            return Some(value.trim());
        }
    }
    None
}

impl Client {
    pub async fn open(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).await.unwrap();
        socket.set_nodelay(true).unwrap();
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, data: impl AsRef<[u8]>) {
        self.socket.write_all(data.as_ref()).await.unwrap();
    }

    /// Sends data. Returns whether the connection is still open.
    pub async fn try_send(&mut self, data: impl AsRef<[u8]>) -> bool {
        self.socket.write_all(data.as_ref()).await.is_ok()
    }

    /// Sends a request without body.
    pub async fn get(&mut self, path: &str) {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"))
            .await;
    }

    /// Sends a request with a body.
    pub async fn post(&mut self, path: &str, body: &[u8]) {
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        self.send(head).await;
        self.send(body).await;
    }

    /// Reads the status and head of a response.
    pub async fn head(&mut self) -> io::Result<(u16, String)> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill().await?;
        };
        let rest = self.buffer.split_off(end);
        let head = String::from_utf8(std::mem::replace(&mut self.buffer, rest)).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        Ok((status, head))
    }

    /// Reads one chunk of a chunked body; the empty one ends it.
    pub async fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            self.fill().await?;
        };
        let size = std::str::from_utf8(&self.buffer[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        self.take(end + 2).await?;
        let chunk = self.take(size).await?;
        self.take(2).await?;
        Ok(chunk)
    }

    /// Reads a whole response.
    pub async fn answer(&mut self) -> io::Result<Answer> {
        let (status, head) = self.head().await?;
        let body = match header(&head, "content-length") {
            Some(length) => self.take(length.parse().unwrap()).await?,
            None => self.chunks().await?,
        };
        Ok(Answer { status, head, body })
    }

    /// Reads the chunks up to the end of a chunked body.
    pub async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk().await?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Whether the server has closed the connection. Waits until it closes or sends data.
    pub async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && self.fill().await.is_err()
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        let length = self.socket.read(&mut piece).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(())
    }
}
