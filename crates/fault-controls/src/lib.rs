//! The control file that the test rig writes and that the fault shim maps in the process under test.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that holds the path of the control file.
pub const VARIABLE: &str = "JUNIPERDOCK_FAULTS";

const LIBRARY: &str = "libjuniperdock_fault_shim.so";

/// Returns the environment variables that load the fault shim into a process and point it to a control file. The
/// library is looked for in the folder of the running program and in the folder above, as tests are built one level
/// deeper.
///
/// # Errors
/// The library is in neither folder: the workspace has to be built first.
pub fn preload(file: &Path) -> Result<[(&'static str, PathBuf); 2], String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let candidates = own.ancestors().skip(1).take(2).map(|dir| dir.join(LIBRARY));
    let found = candidates.into_iter().find(|path| path.exists());
    let library =
        found.ok_or_else(|| format!("{LIBRARY} is not beside {}: build the workspace", own.display()))?;
    Ok([("LD_PRELOAD", library), (VARIABLE, file.to_owned())])
}

/// The faults in force. Rates are in parts of 65,536 of the calls that they apply to; all zero means no faults. The
/// layout is that of the control file.
#[repr(C)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Controls {
    /// Seed of each thread's random sequence.
    pub seed: u64,
    /// Added to the wall clock, in milliseconds.
    pub wall_clock_ms: i64,
    /// Rate of delays of calls on sockets and of waits.
    pub held_up: u32,
    /// Longest delay, in microseconds.
    pub held_up_us: u32,
    /// Rate of EINTR in reads and writes of sockets and in waits.
    pub interrupted: u32,
    /// Rate of reads and writes of sockets that transfer only a part.
    pub short: u32,
    /// Rate of errors of accept, socket and connect, and of ENOMEM and ENOBUFS in reads and writes of sockets.
    pub fails: u32,
    /// Rate of reads and writes that end a connection which the process itself had opened.
    pub breaks: u32,
    /// Rate of failed or partial writes of regular files, and of failed syncs.
    pub disk: u32,
    /// Rate of mappings for stacks that fail (ENOMEM).
    pub stacks: u32,
}

/// Size of the control file, in bytes.
pub const LENGTH: usize = size_of::<Controls>();

impl Controls {
    /// The fields in their order and in the machine's byte order, as the shim maps them.
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
            self.stacks,
        ] {
            bytes.extend(word.to_ne_bytes());
        }
        bytes
    }

    /// Writes the file; the controls apply at once to every process that has it mapped.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let file: File = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        file.write_all_at(&self.bytes(), 0)
    }
}
