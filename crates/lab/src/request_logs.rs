//! Analyses logs that processes wrote at debug level (`JUNIPERDOCK_LOG=debug`, terminal format): whether each request
//! that was received ended, what was written after its end, which connections were closed by the process with work
//! outstanding, and how long workers were held up.

use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Hold-ups longer than this are also counted separately.
const LONG_HOLD_UP: Duration = Duration::from_millis(60);

/// Findings from the logs of one or more processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    pub processes: usize,
    pub received: usize,
    /// Requests received, but neither answered nor abandoned by the end of the log; expected for a process that was
    /// killed.
    pub without_end: usize,
    /// Requests written to a server after their end.
    pub written_after_end: usize,
    /// Connections that the process closed while requests or answers on them were incomplete.
    pub closed_with_debt: usize,
    /// Number of times that a worker did not run for more than 40 ms.
    pub held_up: usize,
    pub held_up_long: usize,
    pub longest: Duration,
    /// Hold-ups in which the worker slept although work was ready.
    pub slept: usize,
}

/// The value after `key: ` in a line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let begin = line.find(&format!(", {key}: "))? + key.len() + 4;
    let rest = &line[begin..];
    Some(&rest[..rest.find([',', ' ']).unwrap_or(rest.len())])
}

fn number(line: &str, key: &str) -> Option<u64> {
    field(line, key)?.parse().ok()
}

/// Whether this close reason means that the process closed the connection, not the client.
fn is_closed_by_process(reason: &str) -> bool {
    matches!(reason, "Idle" | "MadeRoom" | "NoSlot" | "ShuttingDown")
}

impl Findings {
    /// Adds the log of one process.
    pub fn read_process(&mut self, text: &str) {
        let mut ended: HashMap<u64, bool> = HashMap::new();
        for line in text.lines() {
            if let (Some(request), Some(event)) = (number(line, "request"), field(line, "event")) {
                self.request(request, event, &mut ended);
            } else if line.contains(" client closed, ") {
                let has_debt =
                    ["unanswered", "unsent", "half_read"].iter().any(|key| number(line, key) > Some(0));
                let closed_by_process = field(line, "reason").is_some_and(is_closed_by_process);
                self.closed_with_debt += usize::from(has_debt && closed_by_process);
            } else if line.contains(" held up, ") {
                let lasted = Duration::from_micros(number(line, "for_us").unwrap_or(0));
                self.held_up += 1;
                self.held_up_long += usize::from(lasted > LONG_HOLD_UP);
                self.longest = self.longest.max(lasted);
            } else if line.contains(" beat delayed, ") {
                self.slept += usize::from(field(line, "idle") == Some("true"));
            }
        }
        self.processes += 1;
        self.received += ended.len();
        self.without_end += ended.values().filter(|ended| !**ended).count();
    }

    fn request(&mut self, request: u64, event: &str, ended: &mut HashMap<u64, bool>) {
        match event {
            "Received" => {
                ended.insert(request, false);
            }
            "Answered" | "Abandoned" => {
                ended.insert(request, true);
            }
            "Written" => self.written_after_end += usize::from(ended.get(&request) == Some(&true)),
            _ => {}
        }
    }

    /// Adds all files named `*.log` in a folder.
    ///
    /// # Errors
    /// Fails if the folder or a file cannot be read, or if there is no log.
    pub fn read_folder(&mut self, folder: &Path) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("{}: {e}", folder.display());
        let before = self.processes;
        for entry in std::fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                let bytes = std::fs::read(&path).map_err(failed)?;
                self.read_process(&String::from_utf8_lossy(&bytes));
            }
        }
        if self.processes == before {
            return Err(format!("{}: expected files named *.log", folder.display()));
        }
        Ok(())
    }

    /// Whether no violation was found. Requests without an end do not count: they also come from killed processes.
    pub fn hold(&self) -> bool {
        self.written_after_end == 0 && self.closed_with_debt == 0
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "processes {}, requests received {}", self.processes, self.received)?;
        writeln!(
            f,
            "without an end {}, written after their end {}",
            self.without_end, self.written_after_end
        )?;
        writeln!(f, "connections ended here with something owed {}", self.closed_with_debt)?;
        write!(
            f,
            "hold-ups over 40 ms {}, over 60 ms {}, the longest {:.1} ms, the worker slept in {}",
            self.held_up,
            self.held_up_long,
            self.longest.as_secs_f64() * 1000.0,
            self.slept
        )
    }
}
