//! A front that is controlled through its control socket and may be upgraded: its process changes.

use crate::{Client, Front, TEST_TIMEOUT};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A front with a control socket. Dropping it kills all of its processes.
pub struct OperatedFront {
    pub front: Front,
    program: &'static str,
}

/// A program for an upgrade that runs a shell command before the front.
pub struct WrappedProgram {
    pub path: PathBuf,
    marker: PathBuf,
}

impl OperatedFront {
    /// Starts the program and waits until it can be controlled. `charter` has the fields of the operators' file but for the
    /// control socket.
    pub fn start(
        program: &'static str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: &str,
    ) -> Self {
        OperatedFront::start_with_environment(program, at, agent, config, charter, &[])
    }

    /// Like [`OperatedFront::start`], with additional environment variables.
    pub fn start_with_environment(
        program: &'static str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: &str,
        environment: &[(&str, PathBuf)],
    ) -> Self {
        let text = OperatedFront::charter(at, charter);
        let front = Front::start_with_environment(program, at, agent, config, Some(&text), environment);
        let front = OperatedFront { front, program };
        wait_until(|| !front.serving_pid().is_empty());
        front
    }

    /// The text of the operators' file of a front at this address.
    pub fn charter(at: SocketAddr, fields: &str) -> String {
        let path = Front::folder(at).join("control").display().to_string();
        format!("{{ control: {{ path: {path:?} }}, {fields} }}")
    }

    /// Runs a command; returns whether it succeeded, and what it printed.
    pub fn command(&self, args: &[&str]) -> (bool, String) {
        let out = self.to_command(args).output().expect("it runs");
        let output = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8_lossy(&output).trim().to_owned())
    }

    /// The command, to be run by the caller.
    pub fn to_command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(self.program);
        command.arg("--charter").arg(self.front.path("charter.json5")).args(args);
        command
    }

    /// The id of the process that serves; empty while none answers.
    pub fn serving_pid(&self) -> String {
        self.status_number("pid").map_or_else(String::new, |pid| pid.to_string())
    }

    /// A number in the status of the process that serves, such as a counter.
    pub fn status_number(&self, name: &str) -> Option<u64> {
        let (succeeded, status) = self.command(&["--json", "status"]);
        let number = status.split(&format!("\"{name}\":")).nth(1)?.split([',', '}']).next()?;
        number.parse().ok().filter(|_| succeeded)
    }

    /// Upgrades the front; returns the id of the new process once that can be controlled.
    pub fn upgrade(&self) -> String {
        let old = self.serving_pid();
        let (succeeded, output) = self.command(&["upgrade"]);
        assert!(succeeded, "{output}");
        self.await_successor(&old)
    }

    /// Waits until another process than this one can be controlled.
    pub fn await_successor(&self, old: &str) -> String {
        wait_until(|| ![old, ""].contains(&self.serving_pid().as_str()));
        self.serving_pid()
    }

    /// Makes a program that runs a shell command and then the front's.
    pub fn wrapped_program(&self, name: &str, shell_command: &str) -> WrappedProgram {
        let (path, marker) = (self.front.path(name), self.front.path(&format!("{name}.begun")));
        let _ = std::fs::remove_file(&marker);
        let (program, shown) = (self.program, marker.display());
        let text = format!(
            "#!/bin/sh\n{shell_command}\necho $$ > '{shown}.new' && mv '{shown}.new' '{shown}'\nexec {program:?}\n"
        );
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("a program");
        WrappedProgram { path, marker }
    }

    /// A client of the front.
    pub fn client(&self) -> Client {
        self.front.client()
    }
}

impl WrappedProgram {
    /// Waits until the shell command has run; returns the id of the process that becomes the front.
    pub fn await_start(&self) -> String {
        wait_until(|| self.marker.exists());
        std::fs::read_to_string(&self.marker).expect("a file").trim().to_owned()
    }
}

impl Drop for OperatedFront {
    fn drop(&mut self) {
        // One whose successor is killed right after an upgrade goes on serving, and one that was told to may still start
        // another.
        loop {
            let pids = processes_at(self.front.at);
            if pids.is_empty() {
                break;
            }
            pids.iter().for_each(|pid| signal(pid, "-KILL"));
        }
    }
}

/// The ids of the processes of the front at this address, as far as they have not ended.
fn processes_at(at: SocketAddr) -> Vec<String> {
    let variable = format!("GW_LISTEN={at}");
    let is_at = |pid: &String| {
        let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        environment.split(|byte| *byte == 0).any(|its| its == variable.as_bytes())
    };
    let processes = std::fs::read_dir("/proc").expect("the processes");
    let names = processes.flatten().map(|entry| entry.file_name().to_string_lossy().into_owned());
    names.filter(|name| name.bytes().all(|byte| byte.is_ascii_digit())).filter(is_at).collect()
}

/// Sends a signal, given as an option of `kill` (`-HUP`), to a process that may have ended.
pub fn signal(pid: &str, name: &str) {
    assert!(!pid.is_empty(), "{name} to no process");
    let _ = Command::new("kill").args([name, pid]).stderr(Stdio::null()).status();
}

/// Whether a process has ended, even if nobody has waited for it.
pub fn has_ended(pid: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_none_or(|rest| rest.is_empty() || rest.trim_start().starts_with('Z'))
}

/// Waits until the condition holds.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the condition did not become true in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}
