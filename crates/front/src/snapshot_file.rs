//! Writes snapshots of the front to a file, atomically and on a thread of its own.

use crate::atomic_file;
use crate::clock::Clock;
use crate::messages::DispatcherMessage;
use crate::threads;
use juniperdock_operator_config::Snapshot;
use juniperdock_snapshot::MachineTime;
use may::sync::mpsc::Sender;
use std::fs;
use std::path::Path;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// How long the dispatcher may take to produce a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The id of the current boot (random(4)).
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Returns the current machine time, or `None` if the id of the boot can't be read.
pub fn machine_time() -> Option<MachineTime> {
    let boot = fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
    Some(MachineTime { boot, up_us: juniperdock_connection::since_boot().as_micros() as i64 })
}

/// Replaces the file. A temporary file left by a front that was killed is removed first.
fn write(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut draft = path.as_os_str().to_owned();
    draft.push(".new");
    let _ = fs::remove_file(&draft);
    atomic_file::write(path, draft.as_ref(), bytes, true)
}

/// Returns the contents of the file, or `None` if there is none or it can't be read.
pub fn read(path: &Path, log: &slog::Logger) -> Option<Vec<u8>> {
    match fs::read(path) {
        Ok(bytes) => Some(bytes),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
        Err(e) => {
            slog::warn!(log, "could not read the snapshot"; "why" => format!("{}: {e}", path.display()));
            None
        }
    }
}

/// Writes a snapshot at the configured interval for as long as the program runs. Of consecutive failures only the first
/// is logged.
///
/// # Errors
/// If no thread can be started for it.
pub fn write_periodically(
    config: Snapshot,
    clock: Clock,
    dispatcher: Sender<DispatcherMessage>,
    log: slog::Logger,
) -> Result<(), String> {
    threads::start("snapshots", move || {
        let mut failure_logged = false;
        loop {
            std::thread::sleep(Duration::from_secs(config.every_s));
            let (reply, response) = sync_channel(1);
            clock.post(&dispatcher, DispatcherMessage::TakeSnapshot(reply));
            let bytes =
                response.recv_timeout(SNAPSHOT_TIMEOUT).map_err(|e| e.to_string()).and_then(|bytes| bytes);
            let written = bytes.and_then(|bytes| write(&config.path, &bytes).map_err(|e| e.to_string()));
            if let Err(why) = &written
                && !failure_logged
            {
                slog::warn!(log, "no snapshot is written"; "path" => %config.path.display(), "why" => why);
            }
            failure_logged = written.is_err();
        }
    })
}
