//! Names of values on the command line, which reports share.

use clap::ValueEnum;
use serde::Serializer;

/// The name that a value has on the command line.
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
