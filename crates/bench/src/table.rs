//! Markdown output: one table per scenario, one line per policy.

use std::fmt::Write;

use crate::row::{Number, Row};

/// Renders the rows as Markdown tables.
#[must_use]
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::new();
    let mut rest = rows;
    while let Some(first) = rest.first() {
        let len = rest
            .iter()
            .take_while(|row| row.scenario == first.scenario)
            .count();
        let (scenario, after) = rest.split_at(len);
        table(&mut text, scenario);
        rest = after;
    }
    text
}

fn table(text: &mut String, rows: &[Row]) {
    let mut metrics = Vec::new();
    let mut policies = Vec::new();
    for row in rows {
        if !metrics.contains(&row.metric) {
            metrics.push(row.metric);
        }
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    let heads = metrics.join(" | ");
    let lines = "---:|".repeat(metrics.len());
    let name = &rows[0].scenario;
    let _ = writeln!(text, "### {name}\n\n| policy | {heads} |\n|---|{lines}");
    for policy in policies {
        let _ = write!(text, "| {policy} |");
        for metric in &metrics {
            let mut found = rows.iter();
            let row = found.find(|row| row.policy == policy && row.metric == *metric);
            let _ = match row {
                Some(row) => write!(text, " {} |", Number(row.value)),
                None => write!(text, " |"),
            };
        }
        text.push('\n');
    }
    text.push('\n');
}
