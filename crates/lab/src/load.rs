//! The load tool: an open-loop load generator for any front. Txns are due at times that are drawn in advance; latency
//! counts from the due time, however late a txn could be sent.

use crate::scenario::{Load, Reads};
use hdrhistogram::Histogram;
use juniperdock_emulator::{Stream, Zipf};
use juniperdock_test_support::Client;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A front that sends nothing for this long after a txn's time counts as not answering.
const NO_ANSWER_AFTER: Duration = Duration::from_secs(2);

/// Results of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Results {
    pub due: usize,
    pub sent: usize,
    pub committed: usize,
    pub declined: usize,
    pub unknown: usize,
    pub failed: usize,
    /// No answer came, or the connection ended.
    pub unanswered: usize,
    /// Never sent because the front could not be reached.
    pub unsent: usize,
    pub retries: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    /// Maximum delay of the tool itself in sending; the figures are meaningless if the tool cannot keep up.
    pub late_ms: f64,
    pub lasted_s: f64,
    /// Reason why the run ended early.
    pub stopped: Option<String>,
}

/// An update of the results.
type Update<'a> = &'a dyn Fn(&mut (Results, Histogram<u64>));

/// A scheduled txn.
struct Due {
    at: Duration,
    kind: usize,
    group: u64,
    mark: u64,
}

/// Loads a front for `lasts` over `connections` connections; `progress` is called with interim results every 200 ms.
pub fn load(
    at: SocketAddr,
    load: &Load,
    groups: &[u64],
    lasts: Duration,
    connections: usize,
    seed: u64,
    progress: &(dyn Fn(&Results) + Sync),
) -> Results {
    let due = schedule(load, groups, lasts, seed);
    let (next, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let results = Mutex::new((
        Results { due: due.len(), ..Results::default() },
        Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"),
    ));
    let begun = Instant::now();
    let unanswered_in_a_row = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (due, next, stop, results, unanswered_in_a_row) =
            (&due[..], &next, &stop, &results, &unanswered_in_a_row);
        for worker in 0..connections.max(1) {
            scope.spawn(move || {
                run_worker(
                    at,
                    load,
                    due,
                    next,
                    stop,
                    results,
                    unanswered_in_a_row,
                    begun,
                    Stream::of(seed, "load", worker),
                )
            });
        }
        while begun.elapsed() < lasts + Duration::from_secs(60) && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(200));
            if next.load(Ordering::Relaxed) >= due.len() + connections.max(1) {
                break;
            }
            if let Ok(results) = results.lock() {
                progress(&results.0);
            }
            if unanswered_in_a_row.load(Ordering::Relaxed) > 3 * connections.max(1) {
                stop.store(true, Ordering::Relaxed);
                if let Ok(mut results) = results.lock() {
                    results.0.stopped = Some("the front does not answer".to_owned());
                }
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    let (mut results, times) = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let at = |percent: f64| {
        if times.is_empty() { 0.0 } else { times.value_at_percentile(percent) as f64 / 1000.0 }
    };
    (results.p50_ms, results.p99_ms, results.p999_ms, results.most_ms) =
        (at(50.0), at(99.0), at(99.9), at(100.0));
    results.lasted_s = begun.elapsed().as_secs_f64();
    results
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

/// The statement of a txn in the form that the front's protocol expects.
pub fn statement(
    name: &str,
    write: bool,
    id: &str,
    left_ms: u128,
    mark: u64,
    group: u64,
    retried: bool,
) -> String {
    let retry_field = if retried { ",r=1" } else { "" };
    let rest = if write {
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob"
    } else {
        "SELECT blob FROM rows WHERE handle = '7f3a'"
    };
    format!("/* id={id},c={name},d={left_ms},k={mark:016x},cluster={group}{retry_field} */ {rest}")
}

fn run_worker(
    at: SocketAddr,
    load: &Load,
    due: &[Due],
    next: &AtomicUsize,
    stop: &AtomicBool,
    results: &Mutex<(Results, Histogram<u64>)>,
    unanswered_in_a_row: &AtomicUsize,
    begun: Instant,
    mut rng: Stream,
) {
    let mut client: Option<Client> = None;
    let update = |what: Update| {
        if let Ok(mut results) = results.lock() {
            what(&mut results);
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
                client = Client::open_within(at, NO_ANSWER_AFTER);
            }
            let Some(open) = client.as_mut() else {
                unanswered_in_a_row.fetch_add(1, Ordering::Relaxed);
                update(&|results| results.0.unsent += usize::from(attempt == load.retries));
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = open.stream.set_read_timeout(Some(expiry + NO_ANSWER_AFTER));
            let id = format!("{:016x}", rng.number());
            let write = kind.reads == Reads::Write;
            let text =
                statement(&kind.name, write, &id, expiry.as_millis(), txn.mark, txn.group, attempt > 0);
            let reply = if open.try_send(&text) { open.reply() } else { Default::default() };
            let (code, value) = (reply.code.as_deref(), reply.value.is_some());
            let disconnected = reply.last != b'Z';
            if disconnected {
                client = None;
                unanswered_in_a_row.fetch_add(1, Ordering::Relaxed);
            } else {
                unanswered_in_a_row.store(0, Ordering::Relaxed);
            }
            let declined = matches!(code, Some("53300" | "57P03"));
            let will_retry = declined && attempt < load.retries && !stop.load(Ordering::Relaxed);
            update(&|(results, times)| {
                results.sent += usize::from(attempt == 0);
                results.retries += usize::from(attempt > 0);
                results.late_ms = results.late_ms.max(if attempt == 0 { late } else { 0.0 });
                results.committed += usize::from(value);
                results.declined += usize::from(declined && !will_retry);
                results.unknown += usize::from(code == Some("40003"));
                results.failed += usize::from(!value && !declined && code.is_some() && code != Some("40003"));
                results.unanswered += usize::from(disconnected && !value && code.is_none());
                if value {
                    times.saturating_record(
                        (begun.elapsed().saturating_sub(txn.at).as_micros() as u64).max(1),
                    );
                }
            });
            if !will_retry {
                break;
            }
            let retry_after =
                reply.detail.and_then(|ms| ms.parse().ok()).map_or(Duration::ZERO, Duration::from_millis);
            let back_off = load.back_off_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0));
            std::thread::sleep(rng.span((back_off[0], back_off[1])).max(retry_after));
        }
    }
}
