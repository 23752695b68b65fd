//! A store sends a second copy of an answer right behind it; the front gives it to the next client.

use crate::common::*;
use crate::sites;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Four groups of five stores, and one client for each, which asks again as soon as it is answered.
const GROUPS: u64 = 4;
const MEMBERS: u64 = 5;
const SECONDS: u64 = 40;
/// One answer in ten is followed by its second copy.
const COPIES: f64 = 0.1;
/// By how much the way may delay the second of two segments more than the first, in microseconds: the site's
/// `cross_ms` of at most 2.6 ms and its `jitter` of at most 0.32.
const JITTER_US: f64 = 2600.0 * 0.32;

pub fn run(record: &Arc<Record>) -> u8 {
    let folder = Folder::create();
    let (log, copies) = (Arc::new(Log::default()), Arc::new(AtomicU64::new(0)));
    let store = |id: &str, group: u64, primary: bool| {
        let setup = StoreSetup {
            id: id.to_owned(),
            group,
            primary,
            lag_ms: 10,
            work_ms: (52.0, 89.0),
            tells_position: true,
            started_ms: 0,
        };
        let (random, copies, notes, name) =
            (Mutex::new(Random::new(id.len() as u64 + unix_us() as u64)), copies.clone(), record.clone(), id.to_owned());
        let deliver = move |stream: &mut std::net::TcpStream, answer: &[u8]| {
            stream.write_all(answer)?;
            let (spoil, wait) = {
                let mut random = random.lock().expect("no panic with the lock");
                (random.share() < COPIES, random.between(0.0, JITTER_US))
            };
            // The copy is sent right behind the answer, when nothing else waits on this connection; the way delays
            // its segment a little more. Answers to probes are not copied.
            if trouble() && spoil && !answer.windows(3).any(|part| part == b"x0=") {
                let until = Instant::now() + Duration::from_secs_f64(wait / 1e6);
                while Instant::now() < until {
                    std::hint::spin_loop();
                }
                notes.line(&format!("store {name} sends a second copy of its last answer, {wait:.0} us behind it"));
                copies.fetch_add(1, Ordering::SeqCst);
                stream.write_all(answer)?;
            }
            Ok(())
        };
        start_store_with(setup, &log, record, Box::new(deliver))
    };
    let stores: Vec<Arc<Store>> =
        (0..MEMBERS * GROUPS).map(|n| store(&format!("s-{n}"), n / MEMBERS, n % MEMBERS == 0)).collect();
    let agent = Agent::start(1, &stores.iter().map(Arc::as_ref).collect::<Vec<_>>(), record);
    let config = folder.write("config.json", &sites::addis().config(&agent.at.to_string(), &agent.whole()));
    let environment = [("GW_DISCOVERY", agent.at.to_string()), ("GW_CONFIG", config), ("GW_NAME", "n0".to_owned())];
    let front = Front::start(free_address(), &environment, folder.path("front.log"));
    if !front.await_ready(Duration::from_secs(30)) {
        record.say("the front did not become ready");
        return COULD_NOT_RUN;
    }
    std::thread::sleep(ms(500));
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let (served, failed, foreign) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for n in 0..GROUPS {
            let (served, failed, foreign, at) = (&served, &failed, &foreign, front.at);
            scope.spawn(move || {
                let mut client = None;
                for i in 0u64.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let Some(open) = client.as_mut().or(None) else {
                        client = Client::open(at, ms(3000));
                        continue;
                    };
                    let (id, handle) = (format!("{n:04x}{i:08x}"), format!("h{n}-{i}"));
                    let text = read_of("price-look", &id, 1000, n, &handle);
                    record.line(&format!("client {n} sends id={id} reads {handle}"));
                    let answer = if Client::send(open, &text) { open.answer() } else { Answer { ended: true, ..Answer::default() } };
                    record.line(&format!("client {n} gets id={id}: {}", answer.text()));
                    match &answer.value {
                        Some(value) if *value == format!("row of {handle}") => served.fetch_add(1, Ordering::SeqCst),
                        Some(value) => {
                            record.say(&format!("BROKEN: client {n} read {handle} and was served {value:?}, made for another request"));
                            foreign.fetch_add(1, Ordering::SeqCst)
                        }
                        None => failed.fetch_add(1, Ordering::SeqCst),
                    };
                    if answer.ended {
                        client = None;
                    }
                }
            });
        }
    });
    let get = |n: &AtomicU64| n.load(Ordering::SeqCst);
    record.say(&format!(
        "{} served, {} failed or refused, {} foreign; {} second copies were sent",
        get(&served), get(&failed), get(&foreign), get(&copies)
    ));
    match (get(&foreign), get(&served)) {
        (0, served) if served >= 200 => HELD,
        (0, _) => COULD_NOT_RUN,
        _ => BROKEN,
    }
}
