//! Starts and controls the front, the program under test.

use crate::client::Client;
use crate::{TEST_TIMEOUT, address};
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How long nothing has to come before a log counts as complete.
const LOG_TIMEOUT: Duration = Duration::from_millis(300);

/// A running front. Dropping it kills the process and removes its folder.
pub struct Front {
    pub at: SocketAddr,
    child: Child,
    dir: std::path::PathBuf,
}

impl Front {
    /// Starts the program at an unused address.
    pub fn start(program: &str, agent: SocketAddr, known: &str, sockets: u32) -> Front {
        Front::start_at(program, address(), agent, known, sockets, None)
    }

    /// Starts the program at a given address; `charter` is the text of the operator's configuration file.
    pub fn start_at(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        known: &str,
        sockets: u32,
        charter: Option<&str>,
    ) -> Front {
        Front::start_with_config(program, at, agent, &Front::config(known, sockets), charter)
    }

    /// Returns a small configuration: one zone, three txn types and the limits of a small machine.
    pub fn config(known: &str, sockets: u32) -> String {
        let kind = |name: &str, effect: &str| {
            format!(
                r#"{{"DedupScope":"cell","Effect":"{effect}","HardLimit":5000.0,"LateWorth":0.5,"Name":"{name}","Objective":1500.0,"Value":1.0,"Window":2000.0}}"#
            )
        };
        let kinds = [kind("lookup", "pure"), kind("mark", "token"), kind("order", "side_effect")].join(",");
        format!(
            r#"{{"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
            "settings":{{"Balancers":1,"Me":0,"Zone":0,"Zones":["a"],"Services":[{kinds}],
            "Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxRetryAfter":500.0,"MayProbe":true,
            "RetryAfter":true,"TryLimit":10}},"Guarantees":{{"ColdFrom":0.2,"GraceToAnswer":20.0,"OverloadFor":1500.0,
            "TipMultiple":2.5,"WarmUp":1000.0}},"Specifics":{{"MaxAge":[300.0,0.0,0.0],"ReadLevel":["recent","update",
            "update"],"ServerChecks":"off","SessionMarks":"client"}}}}}}"#
        )
    }

    /// Starts the program with a given configuration.
    pub fn start_with_config(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: Option<&str>,
    ) -> Front {
        Front::start_with_environment(program, at, agent, config, charter, &[])
    }

    /// Like [`Front::start_with_config`], with additional environment variables.
    pub fn start_with_environment(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: Option<&str>,
        environment: &[(&str, std::path::PathBuf)],
    ) -> Front {
        let dir = Front::folder(at);
        std::fs::create_dir_all(&dir).expect("cannot create the folder of the front");
        std::fs::write(dir.join("config.json"), config).expect("cannot write config.json");
        let mut command = Command::new(program);
        if let Some(text) = charter {
            std::fs::write(dir.join("charter.json5"), text).expect("cannot write charter.json5");
            command.env("JUNIPERDOCK_CHARTER", dir.join("charter.json5"));
        }
        let child = command
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .env("GW_LISTEN", at.to_string())
            .env("GW_DISCOVERY", agent.to_string())
            .env("GW_CONFIG", dir.join("config.json"))
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the front");
        Front { at, child, dir }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns a path inside the folder of this front.
    pub fn path(&self, name: &str) -> std::path::PathBuf {
        self.dir.join(name)
    }

    /// Returns the folder of a front at this address.
    pub fn folder(at: SocketAddr) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("juniperdock-{}-{}", at.ip(), at.port()))
    }

    /// Opens a client, retrying until the front answers an empty query.
    pub fn client(&self) -> Client {
        let begun = Instant::now();
        loop {
            if let Some(client) = Client::open(self.at) {
                return client;
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "the front accepted no client within the time limit");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Replaces a file in the folder of this front.
    pub fn replace_file(&self, name: &str, text: &str) {
        let (file, new) = (self.dir.join(name), self.dir.join("new"));
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(new, file))
            .expect("cannot replace the file");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        self.replace_file("config.json", text);
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of `kill` (`-HUP`).
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("cannot run kill").success());
    }

    /// The number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("cannot read the descriptors of the front")
            .count()
    }

    /// The number of private writable mappings of exactly this many bytes: thread stacks, in use or cached.
    pub fn stacks(&self, size: u64) -> usize {
        let maps = std::fs::read_to_string(format!("/proc/{}/maps", self.child.id()))
            .expect("cannot read the memory map of the front");
        let span = |line: &str| {
            let (from, to) =
                line.split_once(' ').filter(|(_, rest)| rest.starts_with("rw-p"))?.0.split_once('-')?;
            Some(u64::from_str_radix(to, 16).ok()? - u64::from_str_radix(from, 16).ok()?)
        };
        maps.lines().filter(|line| span(line) == Some(size)).count()
    }

    /// Whether all of its threads are stopped (state T).
    pub fn stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()))
            .expect("cannot read the threads of the front");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// Waits for the process to exit. Returns whether its status was success, and what it wrote to standard error.
    pub fn end(mut self) -> (bool, String) {
        let mut text = String::new();
        let mut err = self.child.stderr.take().expect("standard error is piped");
        let _ = err.read_to_string(&mut text);
        (self.child.wait().expect("cannot wait for the front").success(), text)
    }
}

impl Front {
    /// Prints what this process, and those that have replaced it, have written to standard error.
    fn print_log(&mut self) {
        let Some(mut err) = self.child.stderr.take() else { return };
        let (sender, texts) = channel();
        // Of a process that is left over the pipe would never end.
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(length @ 1..) = err.read(&mut buffer) {
                let _ = sender.send(String::from_utf8_lossy(&buffer[..length]).into_owned());
            }
        });
        while let Ok(text) = texts.recv_timeout(LOG_TIMEOUT) {
            eprint!("{text}");
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log of the front {} at {}:", self.child.id(), self.at);
            self.print_log();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
