//! The names that enum values have on the command line; the output uses the same names.

use clap::ValueEnum;
use serde::Serializer;

/// The name of a value on the command line; empty for a value that is hidden from it.
pub fn value_name(value: &impl ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or(String::new(), |value| value.get_name().to_string())
}

/// Serializes a value as its name on the command line.
pub(crate) fn serialize_value_name<S: Serializer>(
    value: &impl ValueEnum,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&value_name(value))
}
