//! The new process of an upgrade hangs while it takes clients; the old one never takes them back.

use crate::common::*;
use crate::sites;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Open sessions, and the mean time between two requests of one.
const CLIENTS: u64 = 420;
const PAUSE_MS: f64 = 4000.0;
/// The time that a client gives a request (`d`), and what the pages allow beyond before it counts as lost.
const TIME_MS: u64 = 1500;
const LOST_AFTER_MS: f64 = 1500.0 + 500.0 + 50.0;
const SECONDS: u64 = 24;
/// A new process has some 20 descriptors before it takes clients.
const AFTER_DESCRIPTORS: usize = 40;

pub fn run(record: &Arc<Record>) -> u8 {
    let folder = Folder::create();
    let log = Arc::new(Log::default());
    let store = |id: &str, primary: bool| {
        let setup = StoreSetup {
            id: id.to_owned(),
            group: 2,
            primary,
            lag_ms: 10,
            work_ms: (62.0, 110.0),
            tells_position: false,
            started_ms: 0,
        };
        start_store(setup, &log, record)
    };
    let stores = [store("s-1", true), store("s-2", false), store("s-3", false)];
    let agent = Agent::start(1, &stores.iter().map(Arc::as_ref).collect::<Vec<_>>(), record);
    let config = sites::brno().config(&agent.at.to_string(), &agent.whole());
    // The limits of the deployment page's example.
    let config = config.replace(r#""memory_mb":192,"sockets":1024"#, r#""memory_mb":2048,"sockets":4096"#);
    let config = folder.write("config.json", &config);
    let control = folder.path("control").display().to_string();
    let charter = folder.write("charter.json5", &format!("{{ control: {{ path: {control:?} }}, upgrade: {{ ready_ms: 10000, gather_ms: 15, taken_ms: 1000 }} }}"));
    let environment = [
        ("GW_DISCOVERY", agent.at.to_string()),
        ("GW_CONFIG", config),
        ("GW_NAME", "n0".to_owned()),
        ("JUNIPERDOCK_CHARTER", charter.clone()),
    ];
    let front = Front::start(free_address(), &environment, folder.path("front.log"));
    if !front.await_ready(Duration::from_secs(30)) {
        record.say("the front did not become ready");
        return COULD_NOT_RUN;
    }
    let begun = Instant::now();
    let until = begun + Duration::from_secs(SECONDS);
    let (served, refused, late, lost) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let mut ran = false;
    std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (served, refused, late, lost, at) = (&served, &refused, &late, &lost, front.at);
            scope.spawn(move || {
                let mut random = Random::new(n + 77);
                std::thread::sleep(Duration::from_secs_f64(random.between(0.0, PAUSE_MS / 1000.0)));
                let Some(mut client) = Client::open(at, ms(5000)) else { return };
                for i in 0u64.. {
                    std::thread::sleep(Duration::from_secs_f64(random.between(0.5, 1.5) * PAUSE_MS / 1000.0));
                    if Instant::now() >= until {
                        break;
                    }
                    let (id, handle) = (format!("{n:04x}{i:08x}"), format!("h{n}-{i}"));
                    record.line(&format!("client {n} sends id={id} reads {handle}, waits {TIME_MS} ms"));
                    let sent_at = Instant::now();
                    // It waits for longer than its time, to tell a late answer from none.
                    let _ = client.0.set_read_timeout(Some(ms(8000)));
                    let sent = client.send(&read_of("catalogue-read", &id, TIME_MS, 2, &handle));
                    let answer = if sent { client.answer() } else { Answer { ended: true, ..Answer::default() } };
                    let took = sent_at.elapsed().as_secs_f64() * 1000.0;
                    let unanswered = answer.value.is_none() && answer.code.is_none();
                    if unanswered || took > LOST_AFTER_MS {
                        record.line(&format!("BROKEN: client {n} got for id={id}: {} in {took:.0} ms", answer.text()));
                        if unanswered { lost } else { late }.fetch_add(1, Ordering::SeqCst);
                    } else {
                        record.line(&format!("client {n} gets id={id}: {} after {took:.0} ms", answer.text()));
                        if answer.value.is_some() { served } else { refused }.fetch_add(1, Ordering::SeqCst);
                    }
                    if answer.ended {
                        // It asks once more on a new connection the next time.
                        match Client::open(at, ms(5000)) {
                            Some(open) => client = open,
                            None => {
                                record.line(&format!("BROKEN: client {n} gets no new session in 5 s"));
                                return;
                            }
                        }
                    }
                }
            });
        }
        std::thread::sleep(ms(9000));
        let (words, environment, notes) = (charter.clone(), front.environment.clone(), record.clone());
        std::thread::spawn(move || {
            let out = std::process::Command::new("target/release/juniperdock")
                .args(["--charter", &words, "upgrade"])
                .envs(&environment)
                .output();
            notes.say(&format!("the operator's upgrade ends: {out:?}"));
        });
        if !front.await_log("upgrade started", Duration::from_secs(5)) {
            return;
        }
        if !trouble() {
            ran = front.await_log("upgrade committed", Duration::from_secs(5));
            return;
        }
        // The new process hangs once it has begun to take clients: its descriptors show them.
        let log = front.log_text();
        let started = log.lines().find(|line| line.contains("upgrade started")).unwrap_or_default();
        let pid = started.split("pid: ").nth(1).and_then(|text| text.split([',', ' ']).next()?.parse::<u32>().ok());
        let Some(new) = pid else { return };
        let descriptors = || std::fs::read_dir(format!("/proc/{new}/fd")).map_or(0, |all| all.count());
        let told = Instant::now();
        while told.elapsed() < Duration::from_secs(5) && descriptors() < AFTER_DESCRIPTORS + inherited() {}
        stop(new);
        record.say(&format!("the new process {new} hangs (SIGSTOP) with {} descriptors", descriptors()));
        std::thread::sleep(ms(200));
        ran = !front.log_text().contains("upgrade committed");
        if !ran {
            record.say("the upgrade was committed before that: nothing is shown");
        }
    });
    let left = alive_in_group(front.pid());
    record.say(&format!("processes of the front at the end: {left:?}"));
    record.line(&format!("log of the front:\n{}", front.log_text()));
    let get = |n: &AtomicU64| n.load(Ordering::SeqCst);
    record.say(&format!("{} served, {} refused, {} answered later than {LOST_AFTER_MS} ms, {} never answered", get(&served), get(&refused), get(&late), get(&lost)));
    match get(&late) + get(&lost) {
        _ if !ran => COULD_NOT_RUN,
        0 if get(&served) >= 200 => HELD,
        0 => COULD_NOT_RUN,
        _ => BROKEN,
    }
}
