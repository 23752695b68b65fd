//! Scale run: one real front with server lists of growing size, and with simulated servers and a discovery agent in
//! this process. Measures what the size of the list costs the front, and fits a line through each figure.
//!
//! Bounded: one front at a time, a few threads, a fixed time for each size.

pub mod process;
pub mod simulated;

use juniperdock_test_support::{Client, Front, address};
use oorandom::Rand64;
use serde::Serialize;
use simulated::{Agent, Behaviour, GROUP, Servers};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time for a front to settle before it is measured at rest.
const SETTLE: Duration = Duration::from_millis(2500);
/// The effects of one change are measured over this time.
const CHANGE_WINDOW: Duration = Duration::from_millis(2500);
/// Groups count as used for 10 s after the last request for a change; the idle phase begins after that.
const GROUP_USE_EXPIRY: Duration = Duration::from_secs(11);
/// The duration of the idle phase after all changes.
const IDLE_DURATION: Duration = Duration::from_secs(4);
/// The interval at which memory and descriptors are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// A front that has not exited this long after SIGTERM is killed.
const MAX_SHUTDOWN: Duration = Duration::from_secs(8);
/// The longest time measured for a change to take effect; later ones count as this.
const MAX_IN_FORCE: Duration = Duration::from_secs(5);
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 512;

/// The parameters of a scale run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub program: String,
    pub sizes: Vec<usize>,
    pub behaviour: Behaviour,
    pub changes_per_second: u64,
    pub changes_for: Duration,
    /// Whether to wait until no group counts as used any more, and measure the idle load.
    pub idle: bool,
    pub seed: u64,
}

/// The measurements for one size.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub servers: usize,
    pub list_kib: f64,
    pub rest_mib: f64,
    /// Peak memory after one changed entry, and the processor time that it took.
    pub one_change_mib: f64,
    pub one_change_cpu_ms: f64,
    /// While changes arrive at the planned rate.
    pub changes_mib: f64,
    pub changes_cpu_percent: f64,
    pub in_force_median_ms: f64,
    pub in_force_max_ms: f64,
    pub in_force_measured: usize,
    pub list_bytes_per_change: f64,
    /// In the idle phase after the changes.
    pub idle_cpu_percent: Option<f64>,
    pub most_descriptors: usize,
    pub probes: u64,
    /// From SIGTERM to the exit; none if the front had to be killed.
    pub end_ms: Option<f64>,
}

/// A least-squares line through one figure over the number of servers.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    pub figure: &'static str,
    pub per_1000_servers: f64,
    pub intercept: f64,
    /// The largest distance of a measured figure from the line.
    pub max_residual: f64,
}

/// Samples the peak memory and descriptors of a process in a thread.
struct ResourceMonitor {
    stop: Arc<AtomicBool>,
    peak: Arc<Mutex<(u64, usize)>>,
}

impl ResourceMonitor {
    fn start(id: u32) -> ResourceMonitor {
        let (stop, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new((0, 0))));
        let monitor = ResourceMonitor { stop: stop.clone(), peak: peak.clone() };
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let (memory, open) = (process::resident_kib(id), process::descriptors(id));
                let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
                *peak = (peak.0.max(memory), peak.1.max(open));
                drop(peak);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        monitor
    }

    /// The peak memory since the last call, in MiB, and the peak number of descriptors since the start.
    fn take(&self) -> (f64, usize) {
        let mut peak = self.peak.lock().unwrap_or_else(PoisonError::into_inner);
        let (memory, open) = *peak;
        peak.0 = 0;
        (memory as f64 / 1024.0, open)
    }
}

impl Drop for ResourceMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Runs all sizes, one after the other.
pub fn play(plan: &Plan) -> Result<Vec<Outcome>, String> {
    plan.sizes.iter().map(|&servers| play_size(plan, servers)).collect()
}

fn play_size(plan: &Plan, count: usize) -> Result<Outcome, String> {
    let io_error = |e: std::io::Error| e.to_string();
    let servers = Servers::start(plan.behaviour).map_err(io_error)?;
    let agent = Agent::start().map_err(io_error)?;
    let known = simulated::list(1, true, (0..count).map(|i| simulated::entry(i, servers.at(i), "up")));
    let list_kib = known.len() as f64 / 1024.0;
    let front = start(plan, agent.at, &known);
    let (id, monitor) = (front.id(), ResourceMonitor::start(front.id()));
    drop(front.client());
    std::thread::sleep(SETTLE);
    let rest_mib = process::resident_kib(id) as f64 / 1024.0;

    monitor.take();
    let idle = measure_idle_share(id, CHANGE_WINDOW);
    let mut random = Rand64::new(u128::from(plan.seed));
    let drained = GROUP * (random.rand_range(0..(count / GROUP) as u64) as usize) + 1;
    let before = process::processor_time(id);
    let change = simulated::entry(drained, servers.at(drained), "draining");
    agent.change(2, simulated::list(2, false, std::iter::once(change)));
    std::thread::sleep(CHANGE_WINDOW);
    let cpu = (process::processor_time(id) - before).as_secs_f64() - idle * CHANGE_WINDOW.as_secs_f64();
    let (one_change_mib, _) = monitor.take();

    let bytes_before = agent.bytes.load(Ordering::Relaxed);
    let before = process::processor_time(id);
    let times = measure_changes(plan, &front, &agent, &servers, count);
    let changes_cpu = (process::processor_time(id) - before).as_secs_f64() / plan.changes_for.as_secs_f64();
    let changes = plan.changes_per_second * plan.changes_for.as_secs();
    let list_bytes = (agent.bytes.load(Ordering::Relaxed) - bytes_before) as f64 / changes.max(1) as f64;
    let (changes_mib, _) = monitor.take();

    let idle_cpu = plan.idle.then(|| {
        std::thread::sleep(GROUP_USE_EXPIRY);
        measure_idle_share(id, IDLE_DURATION) * 100.0
    });
    let (_, most_descriptors) = monitor.take();
    drop(monitor);
    let (end_ms, text) = stop(front);
    Ok(Outcome {
        servers: count,
        list_kib,
        rest_mib,
        one_change_mib,
        one_change_cpu_ms: cpu.max(0.0) * 1000.0,
        changes_mib,
        changes_cpu_percent: changes_cpu * 100.0,
        in_force_median_ms: times.get(times.len() / 2).copied().unwrap_or(0.0),
        in_force_max_ms: times.last().copied().unwrap_or(0.0),
        in_force_measured: times.len(),
        list_bytes_per_change: list_bytes,
        idle_cpu_percent: idle_cpu,
        most_descriptors,
        probes: counter(&text, "probes"),
        end_ms,
    })
}

fn start(plan: &Plan, agent: SocketAddr, known: &str) -> Front {
    let config = Front::config(known, SOCKETS)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("8c1f30d27a5be964", &format!("{:016x}", plan.seed));
    Front::start_with_config(&plan.program, address(), agent, &config, None)
}

/// The share of a core that a front uses, averaged over a time span.
fn measure_idle_share(id: u32, over: Duration) -> f64 {
    let (before, begun) = (process::processor_time(id), Instant::now());
    std::thread::sleep(over);
    (process::processor_time(id) - before).as_secs_f64() / begun.elapsed().as_secs_f64()
}

/// Announces changes at the planned rate, each a new server in a group of its own, and queries some of those groups
/// until the front has them. Returns the times until then in milliseconds, sorted.
fn measure_changes(plan: &Plan, front: &Front, agent: &Agent, servers: &Servers, count: usize) -> Vec<f64> {
    let every = Duration::from_secs_f64(1.0 / plan.changes_per_second as f64);
    let all = plan.changes_per_second * plan.changes_for.as_secs();
    let mut client = front.client();
    let (begun, mut times) = (Instant::now(), Vec::new());
    let mut next = 0;
    while next < all {
        std::thread::sleep((every * next as u32).saturating_sub(begun.elapsed()));
        let (version, number) = (next + 3, count + GROUP * (next as usize + 1));
        let entry = simulated::entry(number, servers.at(number), "up");
        agent.change(version, simulated::list(version, false, std::iter::once(entry)));
        let announced = Instant::now();
        next += 1;
        // While one group is queried, the following changes are announced on time.
        while !accepts_group(&mut client, number / GROUP) && announced.elapsed() < MAX_IN_FORCE {
            while next < all && begun.elapsed() >= every * next as u32 {
                let (version, number) = (next + 3, count + GROUP * (next as usize + 1));
                let entry = simulated::entry(number, servers.at(number), "up");
                agent.change(version, simulated::list(version, false, std::iter::once(entry)));
                next += 1;
            }
        }
        times.push(announced.elapsed().as_secs_f64() * 1000.0);
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Whether a front has a group: a request for a group that is not in its list is rolled back at once.
fn accepts_group(client: &mut Client, group: usize) -> bool {
    let statement =
        format!("/* id=scale,c=lookup,d=1,cluster={group} */ SELECT blob FROM rows WHERE handle = '7f3a'");
    client.query(&statement).code.as_deref() != Some("40000")
}

/// Ends a front; returns the time that took and its output.
fn stop(front: Front) -> (Option<f64>, String) {
    let (id, begun) = (front.id(), Instant::now());
    front.signal("-TERM");
    let late = Arc::new(AtomicBool::new(true));
    let still = late.clone();
    let (ended, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (end_seen, kill_flag) = (ended.clone(), killed.clone());
    let guard = std::thread::spawn(move || {
        while begun.elapsed() < MAX_SHUTDOWN && !end_seen.load(Ordering::Relaxed) {
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        if still.load(Ordering::Relaxed) && !end_seen.load(Ordering::Relaxed) {
            kill_flag.store(true, Ordering::Relaxed);
            let _ = std::process::Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
    });
    let (_, text) = front.end();
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    ended.store(true, Ordering::Relaxed);
    late.store(false, Ordering::Relaxed);
    let _ = guard.join();
    ((!killed.load(Ordering::Relaxed)).then_some(took), text)
}

/// One of the counters that a front prints at exit; 0 if missing.
fn counter(text: &str, name: &str) -> u64 {
    let words = text.split_whitespace().rev();
    words
        .filter_map(|word| word.split_once('='))
        .find(|(its, _)| *its == name)
        .and_then(|(_, n)| n.parse().ok())
        .unwrap_or(0)
}

/// The name of a figure, and its accessor.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// The figures that a line is fitted to.
const FITTED: [Figure; 7] = [
    ("rest_mib", |o| o.rest_mib),
    ("one_change_mib", |o| o.one_change_mib),
    ("one_change_cpu_ms", |o| o.one_change_cpu_ms),
    ("changes_mib", |o| o.changes_mib),
    ("changes_cpu_percent", |o| o.changes_cpu_percent),
    ("in_force_max_ms", |o| o.in_force_max_ms),
    ("idle_cpu_percent", |o| o.idle_cpu_percent.unwrap_or(0.0)),
];

/// Fits a line to each figure; meaningful with at least two sizes.
pub fn fit(outcomes: &[Outcome]) -> Vec<Fit> {
    let sizes: Vec<f64> = outcomes.iter().map(|o| o.servers as f64).collect();
    FITTED
        .iter()
        .map(|(figure, read)| {
            let values: Vec<f64> = outcomes.iter().map(read).collect();
            let (slope, intercept) = line(&sizes, &values);
            let residual = |(x, y): (&f64, &f64)| (y - (slope * x + intercept)).abs();
            let max_residual = sizes.iter().zip(&values).map(residual).fold(0.0, f64::max);
            Fit { figure, per_1000_servers: slope * 1000.0, intercept, max_residual }
        })
        .collect()
}

/// Slope and intercept by least squares; a flat line if all sizes are equal.
pub fn line(xs: &[f64], ys: &[f64]) -> (f64, f64) {
    let n = xs.len().max(1) as f64;
    let (mean_x, mean_y) = (xs.iter().sum::<f64>() / n, ys.iter().sum::<f64>() / n);
    let spread: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return (0.0, mean_y);
    }
    let slope = xs.iter().zip(ys).map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    (slope, mean_y - slope * mean_x)
}

/// Formats the outcomes and lines as a text table.
pub fn table(outcomes: &[Outcome], fits: &[Fit]) -> String {
    let mut text = String::from(
        "servers  list KiB  rest MiB  1 change: MiB  cpu ms  changes: MiB  cpu %  in force ms median  max  idle cpu %  fds  probes  end ms\n",
    );
    for o in outcomes {
        let end = o.end_ms.map_or("killed".to_owned(), |ms| format!("{ms:.0}"));
        text += &format!(
            "{:>7}  {:>8.0}  {:>8.1}  {:>13.1}  {:>6.1}  {:>12.1}  {:>5.1}  {:>19.1}  {:>3.0}  {:>10}  {:>3}  {:>6}  {:>6}\n",
            o.servers,
            o.list_kib,
            o.rest_mib,
            o.one_change_mib,
            o.one_change_cpu_ms,
            o.changes_mib,
            o.changes_cpu_percent,
            o.in_force_median_ms,
            o.in_force_max_ms,
            o.idle_cpu_percent.map_or("-".to_owned(), |percent| format!("{percent:.2}")),
            o.most_descriptors,
            o.probes,
            end
        );
    }
    for fit in fits {
        text += &format!(
            "{:<20} {:>10.3} for each 1000 servers, {:>10.3} at none, at most {:.3} off the line\n",
            fit.figure, fit.per_1000_servers, fit.intercept, fit.max_residual
        );
    }
    text
}
