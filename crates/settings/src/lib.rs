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
const NEW: [(&str, &str); 4] = [
    ("Guarantees.GoneIsAdvice", "false"),
    ("OverShareWorth", "1.0"),
    ("Specifics.ServerChecks", "\"off\""),
    ("Tenants", "[]"),
];
/// Terms that the front itself reads, beside those of the router.
const OWN: [&str; 5] = [
    "Bounds.ConnIdle",
    "Bounds.ConnectTimeout",
    "Guarantees.GraceToAnswer",
    "Specifics.SessionMarks",
    "Zones",
];
/// What else a file may hold, outside the terms.
const BESIDE: [&str; 7] = ["discovery", "known", "limits", "listen", "name", "seed", "settings"];

/// A file in the new shape, and what became of each field of the old one.
#[derive(Clone, Debug, PartialEq)]
pub struct Brought {
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
pub fn term(terms: &Value, path: &str) -> Option<String> {
    let mut at = terms;
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
pub fn bring(text: &str) -> Result<Brought, String> {
    let old: Value = serde_json::from_str(text).map_err(|e| format!("expected JSON: {e}"))?;
    let fields = old.as_object().ok_or("expected an object, the configuration of a front")?;
    let (mut carried, mut defaulted, mut left_out) = (Vec::new(), Vec::new(), Vec::new());
    if is_new(&old)? {
        return Ok(Brought { file: old, carried, defaulted, left_out, already: true });
    }
    let terms = fields.get("settings").filter(|terms| terms.is_object());
    let mut terms = terms.ok_or("settings: expected an object")?.clone();
    for (path, usual) in NEW {
        if term(&terms, path).is_none() {
            let usual: Value = serde_json::from_str(usual).map_err(|e| e.to_string())?;
            put(&mut terms, path, usual.clone()).map_err(|why| format!("settings.{why}"))?;
            defaulted.push((format!("settings.{path}"), usual));
        }
    }
    // What the router reads it says itself, by looking it up.
    let read = RefCell::new(BTreeSet::from(OWN.map(str::to_owned)));
    let look = |path: &str| {
        read.borrow_mut().insert(path.to_owned());
        term(&terms, path)
    };
    let (_, levels) = juniperdock_deployment::open(0, &look).map_err(|why| format!("settings: {why}"))?;
    let mut read = read.into_inner();
    for kind in 0..levels.len() {
        read.extend(["Name", "HardLimit"].map(|key| format!("Services.{kind}.{key}")));
    }
    read.extend(NEW.map(|(path, _)| path.to_owned()));
    let new = keep(&terms, "", &read, &mut |path, kept| {
        let path = format!("settings.{path}");
        if !kept {
            left_out.push((path, "the front reads no such term"));
        } else if !defaulted.iter().any(|(term, _)| *term == path) {
            carried.push(path);
        }
    });
    let mut file = Map::new();
    file.insert("shape".to_owned(), json!(SHAPE));
    for (field, value) in fields {
        if field == "settings" {
            file.insert(field.clone(), new.clone().unwrap_or_else(|| json!({})));
        } else if BESIDE.contains(&field.as_str()) {
            file.insert(field.clone(), value.clone());
            carried.push(field.clone());
        } else if ["peers", "peers_all", "peer_listen"].contains(&field.as_str()) {
            left_out.push((field.clone(), "fronts tell each other nothing"));
        } else {
            left_out.push((field.clone(), "no front reads it"));
        }
    }
    Ok(Brought { file: Value::Object(file), carried, defaulted, left_out, already: false })
}

/// Sets a term; the error names the part of its path that is no object.
fn put(terms: &mut Value, path: &str, value: Value) -> Result<(), String> {
    let (way, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut at = terms;
    for part in way.split('.').filter(|part| !part.is_empty()) {
        let found = at.as_object_mut().ok_or_else(|| format!("{way}: expected an object"))?;
        at = found.entry(part).or_insert_with(|| json!({}));
    }
    let found = at.as_object_mut().ok_or_else(|| format!("{way}: expected an object"))?;
    found.insert(last.to_owned(), value);
    Ok(())
}

/// What of a value is read, by the paths that are; says of each plain one whether it is kept.
fn keep(
    value: &Value,
    path: &str,
    read: &BTreeSet<String>,
    say: &mut impl FnMut(&str, bool),
) -> Option<Value> {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            let mut kept = Map::new();
            for (key, value) in fields {
                if let Some(value) = keep(value, &below(key), read, say) {
                    kept.insert(key.clone(), value);
                }
            }
            (!kept.is_empty()).then_some(Value::Object(kept))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let each =
                |(i, item)| keep(item, &below(&format!("{i}")), read, say).unwrap_or_else(|| json!({}));
            Some(Value::Array(items.iter().enumerate().map(each).collect()))
        }
        plain => {
            let is_read = read.contains(path);
            say(path, is_read);
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
    fn what_is_read_is_carried_and_the_rest_is_told_with_its_reason() {
        let brought = bring(&old().to_string()).unwrap();
        let file = &brought.file;
        assert_eq!((&file["shape"], &file["seed"]), (&json!(2), &json!("1f")));
        assert_eq!(file["settings"]["Bounds"], old()["settings"]["Bounds"]);
        assert_eq!(file["settings"]["Tenants"], json!([]));
        assert_eq!(file["settings"]["Guarantees"]["GoneIsAdvice"], json!(false));
        let left: Vec<_> = brought.left_out.iter().map(|(field, _)| field.as_str()).collect();
        assert_eq!(left, ["settings.Deductions.Probe", "settings.Services.0.Odd", "colour", "peers"]);
        assert!(file["settings"].get("Deductions").is_none() && file.get("peers").is_none());
        assert_eq!(brought.defaulted.len(), 4);
        assert!(brought.carried.contains(&"settings.Services.0.HardLimit".to_owned()));
    }

    #[test]
    fn what_is_written_is_left_as_it_is_the_second_time() {
        let brought = bring(&old().to_string()).unwrap();
        let again = bring(&brought.file.to_string()).unwrap();
        assert!(again.already && again.file == brought.file);
    }

    #[test]
    fn a_wrong_file_is_told_by_line_or_field() {
        let told = |text: &str| bring(text).unwrap_err();
        assert!(told("{ \"seed\": \"1f\",\n").contains("line 2"));
        assert!(told("[]").contains("expected an object"));
        assert!(told("{}").contains("settings: expected an object"));
        assert!(told(r#"{"settings":{"Guarantees":7}}"#).contains("Guarantees: expected an object"));
        assert!(told(r#"{"settings":{"Bounds":{"TryLimit":"many"}}}"#).contains("Bounds.TryLimit"));
        assert!(told(r#"{"settings":{"OverShareWorth":-1}}"#).contains("from 0 to 1 in OverShareWorth"));
        assert!(told(r#"{"shape":7,"settings":{}}"#).contains("shape: expected 2"));
    }
}
