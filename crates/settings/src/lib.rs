//! The front's configuration as JSON: looks settings up by path, and migrates a file from the old shape to the new one.
//! Does no file I/O.
//!
//! A file of the new shape contains `shape` and exactly the settings that the front reads, including those with their
//! default value. A file without `shape` is of the old shape and is still supported.

use serde_json::{Map, Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The value of `shape` in a file of the new shape.
pub const SHAPE: u64 = 2;
/// Settings added with the new shape, and the value that a file of the old shape implies.
const ADDED_SETTINGS: [(&str, &str); 4] = [
    ("Guarantees.GoneIsAdvice", "false"),
    ("OverShareWorth", "1.0"),
    ("Specifics.ServerChecks", "\"off\""),
    ("Tenants", "[]"),
];
/// Settings that the front itself reads, in addition to those of the router.
const FRONT_SETTINGS: [&str; 5] = [
    "Bounds.ConnIdle",
    "Bounds.ConnectTimeout",
    "Guarantees.GraceToAnswer",
    "Specifics.SessionMarks",
    "Zones",
];
/// Top-level fields of the file that the migration carries over.
const OTHER_FIELDS: [&str; 7] = ["discovery", "known", "limits", "listen", "name", "seed", "settings"];

/// A file of the new shape, and what happened to each field of the old one.
#[derive(Clone, Debug, PartialEq)]
pub struct Migration {
    /// The migrated file.
    pub file: Value,
    /// Fields carried over unchanged.
    pub carried: Vec<String>,
    /// Fields absent from the old file, written with their default value.
    pub defaulted: Vec<(String, Value)>,
    /// Fields left out, each with the reason.
    pub left_out: Vec<(String, &'static str)>,
    /// The file was of the new shape already; nothing needs to be written.
    pub already: bool,
}

/// Looks a setting up by path. A list of plain values is joined by commas; `count` gives the length of a list.
///
/// ```
/// let settings = serde_json::json!({ "Zones": ["a", "b"], "Tenants": [{ "QuotaRps": 3.5 }] });
/// assert_eq!(juniperdock_settings::term(&settings, "Zones").as_deref(), Some("a,b"));
/// assert_eq!(juniperdock_settings::term(&settings, "Tenants.0.QuotaRps").as_deref(), Some("3.5"));
/// assert_eq!(juniperdock_settings::term(&settings, "Tenants.count").as_deref(), Some("1"));
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

/// Whether a file is of the new shape.
///
/// # Errors
/// If `shape` has another value.
pub fn is_new(file: &Value) -> Result<bool, String> {
    match &file["shape"] {
        Value::Null => Ok(false),
        shape if shape.as_u64() == Some(SHAPE) => Ok(true),
        shape => Err(format!("shape: expected {SHAPE}, or none in a file of the old shape, found {shape}")),
    }
}

/// Migrates a file to the new shape.
///
/// # Errors
/// If the file is malformed; the text gives the line or the field, and what was expected there.
pub fn migrate(text: &str) -> Result<Migration, String> {
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
    // The settings that the router reads are recorded as it looks them up.
    let read = RefCell::new(BTreeSet::from(FRONT_SETTINGS.map(str::to_owned)));
    let lookup = |path: &str| {
        read.borrow_mut().insert(path.to_owned());
        term(&settings, path)
    };
    let (_, consistencies) =
        juniperdock_deployment::build_router(0, &lookup).map_err(|why| format!("settings: {why}"))?;
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

/// Sets a setting by path; the error gives the path that should be an object.
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

/// Returns the parts of a value whose paths are in `read`, and calls `visit` for each plain value with whether it is
/// kept.
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
        let migration = migrate(&old().to_string()).unwrap();
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
        let migration = migrate(&old().to_string()).unwrap();
        let again = migrate(&migration.file.to_string()).unwrap();
        assert!(again.already && again.file == migration.file);
    }

    #[test]
    fn malformed_file_is_reported_by_line_or_field() {
        let error_of = |text: &str| migrate(text).unwrap_err();
        assert!(error_of("{ \"seed\": \"1f\",\n").contains("line 2"));
        assert!(error_of("[]").contains("expected an object"));
        assert!(error_of("{}").contains("settings: expected an object"));
        assert!(error_of(r#"{"settings":{"Guarantees":7}}"#).contains("Guarantees: expected an object"));
        assert!(error_of(r#"{"settings":{"Bounds":{"TryLimit":"many"}}}"#).contains("Bounds.TryLimit"));
        assert!(error_of(r#"{"settings":{"OverShareWorth":-1}}"#).contains("from 0 to 1 in OverShareWorth"));
        assert!(error_of(r#"{"shape":7,"settings":{}}"#).contains("shape: expected 2"));
    }
}
