//! One message of the line protocol: a name, then `name=value` fields in any order.

use juniperdock_deployment as deployment;
use std::str::FromStr;
use std::time::Duration;

/// One line, split into its name and the text of its fields.
#[derive(Clone, Copy)]
pub struct Message<'a> {
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Message<'a> {
    /// Splits a line without checking its fields.
    pub fn new(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Message { name, rest }
    }

    /// All fields as name and value; text without `=` is skipped.
    pub fn fields(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.rest.split(' ').filter_map(|part| part.split_once('='))
    }

    /// The text of a field, if the message has it.
    pub fn text(&self, field: &str) -> Option<&'a str> {
        self.fields().find(|&(name, _)| name == field).map(|(_, value)| value)
    }

    /// The parsed value of a field, if the message has it.
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        self.text(field).map(|v| parse(self.name, field, v)).transpose()
    }

    /// The parsed value of a field that the message must have.
    pub fn required<T: FromStr>(&self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| format!("{}: expected a field {field}", self.name))
    }

    /// The value of a boolean field; false if it is missing.
    pub fn flag(&self, field: &str) -> Result<bool, String> {
        match self.text(field) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(format!("{}: expected 0 or 1 in {field}, found {v:?}", self.name)),
        }
    }

    /// A time in milliseconds, as microseconds.
    pub fn millis(&self, field: &str) -> Result<Option<i64>, String> {
        self.optional::<f64>(field)?
            .map(|ms| deployment::micros(ms).ok_or_else(|| invalid_value(self.name, field, &ms)))
            .transpose()
    }

    /// A time in milliseconds, as a duration; negative values become zero.
    pub fn span(&self, field: &str) -> Result<Option<Duration>, String> {
        Ok(self.millis(field)?.map(deployment::span))
    }
}

fn parse<T: FromStr>(name: &str, field: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| invalid_value(name, field, &value))
}

fn invalid_value(name: &str, field: &str, value: &dyn std::fmt::Debug) -> String {
    format!("{name}: expected a valid value in {field}, found {value:?}")
}
