//! Golden files of sessions: the exact requests and answers of callers and operators,
//! with keys, ports and times replaced.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use bytes::Bytes;
use http::Method;
use prost::Message as _;
use serde_json::{Value, json};
use swiftlink_budget::CONFIG_STREAM;
use swiftlink_testkit::caller::{Answer, Caller, ChatRequest, set};
use swiftlink_testkit::fleet::{Fleet, MODEL, SERVICE, TOKEN, Tenant};
use swiftlink_testkit::http::{Call, Http};
use swiftlink_testkit::records;
use swiftlink_wire::log::ChangeSet;

use crate::support::{binaries, expected, plan};

/// Answer headers that are written to the golden files.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "retry-after",
    "swiftlink-charged",
    "swiftlink-key",
    "swiftlink-outcome",
];

/// Patterns of texts that vary between runs, and their replacements.
const FILTERS: [(&str, &str); 10] = [
    (
        r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}",
        "[key]",
    ),
    (r"id: [A-Za-z0-9_-]{40,}\.", "id: [token]."),
    (
        r"last-event-id: [A-Za-z0-9_-]{40,}\.",
        "last-event-id: [token].",
    ),
    (r"[0-9a-f]{32}-[0-9]+", "[stream]"),
    (r#""created":[0-9]+"#, r#""created":[time]"#),
    (r"127\.0\.0\.1:[0-9]+", "[address]"),
    (r"[0-9]+ ms old", "[age] old"),
    (r"offset [0-9]+,", "offset [offset],"),
    (
        r#""(offset|age_ms|log_offset|log_age_ms)": ?[0-9]+"#,
        r#""$1": [number]"#,
    ),
    (r"/tmp/[.A-Za-z0-9]+/", "[dir]/"),
];

/// The text of a session in order of events.
#[derive(Default)]
struct Session {
    text: String,
}

impl Session {
    fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn write_request(&mut self, request: &Call, body: &str) {
        let target = request.uri().path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        self.line(&format!("> {} {target}", request.method()));
        for (name, value) in request.headers() {
            let value = value.to_str().unwrap_or_default();
            if name != "content-type" {
                self.line(&format!("> {name}: {value}"));
            }
        }
        if !body.is_empty() {
            self.line(&format!("> {body}"));
        }
    }

    fn write_answer(&mut self, answer: &Answer) {
        self.line(&format!("< {}", answer.status));
        for name in SHOWN_HEADERS {
            if let Some(value) = answer.header(name) {
                self.line(&format!("< {name}: {value}"));
            }
        }
        for event in &answer.events {
            self.line(&format!("< id: {}", event.id));
            self.line(&format!("< data: {}", event.data));
        }
        if answer.events.is_empty() {
            self.line(&format!("< {}", String::from_utf8_lossy(&answer.body)));
        }
        self.line("");
    }

    /// Sends a request and writes it with its complete answer.
    async fn call(&mut self, caller: &Caller, request: Call, body: &str) {
        self.write_request(&request, body);
        self.write_answer(&caller.send(request).await);
    }

    fn check(&self, name: &str) {
        self.check_with(name, &[]);
    }

    /// Compares with the golden file after `replaced` and the common filters are applied.
    fn check_with(&self, name: &str, replaced: &[(String, String)]) {
        let replaced = replaced.iter().map(|(pattern, text)| (&**pattern, &**text));
        let filters: Vec<(&str, &str)> = replaced.chain(FILTERS).collect();
        insta::with_settings!({ filters => filters, omit_expression => true }, {
            insta::assert_snapshot!(name, &self.text);
        });
    }
}

/// Returns the replacements that renumber each version by its change set: a version is an
/// offset, and snapshots and duplicates of a set take offsets as well.
async fn versions(fleet: &Fleet) -> Vec<(String, String)> {
    let records = records::read(fleet.log.address(), CONFIG_STREAM).await;
    let mut ids = HashSet::new();
    let mut replaced = Vec::new();
    for record in records.expect("the log answers") {
        let set = ChangeSet::decode(&*record.data).expect("a set of changes");
        if set.snapshot.is_some() || !ids.insert(set.id) {
            continue;
        }
        // In ascending order and never to a larger number, so that no version is replaced twice.
        let pattern = format!(r#"(version\W+|  +){}\b"#, record.offset + 1);
        replaced.push((pattern, format!("${{1}}{}", ids.len())));
    }
    replaced
}

/// One VM and one engine, so that the session depends on no choice between equals.
async fn single_vm(tenants: Vec<Tenant>) -> Fleet {
    let plan = plan().vms(1, 1).engines(1).tenants(tenants);
    plan.start().await.expect("the fleet starts")
}

fn chat(caller: &Caller, router: SocketAddr, body: &str) -> Call {
    let bytes = Bytes::copy_from_slice(body.as_bytes());
    caller.request(Method::POST, router, "/v1/chat/completions", bytes)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_session() {
    let fleet = single_vm(vec![Tenant::new("lannec", 10_000), Tenant::new("poor", 0)]).await;
    let caller = fleet.caller(0);
    let router = fleet.router(0);
    let mut session = Session::default();

    let mut ask = ChatRequest::new(MODEL, "who owned parcel 1204? tokens=4");
    let body = ask.body().to_string();
    session
        .call(&caller, chat(&caller, router, &body), &body)
        .await;

    ask.max_tokens = 2;
    ask.class = Some("urgent".to_owned());
    let body = ask.body().to_string();
    let mut request = chat(&caller, router, &body);
    set(&mut request, "x-priority", "urgent");
    session.call(&caller, request, &body).await;

    let ask = ChatRequest::new(MODEL, "the mill tokens=3").streamed();
    let body = ask.body().to_string();
    session.write_request(&chat(&caller, router, &body), &body);
    session.write_answer(&caller.ask(router, &ask).await);

    let path = format!("/services/{SERVICE}/parcels/88?layer=owner");
    let request = caller.request(Method::GET, router, &path, Bytes::new());
    session.call(&caller, request, "").await;
    let request = caller.request(Method::POST, router, &path, Bytes::from_static(b"move"));
    session.call(&caller, request, "move").await;

    let hello = json!([{ "role": "user", "content": "hello" }]);
    let bad = [
        json!({ "model": "unknown", "messages": hello }),
        json!({ "model": MODEL, "messages": hello, "max_tokens": "many" }),
        json!({ "model": MODEL }),
    ];
    for body in bad {
        let body = body.to_string();
        session
            .call(&caller, chat(&caller, router, &body), &body)
            .await;
    }
    let stranger = Caller::new("sk-of-nobody");
    session
        .call(&stranger, chat(&stranger, router, "{}"), "{}")
        .await;
    let poor = fleet.caller(1);
    let body = ChatRequest::new(MODEL, "hello").body().to_string();
    session.call(&poor, chat(&poor, router, &body), &body).await;
    session.check("caller_session");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_session() {
    let tenants = vec![Tenant::new("lannec", 10_000), Tenant::new("other", 10_000)];
    let plan = plan().vms(2, 2).engines(1).tenants(tenants);
    let fleet = plan.start().await.expect("the fleet starts");
    let caller = fleet.caller(0);
    let mut session = Session::default();
    fleet.engines[0]
        .set(json!({ "pace_ms": 20 }))
        .await
        .expect("the pace is set");

    let ask = ChatRequest::new(MODEL, "the boundary of parcel 7 tokens=12").streamed();
    let body = ask.body().to_string();
    session.write_request(&chat(&caller, fleet.router(0), &body), &body);
    let mut stream = caller
        .begin(fleet.router(0), &ask)
        .await
        .expect("the stream starts");
    for _event in 0..3 {
        stream.next().await.expect("the stream has another event");
    }
    let first = stream.disconnect();
    session.write_answer(&first);
    session.line("(the caller leaves, and resumes at the other router)");

    let last = first.events[2].id.clone();
    session.line(&format!("> last-event-id: {last}"));
    let rest = caller
        .resume(fleet.router(1), &last)
        .await
        .expect("the stream starts");
    let rest = rest.finish().await;
    session.write_answer(&rest);
    assert_eq!(first.text + &rest.text, expected(&ask));

    session.line("(another workspace may not)");
    session.line(&format!("> last-event-id: {last}"));
    let refused = fleet.caller(1).resume(fleet.router(1), &last).await;
    session.write_answer(&refused.expect_err("a refusal"));

    let charge = rest.charged;
    let charged = |budget: &Value| budget["charged"].as_u64() == charge;
    let budget = fleet.api.budget_until("lannec", charged).await;
    budget.expect("the run is charged once");
    session.check("resumed_session");
}

/// Runs the operator's command line; returns its output and exit status.
fn cli(fleet: &Fleet, dir: &Path, words: &[&str]) -> String {
    let token = dir.join("token");
    std::fs::write(&token, TOKEN).expect("the token can be written");
    let output = Command::new(binaries().join("swiftlink"))
        .args(words)
        .arg("--operator")
        .arg(fleet.operator.address().to_string())
        .arg("--token-file")
        .arg(&token)
        .output()
        .expect("the command line can be started");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    let status = output.status.code().unwrap_or(-1);
    format!("$ swiftlink {}\n{text}[exit {status}]\n", words.join(" "))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_session() {
    let fleet = single_vm(vec![Tenant::new("lannec", 10_000)]).await;
    let dir = tempfile::tempdir().expect("a temporary directory");
    let mut session = Session::default();
    let file = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    };
    let first = file(
        "first.toml",
        "[[budget]]\nname = \"crosswords\"\n\n\
         [[workspace]]\nname = \"hints\"\nbudget = \"crosswords\"\n\n\
         [[topup]]\nname = \"crosswords-01\"\nbudget = \"crosswords\"\namount = 5000\n",
    );
    let stale = file(
        "stale.toml",
        "[[workspace]]\nname = \"hints\"\nbudget = \"lannec\"\nversion = 1\n",
    );
    let dangling = file(
        "dangling.toml",
        "[[workspace]]\nname = \"checks\"\nbudget = \"nowhere\"\n",
    );
    let broken = file(
        "broken.toml",
        "[[workspace]]\nname = \"checks\"\nbudgte = \"x\"\n",
    );
    let runs: [&[&str]; 13] = [
        &["apply", "-f", &first],
        &["get", "workspace"],
        &["get", "workspace", "hints"],
        &["get", "workspace", "hints", "-o", "json"],
        &["budget", "crosswords"],
        &["apply", "-f", &first],
        &["apply", "-f", &stale],
        &["apply", "-f", &dangling],
        &["apply", "-f", &broken],
        &["delete", "budget", "crosswords"],
        &["delete", "workspace", "hints"],
        &["get", "workspace", "hints"],
        &["get", "nonsense"],
    ];
    for words in runs {
        let text = cli(&fleet, dir.path(), words);
        session.line(&text);
    }
    session.check_with("operator_session", &versions(&fleet).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_session() {
    let fleet = single_vm(vec![Tenant::new("lannec", 10_000)]).await;
    let first = fleet.api.apply(vec![budget("watched", 10)]).await;
    let first = first.expect("it is accepted");
    fleet
        .api
        .apply(vec![budget("watched", 20)])
        .await
        .expect("it is accepted");
    let gone = json!({ "kind": "budget", "name": "watched", "base": null, "delete": true });
    fleet.api.apply(vec![gone]).await.expect("it is accepted");
    let caller = Caller::new(TOKEN);
    let from = first - 1;
    let path = format!("/v1/watch?from={from}&kind=budget");
    let request = caller.request(Method::GET, fleet.operator.address(), &path, Bytes::new());
    let lines = Http::new().lines(request, 3).await;
    let mut session = Session::default();
    session.line("> GET /v1/watch?from=(before the first set)&kind=budget");
    for line in lines.expect("the events come") {
        session.line(&line);
    }
    session.check_with("watch_session", &versions(&fleet).await);
}

fn budget(name: &str, ahead: u32) -> Value {
    swiftlink_testkit::fleet::change("budget", name, json!({ "ahead_secs": ahead }))
}
