//! TOML values as JSON.

use serde_json::{Map, Number, Value};
use toml::Spanned;
use toml::de::{DeInteger, DeValue};

/// The JSON form of a TOML value, or what is wrong with it.
pub(super) fn json(element: &Spanned<DeValue<'_>>) -> Result<Value, String> {
    match element.get_ref() {
        DeValue::String(text) => Ok(Value::String(text.to_string())),
        DeValue::Integer(integer) => whole(integer),
        DeValue::Float(float) => real(float.as_str()),
        DeValue::Boolean(flag) => Ok(Value::Bool(*flag)),
        DeValue::Datetime(_) => Err("dates are not used here".to_owned()),
        DeValue::Array(array) => {
            let items: Result<_, _> = array.iter().map(json).collect();
            Ok(Value::Array(items?))
        }
        DeValue::Table(table) => {
            let mut object = Map::new();
            for (key, value) in table {
                object.insert(key.get_ref().to_string(), json(value)?);
            }
            Ok(Value::Object(object))
        }
    }
}

fn whole(integer: &DeInteger<'_>) -> Result<Value, String> {
    let number = i128::from_str_radix(integer.as_str(), integer.radix());
    let number = number.map_err(|_error| "is too large".to_owned())?;
    let number = Number::from_i128(number).ok_or("is too large")?;
    Ok(Value::Number(number))
}

fn real(text: &str) -> Result<Value, String> {
    let number = text.parse().ok().and_then(Number::from_f64);
    number
        .map(Value::Number)
        .ok_or_else(|| "is not a finite number".to_owned())
}
