//! Reads what processes have logged at debug level (`JUNIPERDOCK_LOG=debug`, form of a terminal): whether each request that
//! was received came to an end, what was written after an end, what connections owed when the process ended them, and how
//! long workers were held up.

use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Hold-ups over this are counted apart.
const LONG: Duration = Duration::from_millis(60);

/// What the logs of one or more processes have shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    pub processes: usize,
    pub received: usize,
    /// Received, and neither answered nor abandoned by the end of the log: a process that was killed has some.
    pub without_end: usize,
    /// Written to a server after the request's end.
    pub written_after_end: usize,
    /// Connections that the process ended while it owed something on them.
    pub closed_with_debt: usize,
    /// Times that a worker did not run for over 40 ms.
    pub held_up: usize,
    pub held_up_long: usize,
    pub longest: Duration,
    /// Of these, the worker slept though work was ready.
    pub slept: usize,
}

/// The word behind `key: ` in a line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let begin = line.find(&format!(", {key}: "))? + key.len() + 4;
    let rest = &line[begin..];
    Some(&rest[..rest.find([',', ' ']).unwrap_or(rest.len())])
}

fn number(line: &str, key: &str) -> Option<u64> {
    field(line, key)?.parse().ok()
}

/// The process ended this connection, and not its client.
fn by_process(reason: &str) -> bool {
    matches!(reason, "Idle" | "MadeRoom" | "NoSlot" | "ShuttingDown")
}

impl Findings {
    /// Takes in the log of one process.
    pub fn read_process(&mut self, text: &str) {
        let mut ended: HashMap<u64, bool> = HashMap::new();
        for line in text.lines() {
            if let (Some(request), Some(event)) = (number(line, "request"), field(line, "event")) {
                self.request(request, event, &mut ended);
            } else if line.contains(" client closed, ") {
                let owes =
                    ["unanswered", "unsent", "half_read"].iter().any(|key| number(line, key) > Some(0));
                let ended_here = field(line, "reason").is_some_and(by_process);
                self.closed_with_debt += usize::from(owes && ended_here);
            } else if line.contains(" held up, ") {
                let lasted = Duration::from_micros(number(line, "for_us").unwrap_or(0));
                self.held_up += 1;
                self.held_up_long += usize::from(lasted > LONG);
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
            "Answered" | "Abandoned" | "OverLimits" => {
                ended.insert(request, true);
            }
            "Written" => self.written_after_end += usize::from(ended.get(&request) == Some(&true)),
            _ => {}
        }
    }

    /// Takes in all logs of a folder.
    ///
    /// # Errors
    /// Where the folder or a file can't be read, or there is no log.
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

    /// Nothing that must not be. Requests without an end are those of processes that were killed, or a fault.
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
