//! Reads the stand-in of the log directly, without the code under test.

use std::net::SocketAddr;

use prost::Message as _;
use swiftlink_wire::log::{LogPage, LogRecord};

use crate::checker::LogStream;
use crate::http::Http;

/// Maximum number of records per request.
const PAGE: u32 = 1_000;

/// Reads all retained records of one stream.
///
/// # Errors
/// When the log does not answer, or has trimmed the first records.
pub async fn read(log: SocketAddr, name: &str) -> anyhow::Result<Vec<LogRecord>> {
    let http = Http::new();
    let mut records = Vec::new();
    loop {
        let from = records
            .last()
            .map_or(0, |record: &LogRecord| record.offset + 1);
        let path = format!("/streams/{name}?from={from}&max={PAGE}&wait_ms=0");
        let reply = http.get(log, &path).await?;
        anyhow::ensure!(reply.status.is_success(), "{name}: {}", reply.status);
        let page = LogPage::decode(reply.body)?;
        if page.records.is_empty() {
            return Ok(records);
        }
        records.extend(page.records);
    }
}

/// Reads all records of the budget streams.
///
/// # Errors
/// Same as for [`read`].
pub async fn read_all(log: SocketAddr, shards: u32) -> anyhow::Result<Vec<LogStream>> {
    let mut streams = Vec::new();
    for shard in 0..shards {
        let name = swiftlink_budget::stream_of(shard).to_string();
        let records = read(log, &name).await?;
        streams.push(LogStream { name, records });
    }
    Ok(streams)
}
