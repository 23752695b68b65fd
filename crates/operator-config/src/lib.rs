//! The operators' configuration file in JSON5, for everything that the platform's configuration does not cover.
//! Features are off unless the file turns them on.
//!
//! Validation reports all faults of one kind together, each with its line and field. For an unknown name it suggests
//! the most similar known one.
//!
//! ```
//! let read = juniperdock_operator_config::read("{ log: { form: 'json' }, // as our collector wants it\n}").unwrap();
//! assert_eq!(read.log.form, juniperdock_operator_config::LogFormat::Json);
//! let faults = juniperdock_operator_config::read("{\n  contrl: { path: 'x' },\n}").unwrap_err();
//! assert_eq!(faults[0].to_string(), "line 2, contrl: not known here; did you mean control?");
//! ```

use garde::Validate;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::path::{Path, PathBuf};

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(rename = "Charter")]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Log lines, written to standard error.
    #[garde(dive)]
    pub log: Log,
    /// The control socket, used by the other commands of this program. Off unless present.
    #[garde(dive)]
    pub control: Option<Control>,
    /// Settings of an upgrade, which is requested through the control socket.
    #[garde(dive)]
    pub upgrade: Upgrade,
    /// Limits for txns that wait for a member.
    #[garde(dive)]
    pub held: WaitQueueConfig,
    /// A file that keeps the state of the front and is read at the next start. Off unless present.
    #[garde(dive)]
    pub snapshot: Option<Snapshot>,
    /// Communication between fronts. Off unless present; `peer_listen` and `peers` of GW_CONFIG give the addresses.
    #[garde(dive)]
    pub fellows: Option<MembershipConfig>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Form")]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
    Trace,
}

impl Level {
    /// The name as written in the file.
    pub fn name(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            Level::Debug => "debug",
            Level::Trace => "trace",
        }
    }
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `text` for people, `json` for programs: one object per line.
    #[garde(skip)]
    pub form: LogFormat,
    /// The lowest severity that is written. JUNIPERDOCK_LOG takes precedence.
    #[garde(skip)]
    pub level: Level,
}

/// Settings of the control socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of the socket; its directory must exist. Only its owner may use it.
    #[garde(custom(validate_path))]
    pub path: PathBuf,
}

/// Settings of the snapshot file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Path of the file; its directory must exist.
    #[garde(custom(validate_path))]
    pub path: PathBuf,
    /// Interval between writes, in seconds.
    #[garde(range(min = 1, max = 600))]
    #[serde(default = "default_snapshot_interval_s")]
    pub every_s: u64,
}

fn default_snapshot_interval_s() -> u64 {
    5
}

/// Settings of the communication between fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(rename = "Fellows")]
#[serde(deny_unknown_fields)]
pub struct MembershipConfig {
    /// Files with one key of 64 hex digits each. The first key signs outgoing datagrams; both verify incoming ones.
    #[garde(length(min = 1, max = 2), inner(custom(validate_path)))]
    pub keys: Vec<PathBuf>,
    /// Interval at which each front probes one other front, in milliseconds. Must be the same at all fronts.
    #[garde(range(min = 50, max = 10_000))]
    #[serde(default = "default_probe_interval_ms")]
    pub every_ms: u64,
    /// Protocol version to send: the older one while some fronts support no other.
    #[garde(range(min = 1, max = 2))]
    #[serde(default = "latest_version")]
    pub speaks: u8,
    /// Work on behalf of the whole fleet has one owner at a time: only a few fronts probe the members, and
    /// `primary move` holds writes at every front. Must be the same at all fronts.
    #[garde(skip)]
    #[serde(default)]
    pub duties: bool,
}

fn default_probe_interval_ms() -> u64 {
    500
}

fn latest_version() -> u8 {
    2
}

/// Settings of an upgrade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Upgrade {
    /// The program to start. By default the path of the running one, with the file found there at that time.
    #[garde(skip)]
    pub program: Option<PathBuf>,
    /// Time limit for the new process to become ready, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub ready_ms: u64,
    /// How long clients that are between txns are collected before the new process serves, in milliseconds.
    #[garde(range(min = 1, max = 10_000))]
    pub gather_ms: u64,
    /// Time limit for the new process to accept one client, in milliseconds.
    #[garde(range(min = 10, max = 60_000))]
    pub taken_ms: u64,
}

impl Default for Upgrade {
    fn default() -> Self {
        Upgrade { program: None, ready_ms: 10_000, gather_ms: 4, taken_ms: 1_000 }
    }
}

/// Limits of the wait queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(rename = "Held")]
#[serde(default, deny_unknown_fields)]
pub struct WaitQueueConfig {
    /// Waiting txns of one group.
    #[garde(range(min = 1))]
    pub of_group: usize,
    /// Waiting txns of all groups.
    #[garde(range(min = 1))]
    pub of_all: usize,
    /// Memory of the waiting txns of one group, in KiB.
    #[garde(range(min = 1))]
    pub kib_of_group: usize,
    /// Memory of the waiting txns of all groups, in KiB.
    #[garde(range(min = 1))]
    pub kib_of_all: usize,
    /// The share of a txn's time after which it is declined if it was not submitted to any member, so that its client
    /// can still try elsewhere. With 1 it waits until its deadline.
    #[garde(range(min = 0.05, max = 1.0))]
    pub untaken_share: f64,
}

impl Default for WaitQueueConfig {
    fn default() -> Self {
        let unlimited = usize::MAX >> 10;
        WaitQueueConfig {
            of_group: unlimited,
            of_all: unlimited,
            kib_of_group: unlimited,
            kib_of_all: unlimited,
            untaken_share: 0.45,
        }
    }
}

fn validate_path(path: &Path, _: &()) -> garde::Result {
    if path.as_os_str().is_empty() {
        return Err(garde::Error::new("expected a path"));
    }
    Ok(())
}

/// One fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The line, counted from 1, if it can be determined.
    pub line: Option<usize>,
    /// The full path of the field; empty for the whole file.
    pub field: String,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}, ")?;
        }
        let field = if self.field.is_empty() { "the whole file" } else { &self.field };
        write!(f, "{field}: {}", self.why)
    }
}

/// The JSON schema of the operators' configuration.
pub fn schema() -> Value {
    schema_of::<OperatorConfig>()
}

/// Parses and validates the operators' configuration.
///
/// # Errors
/// The faults found: all of the first of three steps (syntax and types, unknown names, values) that finds any.
pub fn read(text: &str) -> Result<OperatorConfig, Vec<Fault>> {
    read_as(text)
}

/// The JSON schema of another kind of file.
pub fn schema_of<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

/// Parses and validates another kind of file, with the same checks as [`read`].
///
/// # Errors
/// The faults found, as for [`read`].
pub fn read_as<T>(text: &str) -> Result<T, Vec<Fault>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    let document: Value = json5::from_str(text).map_err(|e| {
        let line = e.position().map(|at| at.line + 1);
        vec![Fault { line, field: String::new(), why: format!("expected JSON5: {e}") }]
    })?;
    let mut faults = Vec::new();
    let schema = schema_of::<T>();
    collect_unknown_fields(text, &schema, &schema, &document, &mut Vec::new(), &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let read: T = match json5::from_str(text) {
        Ok(read) => read,
        Err(e) => {
            let line = e.position().map(|at| at.line + 1);
            return Err(vec![Fault { line, field: String::new(), why: e.to_string() }]);
        }
    };
    if let Err(report) = read.validate() {
        faults.extend(report.iter().map(|(path, error)| fault(text, &path.to_string(), error.to_string())));
        faults.sort_by_key(|fault| fault.line);
        return Err(faults);
    }
    Ok(read)
}

/// Builds the fault of a field, such as `troubles[2].at_s`, and determines its line.
pub fn fault(text: &str, field: &str, why: String) -> Fault {
    let line = line_of(text, &field.split('.').collect::<Vec<_>>());
    Fault { line, field: field.to_owned(), why }
}

/// Finds the start of a list entry by counting brackets and braces. Those in comments and strings are counted too and
/// may give a wrong result.
fn offset_of_entry(text: &str, from: usize, number: usize) -> Option<usize> {
    let (mut depth, mut left) = (0, number);
    for (at, c) in text[from..].char_indices() {
        match c {
            '[' | '{' => depth += 1,
            ']' | '}' => depth -= 1,
            ',' if depth == 1 && left == 0 => return None,
            ',' if depth == 1 => left -= 1,
            _ => {}
        }
        if depth == 0 && c == ']' {
            return None;
        }
        if left == 0 && depth >= 1 && !c.is_whitespace() && c != ',' && (c != '[' || depth > 1) {
            return Some(from + at);
        }
    }
    None
}

/// Finds the line of a field: the first that names it after those that name the enclosing fields.
fn line_of(text: &str, path: &[&str]) -> Option<usize> {
    let mut from = 0;
    for name in path {
        let (name, entry) = match name.strip_suffix(']').and_then(|name| name.split_once('[')) {
            Some((name, entry)) => (name, entry.parse().ok()),
            None => (*name, None),
        };
        let at = text[from..].match_indices(name).find(|(at, _)| {
            let after = text[from + at + name.len()..].trim_start_matches(['"', '\'']).trim_start();
            let before = text[..from + at].chars().next_back();
            after.starts_with(':') && before.is_none_or(|c| !c.is_alphanumeric() && c != '_')
        });
        from += at?.0;
        if let Some(entry) = entry {
            from = offset_of_entry(text, from, entry)?;
        }
    }
    Some(text[..from].matches('\n').count() + 1)
}

/// Follows `$ref` and, in `anyOf`, selects the option that describes an object: the non-null case of an optional
/// field.
fn resolve<'a>(root: &'a Value, mut schema: &'a Value) -> &'a Value {
    while let Some(name) = schema["$ref"].as_str().and_then(|name| name.strip_prefix("#/")) {
        schema = name.split('/').fold(root, |at, part| &at[part]);
    }
    let options = schema["anyOf"].as_array().into_iter().flatten();
    options
        .map(|option| resolve(root, option))
        .find(|option| option["properties"].is_object())
        .unwrap_or(schema)
}

/// Adds a fault for every field name that the schema does not contain.
fn collect_unknown_fields<'a>(
    text: &str,
    root: &Value,
    schema: &Value,
    value: &'a Value,
    path: &mut Vec<&'a str>,
    faults: &mut Vec<Fault>,
) {
    let schema = resolve(root, schema);
    if let Some(entries) = value.as_array() {
        entries
            .iter()
            .for_each(|entry| collect_unknown_fields(text, root, &schema["items"], entry, path, faults));
    }
    let (Some(known), Some(fields)) = (schema["properties"].as_object(), value.as_object()) else { return };
    for (name, value) in fields {
        path.push(name);
        match known.get(name) {
            Some(schema) => collect_unknown_fields(text, root, schema, value, path, faults),
            None => {
                let nearest = known.keys().max_by(|a, b| {
                    let similarity = |known: &str| strsim::jaro_winkler(known, name);
                    similarity(a).total_cmp(&similarity(b))
                });
                let nearest = nearest.map(|nearest| format!("; did you mean {nearest}?")).unwrap_or_default();
                let why = format!("not known here{nearest}");
                faults.push(Fault { line: line_of(text, path), field: path.join("."), why });
            }
        }
        path.pop();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_is_reported_with_its_line_and_field() {
        let text = "{\n  // how we log\n  log: { form: 'json', levle: 'info' },\n  upgrade: {\n    \"redy_ms\": 5,\n  },\n}";
        let faults = read(text).expect_err("two unknown names");
        let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(
            messages,
            [
                "line 3, log.levle: not known here; did you mean level?",
                "line 5, upgrade.redy_ms: not known here; did you mean ready_ms?"
            ]
        );
        let faults =
            read("{\n upgrade: {\n  ready_ms: 5 },\n held: { of_all: 0 } }").expect_err("out of range");
        assert_eq!(faults.len(), 2);
        assert_eq!((faults[0].line, faults[0].field.as_str()), (Some(3), "upgrade.ready_ms"));
        assert_eq!((faults[1].line, faults[1].field.as_str()), (Some(4), "held.of_all"));
        for (bad, names) in [
            ("{ log: { form: 'xml' } }", "xml"),
            ("{", "JSON5"),
            ("[1]", ""),
            ("{ control: { path: '' } }", "path"),
        ] {
            let faults = read(bad).expect_err(bad);
            assert!(faults[0].to_string().contains(names), "{bad}: {}", faults[0]);
        }
    }

    #[test]
    fn example_file_is_valid_with_and_without_its_optional_sections() {
        let example = include_str!("../../../deploy/juniperdock.json5");
        assert_eq!(read(example).expect("no fault").upgrade.ready_ms, 10_000);
        // Also with the sections that are commented out in the example.
        let full = ["control", "snapshot", "fellows"].iter().fold(example.to_owned(), |text, name| {
            text.replace(&format!("  // {name}"), &format!("  {name}"))
        });
        let full = read(&full).expect("no fault");
        assert!(full.control.is_some() && full.fellows.is_some_and(|fellows| fellows.every_ms == 500));
    }

    #[test]
    fn empty_file_gives_the_defaults_and_a_written_file_reads_back_equal() {
        assert_eq!(read("{}").expect("valid"), OperatorConfig::default());
        let full =
            OperatorConfig { control: Some(Control { path: "/run/x".into() }), ..OperatorConfig::default() };
        let text = serde_json::to_string(&full).expect("JSON");
        assert_eq!(read(&text).expect("JSON is JSON5"), full);
        assert!(schema()["properties"]["control"].is_object());
    }
}
