//! Reads the file that `GW_CONFIG` names. Its server list may be much larger than everything else, so it is parsed into
//! typed entries and never kept as JSON.

use juniperdock_server_list::ServerList;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// The field that contains the last known server list.
const KNOWN_FIELD: &str = "known";

/// The file without its server list.
struct Rest(Value);

impl<'de> Deserialize<'de> for Rest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Rest, D::Error> {
        deserializer.deserialize_map(RestVisitor)
    }
}

struct RestVisitor;

impl<'de> Visitor<'de> for RestVisitor {
    type Value = Rest;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Rest, A::Error> {
        let mut rest = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            if name == KNOWN_FIELD {
                fields.next_value::<IgnoredAny>()?;
            } else if rest.insert(name, fields.next_value()?).is_some() {
                return Err(A::Error::custom("expected each field once"));
            }
        }
        Ok(Rest(Value::Object(rest)))
    }
}

/// The server list alone.
struct KnownList(Result<ServerList, String>);

impl<'de> Deserialize<'de> for KnownList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<KnownList, D::Error> {
        #[derive(serde::Deserialize)]
        struct Field {
            known: ServerList,
        }
        Ok(KnownList(Field::deserialize(deserializer).map(|field| field.known).map_err(|e| e.to_string())))
    }
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("GW_CONFIG: reading {path}: {e}"))
}

fn parse(path: &str, text: &str) -> Result<Value, String> {
    let rest: Result<Rest, _> = serde_json::from_str(text);
    rest.map(|rest| rest.0).map_err(|e| format!("GW_CONFIG: {path}: expected JSON: {e}"))
}

/// Reads the file without its server list.
pub fn read_without_list(path: &str) -> Result<Value, String> {
    parse(path, &read(path)?)
}

/// Reads the file without its server list, and separately the server list or why there is none.
pub fn read_with_list(path: &str) -> Result<(Value, Result<ServerList, String>), String> {
    let text = read(path)?;
    let rest = parse(path, &text)?;
    let known: Result<KnownList, _> = serde_json::from_str(&text);
    Ok((rest, known.map_err(|e| e.to_string()).and_then(|known| known.0)))
}
