//! What the rig and the library share: one small file, mapped by the process under test.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The variable that names the control file.
pub const VARIABLE: &str = "JUNIPERDOCK_FAULTS";

const LIBRARY: &str = "libjuniperdock_fault_shim.so";

/// What a process is started with, to meet what the file says. The library lies beside this program, or above it where
/// tests are built.
///
/// # Errors
/// Where it lies in neither place: the workspace has to be built.
pub fn preload(file: &Path) -> Result<[(&'static str, PathBuf); 2], String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let candidates = own.ancestors().skip(1).take(2).map(|dir| dir.join(LIBRARY));
    let found = candidates.into_iter().find(|path| path.exists());
    let library =
        found.ok_or_else(|| format!("{LIBRARY} is not beside {}: build the workspace", own.display()))?;
    Ok([("LD_PRELOAD", library), (VARIABLE, file.to_owned())])
}

/// Rates are in parts of 65,536 of the calls that they meet; all zero: no faults.
#[repr(C)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Controls {
    /// Where the draws of each thread start.
    pub seed: u64,
    /// Added to the wall clock, in milliseconds.
    pub wall_clock_ms: i64,
    /// Calls on sockets and waits that are held up first, and for how long at most, in microseconds.
    pub held_up: u32,
    pub held_up_us: u32,
    /// EINTR.
    pub interrupted: u32,
    /// Reads and writes of sockets that move a part only.
    pub short: u32,
    /// accept, socket and connect.
    pub fails: u32,
    /// Reads of connections that were opened here, which are over then.
    pub breaks: u32,
    /// Writes and syncs of regular files.
    pub disk: u32,
    pub unused: u32,
}

pub const LENGTH: usize = size_of::<Controls>();

impl Controls {
    /// In the order of the fields, as the machine has them.
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.seed.to_ne_bytes().to_vec();
        bytes.extend(self.wall_clock_ms.to_ne_bytes());
        for word in [
            self.held_up,
            self.held_up_us,
            self.interrupted,
            self.short,
            self.fails,
            self.breaks,
            self.disk,
            self.unused,
        ] {
            bytes.extend(word.to_ne_bytes());
        }
        bytes
    }

    /// Puts these in force for whoever maps the file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let file: File = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        file.write_all_at(&self.bytes(), 0)
    }
}
