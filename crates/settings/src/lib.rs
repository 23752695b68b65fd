//! The front's configuration as JSON: terms are looked up by path, and a file of the old shape is brought into
//! the new one. No files are touched here.
//!
//! In the new shape every term that the front reads stands in the file, whether it has its usual value or not,
//! and nothing else does; `shape` says so. A file without `shape` is of the old shape and is served as ever.

use serde_json::{Map, Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The number under `shape` of a file in the new shape.
pub const SHAPE: u64 = 2;
/// Terms that came with the move, and what an old file without them means.
const ADDED_SETTINGS: [(&str, &str); 4] = [
    ("Guarantees.GoneIsAdvice", "false"),
    ("OverShareWorth", "1.0"),
    ("Specifics.ServerChecks", "\"off\""),
    ("Tenants", "[]"),
];
/// Terms that the front itself reads, beside those of the router.
const FRONT_SETTINGS: [&str; 5] = [
    "Bounds.ConnIdle",
    "Bounds.ConnectTimeout",
    "Guarantees.GraceToAnswer",
    "Specifics.SessionMarks",
    "Zones",
];
/// What else a file may hold, outside the terms.
const OTHER_FIELDS: [&str; 7] = ["discovery", "known", "limits", "listen", "name", "seed", "settings"];

/// A file in the new shape, and what became of each field of the old one.
#[derive(Clone, Debug, PartialEq)]
pub struct Migration {
    pub file: Value,
    pub carried: Vec<String>,
    /// Written with its usual value, as the old file did not tell it.
    pub defaulted: Vec<(String, Value)>,
    /// Left out, and why.
    pub left_out: Vec<(String, &'static str)>,
    /// It was of the new shape already: nothing is to be written.
    pub already: bool,
}

/// Looks a term up by path; a list of plain values is joined by commas.
///
/// ```
/// let terms = serde_json::json!({ "Zones": ["a", "b"], "Tenants": [{ "QuotaRps": 3.5 }] });
/// assert_eq!(juniperdock_settings::term(&terms, "Zones").as_deref(), Some("a,b"));
/// assert_eq!(juniperdock_settings::term(&terms, "Tenants.0.QuotaRps").as_deref(), Some("3.5"));
/// assert_eq!(juniperdock_settings::term(&terms, "Tenants.count").as_deref(), Some("1"));
/// ```
pub fn term(settings: &Value, path: &str) -> Option<String> {
    let mut at = settings;
    for part in path.split('.') {
        at = match (at, part.parse::<usize>()) {
            (Value::Array(items), _) if part == "count" => return Some(items.len().to_string()),
            (Value::Array(items), Ok(i)) => items.get(i)?,
            _ => at.get(part)?,
        };
    }
    let plain = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    Some(match at {
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        Value::Null => return None,
        value => plain(value),
    })
}

/// Of which shape a file is; the error says what stands under `shape` instead.
pub fn is_new(file: &Value) -> Result<bool, String> {
    match &file["shape"] {
        Value::Null => Ok(false),
        shape if shape.as_u64() == Some(SHAPE) => Ok(true),
        shape => Err(format!("shape: expected {SHAPE}, or none in a file of the old shape, found {shape}")),
    }
}

/// Brings a file into the new shape. The error names the line, or the field, and what was expected there.
pub fn bring(text: &str) -> Result<Migration, String> {
    let old: Value = serde_json::from_str(text).map_err(|e| format!("expected JSON: {e}"))?;
    let fields = old.as_object().ok_or("expected an object, the configuration of a front")?;
    let (mut carried, mut defaulted, mut left_out) = (Vec::new(), Vec::new(), Vec::new());
    if is_new(&old)? {
        return Ok(Migration { file: old, carried, defaulted, left_out, already: true });
    }
    let settings = fields.get("settings").filter(|settings| settings.is_object());
    let mut settings = settings.ok_or("settings: expected an object")?.clone();
    for (path, default) in ADDED_SETTINGS {
        if term(&settings, path).is_none() {
            let default: Value = serde_json::from_str(default).map_err(|e| e.to_string())?;
            set(&mut settings, path, default.clone()).map_err(|why| format!("settings.{why}"))?;
            defaulted.push((format!("settings.{path}"), default));
        }
    }
    // What the router reads it says itself, by looking it up.
    let read = RefCell::new(BTreeSet::from(FRONT_SETTINGS.map(str::to_owned)));
    let lookup = |path: &str| {
        read.borrow_mut().insert(path.to_owned());
        term(&settings, path)
    };
    let (_, consistencies) =
        juniperdock_deployment::open(0, &lookup).map_err(|why| format!("settings: {why}"))?;
    let mut read = read.into_inner();
    for kind in 0..consistencies.len() {
        read.extend(["Name", "HardLimit"].map(|key| format!("Services.{kind}.{key}")));
    }
    read.extend(ADDED_SETTINGS.map(|(path, _)| path.to_owned()));
    let migrated = retain_read(&settings, "", &read, &mut |path, kept| {
        let path = format!("settings.{path}");
        if !kept {
            left_out.push((path, "the front reads no such term"));
        } else if !defaulted.iter().any(|(setting, _)| *setting == path) {
            carried.push(path);
        }
    });
    let mut file = Map::new();
    file.insert("shape".to_owned(), json!(SHAPE));
    for (field, value) in fields {
        if field == "settings" {
            file.insert(field.clone(), migrated.clone().unwrap_or_else(|| json!({})));
        } else if OTHER_FIELDS.contains(&field.as_str()) {
            file.insert(field.clone(), value.clone());
            carried.push(field.clone());
        } else if ["peers", "peers_all", "peer_listen"].contains(&field.as_str()) {
            left_out.push((field.clone(), "fronts tell each other nothing"));
        } else {
            left_out.push((field.clone(), "no front reads it"));
        }
    }
    Ok(Migration { file: Value::Object(file), carried, defaulted, left_out, already: false })
}

/// Sets a term; the error names the part of its path that is no object.
fn set(settings: &mut Value, path: &str, value: Value) -> Result<(), String> {
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut at = settings;
    for part in parent.split('.').filter(|part| !part.is_empty()) {
        let found = at.as_object_mut().ok_or_else(|| format!("{parent}: expected an object"))?;
        at = found.entry(part).or_insert_with(|| json!({}));
    }
    let found = at.as_object_mut().ok_or_else(|| format!("{parent}: expected an object"))?;
    found.insert(last.to_owned(), value);
    Ok(())
}

/// What of a value is read, by the paths that are; says of each plain one whether it is kept.
fn retain_read(
    value: &Value,
    path: &str,
    read: &BTreeSet<String>,
    visit: &mut impl FnMut(&str, bool),
) -> Option<Value> {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            let mut kept = Map::new();
            for (key, value) in fields {
                if let Some(value) = retain_read(value, &below(key), read, visit) {
                    kept.insert(key.clone(), value);
                }
            }
            (!kept.is_empty()).then_some(Value::Object(kept))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let each = |(i, item)| {
                retain_read(item, &below(&format!("{i}")), read, visit).unwrap_or_else(|| json!({}))
            };
            Some(Value::Array(items.iter().enumerate().map(each).collect()))
        }
        plain => {
            let is_read = read.contains(path);
            visit(path, is_read);
            is_read.then(|| plain.clone())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn old() -> Value {
        json!({ "seed": "1f", "limits": { "sockets": 256 }, "peers": ["127.0.0.1:1"], "colour": "red",
            "settings": { "Zones": ["a"], "Balancers": 3, "Deductions": { "Probe": 0.02 },
                "Services": [{ "Name": "look", "Effect": "pure", "HardLimit": 900, "Objective": 300, "Odd": 1 }],
                "Bounds": { "TryLimit": 4, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 500.0 } } })
    }

    #[test]
    fn migration_carries_read_fields_and_lists_the_rest_as_left_out() {
        let migration = bring(&old().to_string()).unwrap();
        let file = &migration.file;
        assert_eq!((&file["shape"], &file["seed"]), (&json!(2), &json!("1f")));
        assert_eq!(file["settings"]["Bounds"], old()["settings"]["Bounds"]);
        assert_eq!(file["settings"]["Tenants"], json!([]));
        assert_eq!(file["settings"]["Guarantees"]["GoneIsAdvice"], json!(false));
        let left: Vec<_> = migration.left_out.iter().map(|(field, _)| field.as_str()).collect();
        assert_eq!(left, ["settings.Deductions.Probe", "settings.Services.0.Odd", "colour", "peers"]);
        assert!(file["settings"].get("Deductions").is_none() && file.get("peers").is_none());
        assert_eq!(migration.defaulted.len(), 4);
        assert!(migration.carried.contains(&"settings.Services.0.HardLimit".to_owned()));
    }

    #[test]
    fn migrating_a_migrated_file_leaves_it_unchanged() {
        let migration = bring(&old().to_string()).unwrap();
        let again = bring(&migration.file.to_string()).unwrap();
        assert!(again.already && again.file == migration.file);
    }

    #[test]
    fn malformed_file_is_reported_by_line_or_field() {
        let error_of = |text: &str| bring(text).unwrap_err();
        assert!(error_of("{ \"seed\": \"1f\",\n").contains("line 2"));
        assert!(error_of("[]").contains("expected an object"));
        assert!(error_of("{}").contains("settings: expected an object"));
        assert!(error_of(r#"{"settings":{"Guarantees":7}}"#).contains("Guarantees: expected an object"));
        assert!(error_of(r#"{"settings":{"Bounds":{"TryLimit":"many"}}}"#).contains("Bounds.TryLimit"));
        assert!(error_of(r#"{"settings":{"OverShareWorth":-1}}"#).contains("from 0 to 1 in OverShareWorth"));
        assert!(error_of(r#"{"shape":7,"settings":{}}"#).contains("shape: expected 2"));
    }
}
