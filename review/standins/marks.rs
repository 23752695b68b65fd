//! A front is upgraded without any failure; reads of a session no longer see what that session has written.

use crate::common::*;
use crate::sites;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
const SECONDS: u64 = 10;
/// How late the log is applied at replicas: the most that the site's `ship_ms` gives for the way alone.
const LAG_MS: i64 = 14;

pub fn run(record: &Arc<Record>) -> u8 {
    let folder = Folder::create();
    let log = Arc::new(Log::default());
    let store = |id: &str, primary: bool| {
        let setup = StoreSetup {
            id: id.to_owned(),
            group: 2,
            primary,
            lag_ms: LAG_MS,
            work_ms: (54.0, 93.0),
            tells_position: true,
            started_ms: 0,
        };
        start_store(setup, &log, record)
    };
    let stores = [store("s-1", true), store("s-2", false), store("s-3", false), store("s-4", false)];
    let agent = Agent::start(1, &stores.iter().map(Arc::as_ref).collect::<Vec<_>>(), record);
    let config = folder.write("config.json", &sites::oaxaca().config(&agent.at.to_string(), &agent.whole()));
    let control = folder.path("control").display().to_string();
    let charter = folder.write("charter.json5", &format!("{{ control: {{ path: {control:?} }} }}"));
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
    std::thread::sleep(ms(500));
    let begun = Instant::now();
    let until = begun + Duration::from_secs(SECONDS);
    let (fresh, stale, failed) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let mut upgraded = !trouble();
    // Each session on a connection of its own: it writes, and reads what it has written, in turns.
    std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (fresh, stale, failed, at) = (&fresh, &stale, &failed, front.at);
            scope.spawn(move || {
                let mut client = Client::open(at, ms(5000)).expect("a session");
                let mut known = 0;
                for i in 1u64.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let (id, key) = (format!("{n:04x}{i:08x}a"), format!("session-{n}"));
                    record.line(&format!("client {n} sends id={id} writes {key}={i}"));
                    let sent = client.send(&write_of("basket-put", &id, 3000, 2, &key, &i.to_string()));
                    let answer = if sent { client.answer() } else { Answer { ended: true, ..Answer::default() } };
                    record.line(&format!("client {n} gets id={id}: {}", answer.text()));
                    match answer.value {
                        Some(_) => known = i,
                        None => drop(failed.fetch_add(1, Ordering::SeqCst)),
                    }
                    let id = format!("{n:04x}{i:08x}b");
                    record.line(&format!("client {n} sends id={id} reads {key}, committed to it: {known}"));
                    let sent = !answer.ended && client.send(&read_of("my-basket", &id, 2000, 2, &key));
                    let answer = if sent { client.answer() } else { Answer { ended: true, ..Answer::default() } };
                    record.line(&format!("client {n} gets id={id}: {}", answer.text()));
                    let seen = answer.value.as_ref().map(|value| value.parse::<u64>().unwrap_or(0));
                    match seen {
                        Some(seen) if seen >= known => drop(fresh.fetch_add(1, Ordering::SeqCst)),
                        Some(seen) => {
                            stale.fetch_add(1, Ordering::SeqCst);
                            record.say(&format!("BROKEN: client {n} was told that its write {known} is committed, and its next read on the same connection sees {seen}"));
                        }
                        None => drop(failed.fetch_add(1, Ordering::SeqCst)),
                    }
                    if answer.ended {
                        client = Client::open(at, ms(5000)).expect("a session");
                    }
                }
            });
        }
        std::thread::sleep(ms(4000));
        if trouble() {
            let (done, text) = front.command(&charter, &["upgrade"]);
            record.say(&format!("the operator's upgrade: {done}, {text}"));
            upgraded = done;
        }
    });
    record.line(&format!("log of the front:\n{}", front.log_text()));
    let get = |n: &AtomicU64| n.load(Ordering::SeqCst);
    record.say(&format!("{} session reads saw their session's writes, {} did not; {} failed or refused", get(&fresh), get(&stale), get(&failed)));
    match (get(&stale), get(&fresh)) {
        (0, fresh) if fresh >= 200 && upgraded => HELD,
        (0, _) => COULD_NOT_RUN,
        _ => BROKEN,
    }
}
