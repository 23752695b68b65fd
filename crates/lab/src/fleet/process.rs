//! A process of the program under test: start, signals, and termination.

use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The interval at which the simulation, or the exit of a process, is polled.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The timeout for a process to start serving or to exit.
pub(super) const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// The process of one front.
pub(super) struct Process {
    pub dir: PathBuf,
    child: Option<Child>,
    /// The serving process; after an upgrade it is not the child.
    pub pid: u32,
    pub stopped: bool,
}

impl Process {
    /// A process that has not been started; its files are in this directory.
    pub fn new(dir: PathBuf) -> Process {
        Process { dir, child: None, pid: 0, stopped: false }
    }

    pub fn start(&mut self, program: &str, environment: &[(&str, String)]) -> Result<(), String> {
        let log = OpenOptions::new().create(true).append(true).open(self.dir.join("log"));
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        (self.pid, self.stopped) = (child.id(), false);
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.pid.to_string()]).stderr(Stdio::null()).status();
    }

    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut().filter(|child| child.id() == self.pid);
        match child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            // Not our child: it has exited if it is missing in /proc or a zombie.
            None => std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).is_ok_and(|stat| {
                !stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('Z'))
            }),
        }
    }

    /// The processor time of the current process, in clock ticks of 10 ms.
    pub fn cpu_ms(&self) -> Option<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let mut fields = stat.rsplit(')').next()?.split_whitespace().skip(11);
        let (user, system): (u64, u64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
        Some((user + system) * 10)
    }

    /// The peak of the current process's resident memory.
    pub fn peak_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    pub fn kill(&mut self) {
        self.signal("-KILL");
        let begun = Instant::now();
        while self.runs() && begun.elapsed() < PROCESS_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.pid != 0 {
            self.kill();
        }
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
