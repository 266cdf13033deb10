//! Conversion of TOML values to JSON.

use serde_json::{Map, Number, Value};
use toml::Spanned;
use toml::de::{DeInteger, DeValue};

/// Converts a TOML value to JSON.
///
/// # Errors
/// Returns a description of a value that can't be represented.
pub(super) fn to_json(element: &Spanned<DeValue<'_>>) -> Result<Value, String> {
    match element.get_ref() {
        DeValue::String(text) => Ok(Value::String(text.to_string())),
        DeValue::Integer(integer) => integer_to_json(integer),
        DeValue::Float(float) => float_to_json(float.as_str()),
        DeValue::Boolean(flag) => Ok(Value::Bool(*flag)),
        DeValue::Datetime(_) => Err("dates are not supported".to_owned()),
        DeValue::Array(array) => {
            let items: Result<_, _> = array.iter().map(to_json).collect();
            Ok(Value::Array(items?))
        }
        DeValue::Table(table) => {
            let mut object = Map::new();
            for (key, value) in table {
                object.insert(key.get_ref().to_string(), to_json(value)?);
            }
            Ok(Value::Object(object))
        }
    }
}

fn integer_to_json(integer: &DeInteger<'_>) -> Result<Value, String> {
    let number = i128::from_str_radix(integer.as_str(), integer.radix());
    let number = number.map_err(|_error| "is too large".to_owned())?;
    let number = Number::from_i128(number).ok_or("is too large")?;
    Ok(Value::Number(number))
}

fn float_to_json(text: &str) -> Result<Value, String> {
    let number = text.parse().ok().and_then(Number::from_f64);
    number
        .map(Value::Number)
        .ok_or_else(|| "is not a finite number".to_owned())
}
