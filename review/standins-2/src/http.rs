//! Minimal HTTP/1.1 messages for the stand-ins.

use std::io::{self, BufRead, Read};

/// A request or response head, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The request target of a request line.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a status line.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut head = Head {
        line,
        headers: Vec::new(),
    };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request body that has a length or comes in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        return read_chunks(reader);
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a chunked body up to and including its last chunk.
pub fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        let _end = read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk);
    }
}

/// A response as a client saw it.
#[derive(Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

/// Reads one response; an error before the end of the body leaves it incomplete.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut answer = Answer {
        head,
        ..Answer::default()
    };
    if answer.head.get("transfer-encoding").is_some() {
        answer.is_whole = collect_chunks(reader, &mut answer.body).is_ok();
        return Ok(answer);
    }
    if let Some(length) = answer.head.get("content-length") {
        let length: u64 = length.parse().unwrap_or(0);
        let mut body = Vec::new();
        let read = reader.take(length).read_to_end(&mut body);
        answer.is_whole = read.is_ok() && body.len() as u64 == length;
        answer.body = body;
        return Ok(answer);
    }
    answer.is_whole = reader.read_to_end(&mut answer.body).is_ok();
    Ok(answer)
}

/// Like [`read_chunks`], but keeps what came before an error.
fn collect_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        let _end = read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk);
    }
}
