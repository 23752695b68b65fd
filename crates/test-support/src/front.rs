//! The program under test, and what it is told at its start.

use crate::client::Client;
use crate::{PATIENCE, address};
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Front {
    pub at: SocketAddr,
    child: Child,
    dir: std::path::PathBuf,
}

impl Front {
    /// Starts the program at an address of its own.
    pub fn start(program: &str, agent: SocketAddr, known: &str, sockets: u32) -> Front {
        Front::again(program, address(), agent, known, sockets, None)
    }

    /// Starts it at a given address; `charter` is the text of the operators' file.
    pub fn again(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        known: &str,
        sockets: u32,
        charter: Option<&str>,
    ) -> Front {
        Front::with(program, at, agent, &Front::config(known, sockets), charter)
    }

    /// A small configuration: one zone, three txn types, limits as a machine's would be.
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

    /// Starts it with any configuration.
    pub fn with(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: Option<&str>,
    ) -> Front {
        Front::with_environment(program, at, agent, config, charter, &[])
    }

    /// The same, with more variables.
    pub fn with_environment(
        program: &str,
        at: SocketAddr,
        agent: SocketAddr,
        config: &str,
        charter: Option<&str>,
        environment: &[(&str, std::path::PathBuf)],
    ) -> Front {
        let dir = Front::folder(at);
        std::fs::create_dir_all(&dir).expect("a folder");
        std::fs::write(dir.join("config.json"), config).expect("a file");
        let mut command = Command::new(program);
        if let Some(text) = charter {
            std::fs::write(dir.join("charter.json5"), text).expect("a file");
            command.env("JUNIPERDOCK_CHARTER", dir.join("charter.json5"));
        }
        let child = command
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .env("GW_LISTEN", at.to_string())
            .env("GW_DISCOVERY", agent.to_string())
            .env("GW_CONFIG", dir.join("config.json"))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the front starts");
        Front { at, child, dir }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A path inside its own folder.
    pub fn path(&self, name: &str) -> std::path::PathBuf {
        self.dir.join(name)
    }

    /// Where the folder of a front at this address lies.
    pub fn folder(at: SocketAddr) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("juniperdock-{}-{}", at.ip(), at.port()))
    }

    /// A client, once the front answers the empty query.
    pub fn client(&self) -> Client {
        let begun = Instant::now();
        loop {
            if let Some(client) = Client::open(self.at) {
                return client;
            }
            assert!(begun.elapsed() < PATIENCE, "the front does not come up");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Replaces the configuration's file and says so.
    pub fn reconfigure(&self, text: &str) {
        let (file, new) = (self.dir.join("config.json"), self.dir.join("new.json"));
        std::fs::write(&new, text).and_then(|()| std::fs::rename(new, file)).expect("a file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// Stacks of this many bytes that it has mapped, used or free.
    pub fn stacks(&self, size: u64) -> usize {
        let maps = std::fs::read_to_string(format!("/proc/{}/maps", self.child.id())).expect("its memory");
        let span = |line: &str| {
            let (from, to) =
                line.split_once(' ').filter(|(_, rest)| rest.starts_with("rw-p"))?.0.split_once('-')?;
            Some(u64::from_str_radix(to, 16).ok()? - u64::from_str_radix(from, 16).ok()?)
        };
        maps.lines().filter(|line| span(line) == Some(size)).count()
    }

    /// Whether it stands still, all of it.
    pub fn stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("its threads");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// Waits for its end: whether it ended well, and what it wrote to standard error.
    pub fn end(mut self) -> (bool, String) {
        let mut text = String::new();
        let mut err = self.child.stderr.take().expect("piped");
        let _ = err.read_to_string(&mut text);
        (self.child.wait().expect("an end").success(), text)
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
