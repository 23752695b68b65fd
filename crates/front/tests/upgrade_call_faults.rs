//! Calls between the two processes of an upgrade fail as Linux documents it, through a preloaded library: no client and
//! nothing that was put in force is lost by it.

use juniperdock_fault_controls::{Controls, preload};
use runtime_cluster::Cluster;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

mod runtime_cluster;

const EVERY_CALL: u32 = 65_536;
const COMMANDS: usize = 40;

/// A front and the file that makes its calls fail.
struct Play {
    cluster: Cluster,
    faults: PathBuf,
}

impl Play {
    fn start() -> Play {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let (process, play) = (std::process::id(), PLAYS.fetch_add(1, Ordering::Relaxed));
        let faults = std::env::temp_dir().join(format!("jd-upgrade-calls-{process}-{play}"));
        Controls::default().write(&faults).expect("a file");
        let environment = preload(&faults).expect("the library");
        Play { cluster: Cluster::start_with_environment("", &environment), faults }
    }

    /// One call in four fails, or is interrupted.
    fn fail_calls(&self, seed: u64) {
        let (fails, interrupted) = (EVERY_CALL / 8, EVERY_CALL / 8);
        Controls { seed, fails, interrupted, ..Controls::default() }.write(&self.faults).expect("a file");
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.faults);
    }
}

/// Guards against a command that fails, or is carried out without an answer, as one read is interrupted.
#[test]
fn commands_are_answered_while_calls_fail() {
    let play = Play::start();
    play.fail_calls(1);
    (0..COMMANDS).for_each(|_| assert!(play.cluster.front.status_number("pid").is_some()));
}
