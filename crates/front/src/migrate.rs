//! `juniperdock migrate`: reads a configuration file in the old format and atomically writes one in the new format.

use crate::atomic_file;
use crate::settings::Settings;
use serde_json::{Value, json};
use std::fs;
use std::io::ErrorKind;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Converts the file `old` to the new format, and writes the result to `output` if one is given. Returns a report of
/// what became of each field. The error names the file and the invalid line or field; nothing has been written then.
pub fn migrate(old: &Path, output: Option<&Path>, force: bool) -> Result<Value, String> {
    let with_path = |why: String| format!("{}: {why}", old.display());
    let text = fs::read_to_string(old).map_err(|e| with_path(e.to_string()))?;
    let migrated = juniperdock_settings::migrate(&text).map_err(with_path)?;
    Settings::from_json(migrated.file.clone()).check().map_err(with_path)?;
    let output = output.filter(|_| !migrated.already);
    if let Some(output) = output {
        let same = |a: fs::Metadata, b: fs::Metadata| (a.dev(), a.ino()) == (b.dev(), b.ino());
        if let (Ok(a), Ok(b)) = (fs::metadata(old), fs::metadata(output))
            && same(a, b)
        {
            return Err(format!("{}: expected a file other than the old one", output.display()));
        }
        let text = format!("{:#}\n", migrated.file);
        write(output, text.as_bytes(), force).map_err(|why| format!("{}: {why}", output.display()))?;
    }
    let defaulted: Vec<_> =
        migrated.defaulted.iter().map(|(f, v)| json!({ "field": f, "value": v })).collect();
    let left_out: Vec<_> =
        migrated.left_out.iter().map(|(f, why)| json!({ "field": f, "why": why })).collect();
    Ok(
        json!({ "ok": true, "already": migrated.already, "written": output.map(|path| path.display().to_string()),
        "carried": migrated.carried, "defaulted": defaulted, "left_out": left_out }),
    )
}

/// Writes a file atomically; an existing one is replaced only with `force`.
fn write(output: &Path, bytes: &[u8], force: bool) -> Result<(), String> {
    let name = output.file_name().ok_or("expected the path of a file")?.to_string_lossy();
    let temporary = output.with_file_name(format!(".{name}.{}", std::process::id()));
    atomic_file::write(output, &temporary, bytes, force).map_err(|e| match e.kind() {
        ErrorKind::AlreadyExists => "file exists already; --force replaces it".to_owned(),
        _ => e.to_string(),
    })
}

/// Formats the report as lines of text.
pub fn format_report(report: &Value) -> String {
    let mut lines = Vec::new();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let each = |name: &str| report[name].as_array().cloned().unwrap_or_default();
    lines.extend(each("carried").iter().map(|field| format!("carried    {}", text(field))));
    let defaulted = |d: &Value| format!("defaulted  {} = {}", text(&d["field"]), d["value"]);
    lines.extend(each("defaulted").iter().map(defaulted));
    let left_out = |l: &Value| format!("left out   {}: {}", text(&l["field"]), text(&l["why"]));
    lines.extend(each("left_out").iter().map(left_out));
    lines.push(match (&report["written"], report["already"] == json!(true)) {
        (_, true) => "already in the new format: nothing is written".to_owned(),
        (Value::String(path), _) => format!("written to {path}"),
        _ => "nothing is written".to_owned(),
    });
    lines.join("\n") + "\n"
}
