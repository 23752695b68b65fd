//! Stand-ins for the second review: discovery, servers and clients, and one scenario for each case. Standard library
//! only. Started by `review/N/run.sh` from the repository's root: `standins CASE FOLDER`.
//!
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod discovery;
mod front;
mod server;
mod wire;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// What is sent, answered and run, with the time in ms since the start; written as it happens.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{ms:10.1} {text}");
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time").as_secs_f64() * 1000.0
}

pub fn pause_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits for a condition; false if it does not come true in time.
pub fn wait_until(ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(ms) {
        if condition() {
            return true;
        }
        pause_ms(5);
    }
    condition()
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// What every case has.
pub struct Case {
    pub record: Record,
    /// A temporary folder of its own.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, case_folder] = &args[..] else { cannot_run("expected a case and its folder") };
    let record = Record::create(&Path::new(case_folder).join("record.txt"));
    let folder = std::env::temp_dir().join(format!("jd-review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {name}, trouble: {trouble}"));
    front::limit_time(110);
    let case = Case { record, folder, trouble };
    // A panic of a stand-in is not a verdict.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::play(name, &case)));
    front::keep_log(&case);
    let _ = std::fs::remove_dir_all(&case.folder);
    let code = match verdict {
        Ok(Ok(())) => {
            case.record.note("verdict: the rule held");
            println!("the rule held");
            0
        }
        Ok(Err(why)) => {
            case.record.note(&format!("verdict: broken: {why}"));
            println!("broken: {why}");
            1
        }
        Err(_) => {
            case.record.note("verdict: the case could not run");
            println!("the case could not run");
            2
        }
    };
    std::process::exit(code);
}
