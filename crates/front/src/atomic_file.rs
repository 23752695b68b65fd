//! Atomic writing of files.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Writes and syncs the temporary file `draft`, then moves it to `path`. `draft` must not exist before and does not
/// exist afterwards. An existing file at `path` is replaced only if `replace` is set; otherwise the error is
/// `AlreadyExists`.
pub fn write(path: &Path, draft: &Path, bytes: &[u8], replace: bool) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(draft)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    // A hard link never replaces an existing file, a rename does.
    let replace_or_link = || if replace { fs::rename(draft, path) } else { fs::hard_link(draft, path) };
    let placed = written.and_then(|()| replace_or_link());
    let _ = fs::remove_file(draft);
    placed
}
