//! Parses the TOML documents of `swiftlink apply -f`.
//!
//! Each resource is an entry in an array of tables named after its kind:
//!
//! ```toml
//! [[budget]]
//! name = "notaries-2026"
//!
//! [[key]]
//! name = "notaries-portal"
//! workspace = "notaries"
//! secret = "..."    # hashed locally; only the hash is sent
//! ```
//!
//! `version = N` makes the change conditional on `N` being the current version of the resource
//! (0: the resource must not exist). Without it the change applies to any version.

mod check;
mod error;
mod value;

use std::ops::Range;
use std::path::Path;

use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use swiftlink_resource::Kind;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::api::ApplyChange;

pub use error::DocumentError;
use error::Source;

/// Reads and parses the document at `path`.
///
/// # Errors
/// Fails if the file can't be read or isn't a document of valid resources.
pub fn load(path: &Path) -> Result<Vec<ApplyChange>, DocumentError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|cause| DocumentError::Read {
        file: file.clone(),
        cause,
    })?;
    parse(&file, &text)
}

/// Parses a document; `file` is its name in errors. Changes are in document order.
///
/// # Errors
/// Fails if the text isn't a document of valid resources.
pub fn parse(file: &str, text: &str) -> Result<Vec<ApplyChange>, DocumentError> {
    let source = Source { file, text };
    let table = DeTable::parse(text).map_err(|error| source.syntax_error(&error))?;
    let mut changes = Vec::new();
    for (kind, list) in table.get_ref() {
        let entries = entries(&source, kind, list)?;
        for entry in entries {
            let change = Entry::new(&source, kind.get_ref(), entry)?.change()?;
            changes.push((entry.span().start, change));
        }
    }
    changes.sort_by_key(|(start, _change)| *start);
    Ok(changes.into_iter().map(|(_start, change)| change).collect())
}

type Element<'t> = Spanned<DeValue<'t>>;

fn entries<'a, 't>(
    source: &Source<'_>,
    kind: &Spanned<toml::de::DeString<'t>>,
    list: &'a Element<'t>,
) -> Result<Vec<&'a Element<'t>>, DocumentError> {
    let name = kind.get_ref().as_ref();
    if name.parse::<Kind>().is_err() {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        let detail = format!("unknown kind; known are {known}");
        return Err(source.error_at(kind.span(), name, detail));
    }
    let detail = format!("must be written as [[{name}]]");
    let Some(array) = list.get_ref().as_array() else {
        return Err(source.error_at(kind.span(), name, detail));
    };
    let entries: Vec<_> = array.iter().collect();
    for entry in &entries {
        if !entry.get_ref().is_table() {
            return Err(source.error_at(entry.span(), name, detail));
        }
    }
    Ok(entries)
}

/// One `[[kind]]` table.
struct Entry<'a, 't> {
    source: &'a Source<'a>,
    kind: &'a str,
    name: String,
    table: &'a DeTable<'t>,
    span: Range<usize>,
}

impl<'a, 't> Entry<'a, 't> {
    fn new(
        source: &'a Source<'a>,
        kind: &'a str,
        element: &'a Element<'t>,
    ) -> Result<Self, DocumentError> {
        let table = element.get_ref().as_table().expect("checked to be a table");
        let span = element.span();
        let Some(name) = table.get("name") else {
            return Err(source.error_at(span, &format!("{kind}.name"), "is missing".to_owned()));
        };
        let Some(text) = name.get_ref().as_str() else {
            let key = format!("{kind}.name");
            return Err(source.error_at(name.span(), &key, "must be a string".to_owned()));
        };
        Ok(Self {
            source,
            kind,
            name: text.to_owned(),
            table,
            span,
        })
    }

    fn change(&self) -> Result<ApplyChange, DocumentError> {
        let mut base = None;
        let mut spec = Map::new();
        for (key, element) in self.table {
            let field = key.get_ref().as_ref();
            let value = value::to_json(element);
            let value = value.map_err(|detail| self.error_at_field(field, detail))?;
            match field {
                "name" => {}
                "version" => base = Some(self.version(&value)?),
                "secret" if self.kind == "key" => {
                    let hash = self.hash(&value)?;
                    spec.insert("hash".to_owned(), Value::String(hash));
                }
                _ => {
                    spec.insert(field.to_owned(), value);
                }
            }
        }
        let spec = Value::Object(spec);
        self.check(&spec)?;
        Ok(ApplyChange {
            kind: self.kind.to_owned(),
            name: self.name.clone(),
            base,
            delete: false,
            spec: Some(spec),
        })
    }

    fn version(&self, value: &Value) -> Result<u64, DocumentError> {
        let number = value.as_u64();
        number.ok_or_else(|| {
            self.error_at_field("version", "must be a whole number from 0".to_owned())
        })
    }

    /// Hashes the secret of a key, so that the secret itself isn't sent.
    fn hash(&self, value: &Value) -> Result<String, DocumentError> {
        if self.table.get("hash").is_some() {
            return Err(self.error_at_field("hash", "give secret or hash, not both".to_owned()));
        }
        let Some(secret) = value.as_str() else {
            return Err(self.error_at_field("secret", "must be a string".to_owned()));
        };
        if secret.is_empty() {
            return Err(self.error_at_field("secret", "must not be empty".to_owned()));
        }
        Ok(hex::encode(Sha256::digest(secret)))
    }

    fn check(&self, spec: &Value) -> Result<(), DocumentError> {
        let checked = check::check(self.kind, &self.name, spec);
        checked.map_err(|error| self.error_at_field(&error.field, error.detail))
    }

    /// Returns an error at a field of this entry, or at its header if the field is absent.
    fn error_at_field(&self, field: &str, detail: String) -> DocumentError {
        let first = field.split(['.', '[']).next().unwrap_or(field);
        let first = if first == "hash" && self.table.get("hash").is_none() {
            "secret"
        } else {
            first
        };
        let mut span = self.span.clone();
        for (key, _value) in self.table {
            if key.get_ref().as_ref() == first {
                span = key.span();
            }
        }
        let key = if field.is_empty() {
            format!("{}.{}", self.kind, self.name)
        } else {
            format!("{}.{}.{field}", self.kind, self.name)
        };
        self.source.error_at(span, &key, detail)
    }
}
