//! Starts fronts by the command of the deploy file, and the program's other commands.

use crate::wire::Client;
use crate::{Case, Record, cannot_run, wait_until};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

unsafe extern "C" {
    #[link_name = "kill"]
    fn system_kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process, or to a process group given as a negative number.
pub fn kill(process: i32, signal: i32) -> bool {
    // SAFETY: takes no pointers.
    unsafe { system_kill(process, signal) == 0 }
}

/// Numbers of signals, the same on all machines of Linux.
pub const HUP: i32 = 1;
pub const KILL: i32 = 9;
pub const USR1: i32 = 10;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

/// An address on loopback that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml, from the repository's root: {e}")));
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = \""));
    line.and_then(|rest| rest.rsplit_once('"'))
        .map(|(run, _)| run.to_owned())
        .unwrap_or_else(|| cannot_run("no run"))
}

pub fn program() -> PathBuf {
    std::fs::canonicalize("target/release/juniperdock")
        .unwrap_or_else(|e| cannot_run(&format!("the program: {e}")))
}

/// The process groups that were started.
static GROUPS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends everything and gives up if a case takes longer than it may.
pub fn limit_time(seconds: u64) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        GROUPS.lock().expect("the groups").iter().for_each(|group| {
            kill(-group, KILL);
        });
        cannot_run("it took too long");
    });
}

pub struct Front {
    pub at: SocketAddr,
    pub charter: PathBuf,
    pub config: PathBuf,
    child: Child,
    record: Record,
}

impl Front {
    /// Starts a front in a process group of its own, which its successors share.
    pub fn start(
        case: &Case,
        name: &str,
        at: SocketAddr,
        discovery: SocketAddr,
        config: &str,
        charter: &str,
    ) -> Front {
        let path = |end: &str| case.folder.join(format!("{name}.{end}"));
        std::fs::write(path("json"), config).expect("the configuration");
        std::fs::write(path("json5"), charter).expect("the operators' file");
        let log = std::fs::File::create(path("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("GW_NAME", name)
            .env("GW_LISTEN", at.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", path("json"))
            .env("JUNIPERDOCK_CHARTER", path("json5"))
            .env_remove("JUNIPERDOCK_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("starting a front: {e}")));
        GROUPS.lock().expect("the groups").push(child.id() as i32);
        case.record.note(&format!("{name}: process {} started, listens at {at}", child.id()));
        Front { at, charter: path("json5"), config: path("json"), child, record: case.record.clone() }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A client, once the front answers an empty query.
    pub fn client(&self) -> Client {
        let mut client = None;
        wait_until(20_000, || {
            client = Client::open(self.at);
            client.is_some()
        });
        client.expect("the front takes clients")
    }

    pub fn signal(&self, signal: i32) {
        self.record.note(&format!("signal {signal} to process {}", self.id()));
        assert!(kill(self.id() as i32, signal), "a signal");
    }

    /// Whether the process that was started has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts one of the program's commands.
    pub fn start_command(&self, args: &[&str]) -> RunningCommand {
        self.record.note(&format!("command: {}", args.join(" ")));
        let child = Command::new(program())
            .arg("--charter")
            .arg(&self.charter)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("a command: {e}")));
        RunningCommand { child, record: self.record.clone() }
    }

    /// Runs one of the program's commands; returns whether it succeeded, and what it printed.
    pub fn command(&self, args: &[&str]) -> (bool, String) {
        self.start_command(args).end()
    }
}

impl Drop for Front {
    /// Ends the process and whatever it has started.
    fn drop(&mut self) {
        kill(-(self.id() as i32), KILL);
        let _ = self.child.wait();
    }
}

pub struct RunningCommand {
    child: Child,
    record: Record,
}

impl RunningCommand {
    pub fn end(mut self) -> (bool, String) {
        let mut text = String::new();
        let _ = self.child.stdout.take().map(|mut out| out.read_to_string(&mut text));
        let _ = self.child.stderr.take().map(|mut out| out.read_to_string(&mut text));
        let succeeded = self.child.wait().is_ok_and(|status| status.success());
        self.record.note(&format!("command ended, success: {succeeded}: {}", text.trim()));
        (succeeded, text)
    }
}

/// Adds the fronts' logs to the record.
pub fn keep_log(case: &Case) {
    std::thread::sleep(Duration::from_millis(50));
    let mut logs: Vec<PathBuf> = std::fs::read_dir(&case.folder)
        .map(|all| all.flatten().map(|entry| entry.path()).collect())
        .unwrap_or_default();
    logs.retain(|path: &PathBuf| path.extension().is_some_and(|end| end == "log"));
    logs.sort();
    for path in logs {
        let name = Path::new(path.file_name().unwrap_or_default()).display().to_string();
        for line in std::fs::read_to_string(&path).unwrap_or_default().lines() {
            case.record.note(&format!("[{name}] {line}"));
        }
    }
}

/// One txn type of the settings.
pub struct Kind {
    pub name: &'static str,
    pub effect: &'static str,
    pub read_level: &'static str,
    pub max_age_ms: u32,
    pub limit_ms: u32,
    pub aim_ms: u32,
    pub window_ms: u32,
}

/// A configuration like that of a small deployment. `more`: further fields, each followed by a comma.
pub fn config(known: &str, kinds: &[Kind], fronts: usize, me: usize, marks: &str, more: &str) -> String {
    let services: Vec<String> = kinds
        .iter()
        .map(|k| {
            format!(
                r#"{{"DedupScope":"cell","Effect":"{}","HardLimit":{}.0,"LateWorth":0.5,"Name":"{}","Objective":{}.0,"Value":1.0,"Window":{}.0}}"#,
                k.effect, k.limit_ms, k.name, k.aim_ms, k.window_ms
            )
        })
        .collect();
    let ages: Vec<String> = kinds.iter().map(|k| format!("{}.0", k.max_age_ms)).collect();
    let levels: Vec<String> = kinds.iter().map(|k| format!("\"{}\"", k.read_level)).collect();
    format!(
        r#"{{"seed":"8c1f30d27a5be96{me}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{more}"known":{known},
"settings":{{"Balancers":{fronts},"Me":{me},"Zone":0,"Zones":["a"],"Services":[{}],
"Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxRetryAfter":500.0,"MayProbe":true,"Peers":true,"RetryAfter":true,"SecondCopies":false,"TryLimit":10}},
"Discovery":"pushed","LoadInfo":{{"Fields":["x0","x1","q","busy"],"Via":"on_probe"}},
"Guarantees":{{"ColdFrom":0.2,"GraceToAnswer":20.0,"OverloadFor":1500.0,"StopSendingWithin":1000.0,"TipMultiple":2.5,"WarmUp":1000.0}},
"Specifics":{{"MaxAge":[{}],"ReadLevel":[{}],"ServerChecks":"off","SessionMarks":"{marks}","TellsPosition":false}}}}}}"#,
        services.join(","),
        ages.join(","),
        levels.join(","),
    )
}
