//! Fault switches that tests turn while a stand-in runs.

use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// Switches that every HTTP stand-in has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BaseFault {
    /// Added to each answer (ms).
    pub delay_ms: u64,
    /// Share of answers lost after the work was done, 0 to 1.
    pub lose_answers: f64,
    /// Every call is answered 503 and does nothing.
    pub outage: bool,
    /// Callers, by `User-Agent`, that get no answer and whose calls do nothing.
    pub cut: Vec<String>,
}

/// The switches of one stand-in, in a plain struct.
pub trait Fault: Clone + Serialize + DeserializeOwned + Send + 'static {
    /// The base switches among them.
    fn base(&self) -> BaseFault;
}

/// The switches as the host reads and turns them for any stand-in.
pub trait Panel {
    /// The base switches now.
    fn base(&self) -> BaseFault;
    /// All switches as JSON.
    fn shown(&self) -> Value;
    /// Changes the switches that the JSON object `patch` names.
    ///
    /// # Errors
    /// Those of [`Switches::patch`].
    fn turn(&self, patch: &[u8]) -> Result<(), String>;
}

/// A set of switches, read on each call and changed at run time.
#[derive(Debug)]
pub struct Switches<T>(Mutex<T>);

impl<T: Clone + Serialize + DeserializeOwned> Switches<T> {
    /// Starts from the given positions.
    pub fn new(start: T) -> Self {
        Self(Mutex::new(start))
    }

    /// The positions now.
    pub fn get(&self) -> T {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Changes the switches that the JSON object `patch` names and keeps the rest.
    ///
    /// # Errors
    /// One sentence when the patch is no object, or names an unknown switch, or
    /// gives a value of the wrong type; then nothing is changed.
    pub fn patch(&self, patch: &[u8]) -> Result<T, String> {
        let patch: Map<String, Value> =
            serde_json::from_slice(patch).map_err(|error| format!("not an object: {error}"))?;
        let mut held = self.0.lock().expect("no holder panics");
        let Ok(Value::Object(mut now)) = serde_json::to_value(&*held) else {
            return Err("the switches are no object".to_owned());
        };
        for (name, value) in patch {
            if !now.contains_key(&name) {
                return Err(format!("unknown switch: {name}"));
            }
            now.insert(name, value);
        }
        let next: T =
            serde_json::from_value(Value::Object(now)).map_err(|error| error.to_string())?;
        *held = next.clone();
        Ok(next)
    }
}

impl<T: Fault> Panel for Switches<T> {
    fn base(&self) -> BaseFault {
        self.get().base()
    }

    fn shown(&self) -> Value {
        json!(self.get())
    }

    fn turn(&self, patch: &[u8]) -> Result<(), String> {
        self.patch(patch).map(drop)
    }
}
