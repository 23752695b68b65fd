//! Files that are written whole or not at all.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Writes a draft to the disk and puts it in its place; the draft must not be there yet and is gone at the end.
/// What lies in that place already is replaced only if it may be, else this fails with `AlreadyExists`.
pub fn write(path: &Path, draft: &Path, bytes: &[u8], replace: bool) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(draft)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    // A link never replaces what is there, a rename does.
    let replace_or_link = || if replace { fs::rename(draft, path) } else { fs::hard_link(draft, path) };
    let placed = written.and_then(|()| replace_or_link());
    let _ = fs::remove_file(draft);
    placed
}
