//! Fault switches that tests set while a stand-in runs.

use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// Fault switches that all HTTP stand-ins share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BaseFault {
    /// Delay added to each answer, in ms.
    pub delay_ms: u64,
    /// Share of answers that are lost after the work was done, from 0 to 1.
    pub lose_answers: f64,
    /// Every call gets 503 and has no effect.
    pub outage: bool,
    /// Callers, by `User-Agent`, that get no answer and whose calls have no effect.
    pub cut: Vec<String>,
}

/// Fault switches of one kind of stand-in.
pub trait Fault: Clone + Serialize + DeserializeOwned + Send + 'static {
    /// The shared switches.
    fn base(&self) -> BaseFault;
}

/// Object-safe access of the host to the fault switches of any stand-in.
pub trait FaultControl {
    /// Current state of the shared switches.
    fn base(&self) -> BaseFault;
    /// Current state of all switches as JSON.
    fn to_json(&self) -> Value;
    /// Changes the switches that the JSON object `patch` names.
    ///
    /// # Errors
    /// Same as for [`Switches::patch`].
    fn apply_patch(&self, patch: &[u8]) -> Result<(), String>;
}

/// A set of fault switches, read on each call and changed at run time.
#[derive(Debug)]
pub struct Switches<T>(Mutex<T>);

impl<T: Clone + Serialize + DeserializeOwned> Switches<T> {
    /// Creates the switches with the given state.
    pub fn new(start: T) -> Self {
        Self(Mutex::new(start))
    }

    /// Current state of the switches.
    pub fn get(&self) -> T {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Changes the switches that the JSON object `patch` names and keeps the rest.
    ///
    /// # Errors
    /// A message when the patch is not an object, names an unknown switch, or has a value
    /// of the wrong type. Nothing is changed then.
    pub fn patch(&self, patch: &[u8]) -> Result<T, String> {
        let patch: Map<String, Value> =
            serde_json::from_slice(patch).map_err(|error| format!("not an object: {error}"))?;
        let mut current = self.0.lock().expect("no holder panics");
        let Ok(Value::Object(mut fields)) = serde_json::to_value(&*current) else {
            return Err("the switches are no object".to_owned());
        };
        for (name, value) in patch {
            if !fields.contains_key(&name) {
                return Err(format!("unknown switch: {name}"));
            }
            fields.insert(name, value);
        }
        let next: T =
            serde_json::from_value(Value::Object(fields)).map_err(|error| error.to_string())?;
        *current = next.clone();
        Ok(next)
    }
}

impl<T: Fault> FaultControl for Switches<T> {
    fn base(&self) -> BaseFault {
        self.get().base()
    }

    fn to_json(&self) -> Value {
        json!(self.get())
    }

    fn apply_patch(&self, patch: &[u8]) -> Result<(), String> {
        self.patch(patch).map(drop)
    }
}
