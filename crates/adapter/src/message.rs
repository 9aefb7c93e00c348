//! Parses one line of the input into a message name and named fields, and converts values to types. Which
//! messages and fields exist is defined elsewhere.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use quillpoint::host::{NodeId, RpcId};
use quillpoint_settings::duration_from_ms;

use crate::WireError;

/// The one field whose value may contain spaces: it runs to the end of the line.
const SETTINGS_FIELD: &str = "BootInfo";

/// The name of a message and its fields, in the order of the line.
pub struct WireMessage<'a> {
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> WireMessage<'a> {
    /// # Errors
    /// A part of the line after the name does not have the form `name=value`.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(12);
        while !rest.is_empty() {
            let invalid_syntax = || WireError::InvalidFieldSyntax(rest.to_string());
            let (field, after) = rest.split_once('=').ok_or_else(invalid_syntax)?;
            if field.is_empty() || field.contains(' ') {
                return Err(invalid_syntax());
            }
            let (value, next) = match field {
                SETTINGS_FIELD => (after, ""),
                _ => after.split_once(' ').unwrap_or((after, "")),
            };
            fields.push((field, value));
            rest = next;
        }
        Ok(Self { name, fields })
    }

    pub fn text(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    pub fn required_text(&self, field: &'static str) -> Result<&'a str, WireError> {
        self.text(field).ok_or_else(|| self.missing_field(field))
    }

    /// The field's value parsed with [`FromStr`], or `None` if the field is absent.
    pub fn parsed<T: FromStr>(&self, field: &str) -> Result<Option<T>, WireError> {
        self.parsed_with(field, |text| text.parse().ok())
    }

    pub fn required<T: FromStr>(&self, field: &'static str) -> Result<T, WireError> {
        self.parsed(field)?.ok_or_else(|| self.missing_field(field))
    }

    /// The field's value parsed with `parse`, or `None` if the field is absent. `parse` returns `None` for an
    /// invalid value.
    pub fn parsed_with<T>(
        &self,
        field: &str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<Option<T>, WireError> {
        let Some(text) = self.text(field) else { return Ok(None) };
        match parse(text) {
            Some(value) => Ok(Some(value)),
            None => Err(WireError::InvalidField { field: field.to_string(), value: text.to_string() }),
        }
    }

    pub fn required_with<T>(
        &self,
        field: &'static str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<T, WireError> {
        self.parsed_with(field, parse)?.ok_or_else(|| self.missing_field(field))
    }

    pub fn duration(&self, field: &str) -> Result<Option<Duration>, WireError> {
        self.parsed_with(field, |text| {
            text.parse().ok().filter(|ms: &f64| ms.is_finite()).map(duration_from_ms)
        })
    }

    pub fn required_duration(&self, field: &'static str) -> Result<Duration, WireError> {
        self.duration(field)?.ok_or_else(|| self.missing_field(field))
    }

    /// A boolean field, which is false if it is absent.
    pub fn flag(&self, field: &str) -> Result<bool, WireError> {
        let parse = |text| match text {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        };
        Ok(self.parsed_with(field, parse)?.unwrap_or(false))
    }

    pub fn hex(&self, field: &str) -> Result<Option<u64>, WireError> {
        self.parsed_with(field, |text| u64::from_str_radix(text, 16).ok())
    }

    pub fn instance(&self) -> Result<u64, WireError> {
        self.required("Who")
    }

    pub fn rpc(&self) -> Result<RpcId, WireError> {
        self.hex("OpId")?.map(RpcId).ok_or_else(|| self.missing_field("OpId"))
    }

    pub fn node(&self) -> Result<NodeId, WireError> {
        self.required::<SocketAddr>("Node").map(NodeId)
    }

    fn missing_field(&self, field: &'static str) -> WireError {
        WireError::MissingField { message: self.name.to_string(), field }
    }
}
