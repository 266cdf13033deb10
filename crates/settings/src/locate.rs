//! From keys and byte offsets to lines.

use toml::de::{DeTable, DeValue};

/// Line of the byte at `offset`, from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Line of `key`, such as `ledgers[0].address`, from 1.
///
/// A key that the text lacks gets the line of the innermost table that would hold it.
pub(crate) fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 1;
    };
    let mut offset = 0;
    let value = DeValue::Table(root.into_inner());
    let mut here = &value;
    for step in steps(key) {
        let Some((at, next)) = descend(here, step) else {
            break;
        };
        offset = at;
        here = next;
    }
    line_at(text, offset)
}

#[derive(Clone, Copy)]
enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

fn steps(key: &str) -> Vec<Step<'_>> {
    let mut steps = Vec::new();
    for part in key.split(['.', '[']) {
        let index = part.strip_suffix(']').and_then(|text| text.parse().ok());
        steps.push(index.map_or(Step::Key(part), Step::Index));
    }
    steps
}

fn descend<'a, 'i>(value: &'a DeValue<'i>, step: Step<'_>) -> Option<(usize, &'a DeValue<'i>)> {
    match step {
        Step::Key(name) => {
            let (key, value) = value
                .as_table()?
                .iter()
                .find(|(key, _)| key.get_ref() == name)?;
            Some((key.span().start, value.get_ref()))
        }
        Step::Index(index) => {
            let item = value.as_array()?.get(index)?;
            Some((item.span().start, item.get_ref()))
        }
    }
}
