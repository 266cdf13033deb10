//! TOML documents of resources, as `swiftlink apply -f` takes them.
//!
//! Each resource is one table of an array named after its kind:
//!
//! ```toml
//! [[budget]]
//! name = "notaries-2026"
//!
//! [[key]]
//! name = "notaries-portal"
//! workspace = "notaries"
//! secret = "..."    # hashed here; only the hash is sent
//! ```
//!
//! `version = N` makes the change conditional on that version being current
//! (0: the resource must not exist yet); without it the change is made to
//! whatever is current.

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
use error::Faults;

/// Reads the file at `path`.
///
/// # Errors
/// When it can't be read or is not a document of valid resources.
pub fn load(path: &Path) -> Result<Vec<ApplyChange>, DocumentError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|cause| DocumentError::Read {
        file: file.clone(),
        cause,
    })?;
    parse(&file, &text)
}

/// Reads a document; `file` is its name in errors. Changes keep the file's order.
///
/// # Errors
/// When it is not a document of valid resources.
pub fn parse(file: &str, text: &str) -> Result<Vec<ApplyChange>, DocumentError> {
    let faults = Faults { file, text };
    let table = DeTable::parse(text).map_err(|error| faults.syntax(&error))?;
    let mut changes = Vec::new();
    for (kind, list) in table.get_ref() {
        let entries = entries(&faults, kind, list)?;
        for entry in entries {
            let change = Entry::new(&faults, kind.get_ref(), entry)?.change()?;
            changes.push((entry.span().start, change));
        }
    }
    changes.sort_by_key(|(start, _change)| *start);
    Ok(changes.into_iter().map(|(_start, change)| change).collect())
}

type Element<'t> = Spanned<DeValue<'t>>;

fn entries<'a, 't>(
    faults: &Faults<'_>,
    kind: &Spanned<toml::de::DeString<'t>>,
    list: &'a Element<'t>,
) -> Result<Vec<&'a Element<'t>>, DocumentError> {
    let word = kind.get_ref().as_ref();
    if word.parse::<Kind>().is_err() {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        let detail = format!("unknown kind; known are {known}");
        return Err(faults.at(kind.span(), word, detail));
    }
    let detail = format!("must be written as [[{word}]]");
    let Some(array) = list.get_ref().as_array() else {
        return Err(faults.at(kind.span(), word, detail));
    };
    let entries: Vec<_> = array.iter().collect();
    for entry in &entries {
        if !entry.get_ref().is_table() {
            return Err(faults.at(entry.span(), word, detail));
        }
    }
    Ok(entries)
}

/// One `[[kind]]` table.
struct Entry<'a, 't> {
    faults: &'a Faults<'a>,
    kind: &'a str,
    name: String,
    table: &'a DeTable<'t>,
    span: Range<usize>,
}

impl<'a, 't> Entry<'a, 't> {
    fn new(
        faults: &'a Faults<'a>,
        kind: &'a str,
        element: &'a Element<'t>,
    ) -> Result<Self, DocumentError> {
        let table = element.get_ref().as_table().expect("checked to be a table");
        let span = element.span();
        let Some(name) = table.get("name") else {
            return Err(faults.at(span, &format!("{kind}.name"), "is missing".to_owned()));
        };
        let Some(text) = name.get_ref().as_str() else {
            let key = format!("{kind}.name");
            return Err(faults.at(name.span(), &key, "must be a string".to_owned()));
        };
        Ok(Self {
            faults,
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
            let value = value::json(element);
            let value = value.map_err(|detail| self.fault(field, detail))?;
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
        number.ok_or_else(|| self.fault("version", "must be a whole number from 0".to_owned()))
    }

    /// The hash that stands for a key's secret, so that the secret stays here.
    fn hash(&self, value: &Value) -> Result<String, DocumentError> {
        if self.table.get("hash").is_some() {
            return Err(self.fault("hash", "give secret or hash, not both".to_owned()));
        }
        let Some(secret) = value.as_str() else {
            return Err(self.fault("secret", "must be a string".to_owned()));
        };
        if secret.is_empty() {
            return Err(self.fault("secret", "must not be empty".to_owned()));
        }
        Ok(hex::encode(Sha256::digest(secret)))
    }

    fn check(&self, spec: &Value) -> Result<(), DocumentError> {
        let checked = check::check(self.kind, &self.name, spec);
        checked.map_err(|fault| self.fault(&fault.field, fault.detail))
    }

    /// An error at a field of this entry, or at its head if the field is absent.
    fn fault(&self, field: &str, detail: String) -> DocumentError {
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
        self.faults.at(span, &key, detail)
    }
}
