//! The load tool: an open loop against any front. Txns are due at times that were drawn before; each counts
//! from when it was due, however late it could be sent.

use crate::scenario::{Load, Reads};
use hdrhistogram::Histogram;
use juniperdock_emulator::{Stream, Zipf};
use juniperdock_test_support::Client;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Nothing comes from a front for so long after a txn's time: it has stopped answering.
const SILENT: Duration = Duration::from_secs(2);

/// What was seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    pub due: usize,
    pub sent: usize,
    pub committed: usize,
    pub declined: usize,
    pub unknown: usize,
    pub failed: usize,
    /// Without an answer, or the connection ended.
    pub unanswered: usize,
    /// Never sent: the front could not be reached.
    pub unsent: usize,
    pub retries: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    /// How late the tool itself was at most: figures of a tool that can't keep up tell nothing.
    pub late_ms: f64,
    pub lasted_s: f64,
    /// Why it ended before its time.
    pub stopped: Option<String>,
}

/// Notes something among what was seen.
type Note<'a> = &'a dyn Fn(&mut (Seen, Histogram<u64>));

struct Due {
    at: Duration,
    kind: usize,
    group: u64,
    mark: u64,
}

/// Loads a front for so long with so many connections; `progress` hears of it every second.
pub fn load(
    at: SocketAddr,
    load: &Load,
    groups: &[u64],
    lasts: Duration,
    connections: usize,
    seed: u64,
    progress: &(dyn Fn(&Seen) + Sync),
) -> Seen {
    let due = schedule(load, groups, lasts, seed);
    let (next, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let seen = Mutex::new((
        Seen { due: due.len(), ..Seen::default() },
        Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("good bounds"),
    ));
    let begun = Instant::now();
    let silent = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (due, next, stop, seen, silent) = (&due[..], &next, &stop, &seen, &silent);
        for worker in 0..connections.max(1) {
            scope.spawn(move || {
                work(at, load, due, next, stop, seen, silent, begun, Stream::of(seed, "load", worker))
            });
        }
        while begun.elapsed() < lasts + Duration::from_secs(60) && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(200));
            if next.load(Ordering::Relaxed) >= due.len() + connections.max(1) {
                break;
            }
            if let Ok(seen) = seen.lock() {
                progress(&seen.0);
            }
            if silent.load(Ordering::Relaxed) > 3 * connections.max(1) {
                stop.store(true, Ordering::Relaxed);
                if let Ok(mut seen) = seen.lock() {
                    seen.0.stopped = Some("the front does not answer".to_owned());
                }
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    let (mut seen, times) = seen.into_inner().unwrap_or_else(PoisonError::into_inner);
    let at = |percent: f64| {
        if times.is_empty() { 0.0 } else { times.value_at_percentile(percent) as f64 / 1000.0 }
    };
    (seen.p50_ms, seen.p99_ms, seen.p999_ms, seen.most_ms) = (at(50.0), at(99.0), at(99.9), at(100.0));
    seen.lasted_s = begun.elapsed().as_secs_f64();
    seen
}

fn schedule(load: &Load, groups: &[u64], lasts: Duration, seed: u64) -> Vec<Due> {
    let mut rng = Stream::of(seed, "schedule", 0);
    let zipf = Zipf::new(groups.len(), load.skew);
    let parts: f64 = load.kinds.iter().map(|kind| kind.part).sum();
    let (mut at, mut due) = (Duration::ZERO, Vec::new());
    loop {
        let times = load.series.get(at.as_secs() as usize).or(load.series.last()).copied().unwrap_or(1.0);
        at += if load.per_second * times > 0.0 {
            rng.gap(load.per_second * times)
        } else {
            Duration::from_secs(1)
        };
        if at >= lasts {
            return due;
        }
        if load.per_second * times <= 0.0 {
            continue;
        }
        let mut draw = rng.share() * parts;
        let kind = load.kinds.iter().position(|kind| {
            draw -= kind.part;
            draw < 0.0
        });
        let group = groups.get(zipf.draw(&mut rng)).copied().unwrap_or_default();
        due.push(Due { at, kind: kind.unwrap_or(0), group, mark: rng.number() });
    }
}

/// The statement of a txn, as clients of the front's protocol write it.
pub fn statement(
    name: &str,
    write: bool,
    id: &str,
    left_ms: u128,
    mark: u64,
    group: u64,
    retried: bool,
) -> String {
    let again = if retried { ",r=1" } else { "" };
    let rest = if write {
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob"
    } else {
        "SELECT blob FROM rows WHERE handle = '7f3a'"
    };
    format!("/* id={id},c={name},d={left_ms},k={mark:016x},cluster={group}{again} */ {rest}")
}

fn work(
    at: SocketAddr,
    load: &Load,
    due: &[Due],
    next: &AtomicUsize,
    stop: &AtomicBool,
    seen: &Mutex<(Seen, Histogram<u64>)>,
    silent: &AtomicUsize,
    begun: Instant,
    mut rng: Stream,
) {
    let mut client: Option<Client> = None;
    let note = |what: Note| {
        if let Ok(mut seen) = seen.lock() {
            what(&mut seen);
        }
    };
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let Some(txn) = due.get(number).filter(|_| !stop.load(Ordering::Relaxed)) else { return };
        std::thread::sleep(txn.at.saturating_sub(begun.elapsed()));
        let late = begun.elapsed().saturating_sub(txn.at).as_secs_f64() * 1000.0;
        let kind = &load.kinds[txn.kind];
        let patience = load.patience[0] + (load.patience[1] - load.patience[0]) * rng.share();
        let expiry = Duration::from_millis(kind.expiry_ms).mul_f64(patience);
        for attempt in 0..=load.retries {
            if client.is_none() {
                client = Client::open_within(at, SILENT);
            }
            let Some(open) = client.as_mut() else {
                silent.fetch_add(1, Ordering::Relaxed);
                note(&|seen| seen.0.unsent += usize::from(attempt == load.retries));
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = open.stream.set_read_timeout(Some(expiry + SILENT));
            let id = format!("{:016x}", rng.number());
            let write = kind.reads == Reads::Write;
            let text =
                statement(&kind.name, write, &id, expiry.as_millis(), txn.mark, txn.group, attempt > 0);
            let reply = if open.tell(&text) { open.reply() } else { Default::default() };
            let (code, value) = (reply.code.as_deref(), reply.value.is_some());
            let gone = reply.last != b'Z';
            if gone {
                client = None;
                silent.fetch_add(1, Ordering::Relaxed);
            } else {
                silent.store(0, Ordering::Relaxed);
            }
            let declined = matches!(code, Some("53300" | "57P03"));
            let again = declined && attempt < load.retries && !stop.load(Ordering::Relaxed);
            note(&|(seen, times)| {
                seen.sent += usize::from(attempt == 0);
                seen.retries += usize::from(attempt > 0);
                seen.late_ms = seen.late_ms.max(if attempt == 0 { late } else { 0.0 });
                seen.committed += usize::from(value);
                seen.declined += usize::from(declined && !again);
                seen.unknown += usize::from(code == Some("40003"));
                seen.failed += usize::from(!value && !declined && code.is_some() && code != Some("40003"));
                seen.unanswered += usize::from(gone && !value && code.is_none());
                if value {
                    times.saturating_record(
                        (begun.elapsed().saturating_sub(txn.at).as_micros() as u64).max(1),
                    );
                }
            });
            if !again {
                break;
            }
            let told =
                reply.detail.and_then(|ms| ms.parse().ok()).map_or(Duration::ZERO, Duration::from_millis);
            let back_off = load.back_off_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
            std::thread::sleep(rng.span((back_off[0], back_off[1])).max(told));
        }
    }
}
