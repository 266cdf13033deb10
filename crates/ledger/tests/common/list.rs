//! Stub of the platform's VM list.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// A VM list server that answers with a body set by the test.
pub struct VmList {
    pub address: SocketAddr,
    state: Arc<Mutex<(String, u64)>>,
}

impl VmList {
    pub fn serve(body: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new((body.to_owned(), 0)));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                let mut head = [0; 4096];
                let _read = socket.read(&mut head).unwrap();
                let mut state = shared.lock().unwrap();
                let body = &state.0;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                socket.write_all(answer.as_bytes()).unwrap();
                state.1 += 1;
            }
        });
        Self { address, state }
    }

    pub fn set(&self, body: &str) {
        self.state.lock().unwrap().0 = body.to_owned();
    }

    pub async fn wait_read(&self) {
        let before = self.state.lock().unwrap().1;
        super::eventually("a read", || self.state.lock().unwrap().1 > before).await;
    }
}
