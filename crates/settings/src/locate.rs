//! Finds the lines of keys and byte offsets.

use toml::de::{DeTable, DeValue};

/// Returns the line of the byte at `offset`, from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Returns the line of `key`, such as `ledgers[0].address`, from 1.
///
/// For a key that `text` lacks it is the line of the innermost existing table on its path.
pub(crate) fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 1;
    };
    let mut offset = 0;
    let value = DeValue::Table(root.into_inner());
    let mut current = &value;
    for segment in segments(key) {
        let Some((start, next)) = descend(current, segment) else {
            break;
        };
        offset = start;
        current = next;
    }
    line_at(text, offset)
}

/// One segment of a key path.
#[derive(Clone, Copy)]
enum Segment<'a> {
    Key(&'a str),
    Index(usize),
}

fn segments(key: &str) -> Vec<Segment<'_>> {
    let mut segments = Vec::new();
    for part in key.split(['.', '[']) {
        let index = part.strip_suffix(']').and_then(|text| text.parse().ok());
        segments.push(index.map_or(Segment::Key(part), Segment::Index));
    }
    segments
}

/// Returns the offset and the value of `segment` in a table or an array.
fn descend<'a, 'i>(
    value: &'a DeValue<'i>,
    segment: Segment<'_>,
) -> Option<(usize, &'a DeValue<'i>)> {
    match segment {
        Segment::Key(name) => {
            let (key, value) = value
                .as_table()?
                .iter()
                .find(|(key, _)| key.get_ref() == name)?;
            Some((key.span().start, value.get_ref()))
        }
        Segment::Index(index) => {
            let item = value.as_array()?.get(index)?;
            Some((item.span().start, item.get_ref()))
        }
    }
}
