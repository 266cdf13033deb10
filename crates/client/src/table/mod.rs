//! Tables for people.

mod status;

use comfy_table::Table;
use serde_json::Value;

use crate::api::{Applied, Budget, Resource, WatchEvent};

pub use status::status;

/// Longest cell of a specification before it is cut (characters).
const SPEC_WIDTH: usize = 100;
/// A field without a value.
const NONE: &str = "-";

/// What became of each change of an accepted set.
#[must_use]
pub fn applied(answer: &Applied) -> String {
    let mut table = plain(&["KIND", "NAME", "VERSION", "NOTE"]);
    for result in &answer.results {
        let note = match result.effective {
            Some(true) => "in the budget",
            Some(false) => "accepted, not yet seen in the budget",
            None => "",
        };
        let version = result.version.to_string();
        table.add_row([&result.kind, &result.name, &version, note]);
    }
    text(&table)
}

/// Resources, one a line.
#[must_use]
pub fn resources(items: &[Resource]) -> String {
    let mut table = plain(&["KIND", "NAME", "VERSION", "SPEC"]);
    for item in items {
        let version = item.version.to_string();
        table.add_row([&item.kind, &item.name, &version, &spec(&item.spec)]);
    }
    text(&table)
}

/// One resource, a line per field.
#[must_use]
pub fn resource(item: &Resource) -> String {
    let mut table = plain(&[&item.kind, &item.name]);
    table.add_row(["version", &item.version.to_string()]);
    let Some(fields) = item.spec.as_object() else {
        table.add_row(["spec", &field(&item.spec)]);
        return text(&table);
    };
    for (name, value) in fields {
        table.add_row([name.as_str(), &field(value)]);
    }
    text(&table)
}

/// The value of a field, for people.
fn field(value: &Value) -> String {
    match value {
        Value::Null => NONE.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => NONE.to_owned(),
        Value::Array(items) => items.iter().map(field).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// A text on a line of its own; other values as JSON.
#[must_use]
pub fn line(value: &Value) -> String {
    match value {
        Value::String(text) => format!("{text}\n"),
        other => json(other),
    }
}

/// One event of a watch, on one line.
#[must_use]
pub fn event(event: &WatchEvent) -> String {
    let what = if event.deleted { "deleted" } else { "changed" };
    let mut line = format!(
        "{:>8}  {what}  {:<10}  {}",
        event.version, event.kind, event.name
    );
    if !event.deleted {
        line.push_str("  ");
        line.push_str(&spec(&event.spec));
    }
    line
}

/// One budget, a line per amount.
#[must_use]
pub fn budget(answer: &Budget) -> String {
    let mut table = plain(&["BUDGET", &answer.name]);
    let amounts = [
        ("topped up", answer.topped_up),
        ("granted", answer.granted),
        ("charged", answer.charged),
        ("free", answer.free),
        ("quarantined", answer.quarantined),
    ];
    for (label, amount) in amounts {
        table.add_row([label.to_owned(), amount.to_string()]);
    }
    table.add_row(["top-ups".to_owned(), answer.top_ups.join(", ")]);
    let known = format!(
        "{}, offset {}, {} ms old",
        answer.ledger, answer.offset, answer.age_ms
    );
    table.add_row(["as known by".to_owned(), known]);
    text(&table)
}

/// Indented JSON.
#[must_use]
pub fn json(value: &Value) -> String {
    format!("{value:#}\n")
}

fn plain(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::NOTHING);
    table.force_no_tty();
    table.set_header(header);
    table
}

fn text(table: &Table) -> String {
    let mut out = String::new();
    for line in table.lines() {
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

fn spec(value: &Value) -> String {
    let text = value.to_string();
    let mut cut: String = text.chars().take(SPEC_WIDTH).collect();
    if cut.len() < text.len() {
        cut.push_str("...");
    }
    cut
}
