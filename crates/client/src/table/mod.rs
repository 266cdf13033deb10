//! Human-readable tables.

mod status;

use comfy_table::Table;
use serde_json::Value;

use crate::api::{Applied, Budget, Resource, WatchEvent};

pub use status::status;

/// Width at which the cell of a specification is truncated (characters).
const SPEC_WIDTH: usize = 100;
/// Placeholder of a missing value.
const EMPTY_CELL: &str = "-";

/// Formats the results of an accepted change set.
#[must_use]
pub fn applied(answer: &Applied) -> String {
    let mut table = new_table(&["KIND", "NAME", "VERSION", "NOTE"]);
    for result in &answer.results {
        let note = match result.effective {
            Some(true) => "in the budget",
            Some(false) => "accepted, not yet seen in the budget",
            None => "",
        };
        let version = result.version.to_string();
        table.add_row([&result.kind, &result.name, &version, note]);
    }
    render(&table)
}

/// Formats a list of resources, one per line.
#[must_use]
pub fn resources(items: &[Resource]) -> String {
    let mut table = new_table(&["KIND", "NAME", "VERSION", "SPEC"]);
    for item in items {
        let version = item.version.to_string();
        table.add_row([&item.kind, &item.name, &version, &spec_cell(&item.spec)]);
    }
    render(&table)
}

/// Formats one resource, one line per field.
#[must_use]
pub fn resource(item: &Resource) -> String {
    let mut table = new_table(&[&item.kind, &item.name]);
    table.add_row(["version", &item.version.to_string()]);
    let Some(fields) = item.spec.as_object() else {
        table.add_row(["spec", &field_text(&item.spec)]);
        return render(&table);
    };
    for (name, value) in fields {
        table.add_row([name.as_str(), &field_text(value)]);
    }
    render(&table)
}

/// Formats the value of a field.
fn field_text(value: &Value) -> String {
    match value {
        Value::Null => EMPTY_CELL.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => EMPTY_CELL.to_owned(),
        Value::Array(items) => items.iter().map(field_text).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Formats a string as one line and other values as JSON.
#[must_use]
pub fn line(value: &Value) -> String {
    match value {
        Value::String(text) => format!("{text}\n"),
        other => json(other),
    }
}

/// Formats one event of a watch as one line.
#[must_use]
pub fn event(event: &WatchEvent) -> String {
    let what = if event.deleted { "deleted" } else { "changed" };
    let mut line = format!(
        "{:>8}  {what}  {:<10}  {}",
        event.version, event.kind, event.name
    );
    if !event.deleted {
        line.push_str("  ");
        line.push_str(&spec_cell(&event.spec));
    }
    line
}

/// Formats one budget, one line per amount.
#[must_use]
pub fn budget(answer: &Budget) -> String {
    let mut table = new_table(&["BUDGET", &answer.name]);
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
    let source = format!(
        "{}, offset {}, {} ms old",
        answer.ledger, answer.offset, answer.age_ms
    );
    table.add_row(["source".to_owned(), source]);
    render(&table)
}

/// Formats a value as indented JSON.
#[must_use]
pub fn json(value: &Value) -> String {
    format!("{value:#}\n")
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::NOTHING);
    table.force_no_tty();
    table.set_header(header);
    table
}

fn render(table: &Table) -> String {
    let mut out = String::new();
    for line in table.lines() {
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

fn spec_cell(value: &Value) -> String {
    let text = value.to_string();
    let mut truncated: String = text.chars().take(SPEC_WIDTH).collect();
    if truncated.len() < text.len() {
        truncated.push_str("...");
    }
    truncated
}
