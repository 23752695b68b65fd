//! One member: cores shared by the running txns, a queue of waiting txns, a cold start, and connections.
//!
//! All running txns get equal shares of the cores (processor sharing). One number, the work done for each txn since the
//! start, therefore determines which txn completes next and when. The thread that applies the log counts as one more
//! txn.

use crate::shape::Shape;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

/// Number of steps in which capacity rises while a member is cold.
const WARM_UP_STEPS: u32 = 20;
/// Remaining work up to this, in seconds, counts as done.
const WORK_EPSILON_S: f64 = 1e-9;

/// A write that a replica has yet to apply: its log index, the time of its commit, and its arrival at the replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub index: u64,
    pub at: Duration,
    pub arrives_at: Duration,
}

/// Idle connections of a front: since when each is idle, the most recently used last.
pub(crate) type Pool = Vec<Duration>;

/// Kinds of work that count against the budget of a cold member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    Txn,
    Handshake,
    Probe,
}

/// The load report that a probe reads, cached between reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    pub made: Option<Duration>,
    pub primary: bool,
    pub position: Duration,
    pub waiting: f64,
    pub busy: f64,
}

/// The state of one member.
#[derive(Debug)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    pub up: bool,
    /// Removed for good: failed under overload while cold, or replaced.
    pub gone: bool,
    pub hung: u32,
    pub drains: bool,
    pub cut_from_fronts: u32,
    pub cut_from_peers: u32,
    pub speed: f64,
    pub lag_factor: f64,
    pub error_rate: f64,
    pub answer_loss: f64,
    pub hides_load: bool,
    /// Time of the last start, after which it was cold.
    pub started: Option<Duration>,
    /// Work done for each running txn since the start, in seconds, up to the time `at`.
    progress: f64,
    at: Duration,
    /// The running txns, by the value of `progress` at which each is done, in billionths.
    work: BinaryHeap<Reverse<(u64, u32)>>,
    pub waiting: VecDeque<u32>,
    /// Submissions that arrived while it hung.
    pub unread: Vec<u32>,
    /// Writes at a deposed primary that has not learned of it.
    pub orphaned: Vec<u32>,
    /// Number of running reads that block the applying of the log.
    pub blocking_reads: usize,
    /// Number of its scheduled step; older steps are void.
    pub generation: u32,
    pub claims_primary: bool,
    pub was_primary: bool,
    /// How many times it has become primary.
    pub epoch: u32,
    pub pending: VecDeque<Pending>,
    applying: Option<f64>,
    pub position: Duration,
    pub open: usize,
    pub pools: BTreeMap<usize, Pool>,
    pub load_report: LoadReport,
    /// Work that arrived while it was cold: time, amount in seconds, and kind.
    pub pressure: VecDeque<(Duration, f64, Load)>,
}

impl Member {
    pub fn new(group: usize, zone: usize) -> Member {
        Member {
            group,
            zone,
            up: true,
            gone: false,
            hung: 0,
            drains: false,
            cut_from_fronts: 0,
            cut_from_peers: 0,
            speed: 1.0,
            lag_factor: 1.0,
            error_rate: 0.0,
            answer_loss: 0.0,
            hides_load: false,
            started: None,
            progress: 0.0,
            at: Duration::ZERO,
            work: BinaryHeap::new(),
            waiting: VecDeque::new(),
            unread: Vec::new(),
            orphaned: Vec::new(),
            blocking_reads: 0,
            generation: 0,
            claims_primary: false,
            was_primary: false,
            epoch: 0,
            pending: VecDeque::new(),
            applying: None,
            position: Duration::ZERO,
            open: 0,
            pools: BTreeMap::new(),
            load_report: LoadReport::default(),
            pressure: VecDeque::new(),
        }
    }

    pub fn is_running(&self) -> bool {
        self.up && self.hung == 0
    }

    pub fn reaches_peers(&self) -> bool {
        self.is_running() && self.cut_from_peers == 0
    }

    pub fn at_work(&self) -> usize {
        self.work.len()
    }

    /// Capacity as a share of the full capacity; below 1 while the member is cold.
    pub fn warmth(&self, now: Duration, shape: &Shape) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let done = now.saturating_sub(started).as_secs_f64() / shape.cold.warm_up.as_secs_f64().max(1e-9);
        shape.cold.share + (1.0 - shape.cold.share) * done.min(1.0)
    }

    /// Work done per second for each running txn.
    fn rate(&self, now: Duration, shape: &Shape) -> f64 {
        let n =
            self.work.len() as f64 + f64::from(u8::from(self.applying.is_some() && self.blocking_reads == 0));
        if !self.is_running() || n == 0.0 {
            return 0.0;
        }
        let total = self.work.len() + self.waiting.len();
        let over = (total as f64 / shape.cores - shape.thrash).max(0.0);
        self.speed * self.warmth(now, shape) * (shape.cores / n).min(1.0) / (1.0 + 0.02 * over)
    }

    /// Accounts for the work done since the last call.
    pub fn advance(&mut self, now: Duration, shape: &Shape) {
        let rate = self.rate(self.at, shape);
        let done = rate * now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.progress += done;
        if let Some(left) = self.applying.as_mut().filter(|_| self.blocking_reads == 0) {
            *left -= done;
        }
    }

    /// Starts a txn that takes `seconds` of one core.
    pub fn start_work(&mut self, sub: u32, seconds: f64) {
        let ends = ((self.progress + seconds) * 1e9) as u64;
        self.work.push(Reverse((ends, sub)));
    }

    /// Removes and returns the next completed txn, if there is one.
    pub fn pop_done(&mut self) -> Option<u32> {
        let Reverse((ends, _)) = *self.work.peek()?;
        (ends as f64 <= (self.progress + WORK_EPSILON_S) * 1e9 + 1.0)
            .then(|| self.work.pop().map(|Reverse((_, sub))| sub))?
    }

    /// Completes writes whose work is done and starts the next write that has arrived. Returns whether any was applied.
    pub fn apply(&mut self, now: Duration, shape: &Shape) -> bool {
        let mut applied = false;
        loop {
            match self.applying {
                Some(left) if left <= WORK_EPSILON_S => {
                    self.applying = None;
                    if let Some(pending) = self.pending.pop_front() {
                        self.position = self.position.max(pending.at);
                        applied = true;
                    }
                }
                Some(_) => return applied,
                None => match self.pending.front() {
                    Some(next) if next.arrives_at <= now && self.is_running() => {
                        self.applying = Some(shape.log.apply.as_secs_f64() * self.lag_factor);
                    }
                    _ => return applied,
                },
            }
        }
    }

    /// Aborts the write that is being applied, after its log was replaced.
    pub fn stop_applying(&mut self) {
        self.applying = None;
    }

    /// Time at which the member has to be stepped again.
    pub fn next_step_at(&self, now: Duration, shape: &Shape) -> Option<Duration> {
        if !self.is_running() {
            return None;
        }
        let rate = self.rate(now, shape);
        let after = |work: f64| {
            (rate > 0.0)
                .then(|| now + Duration::from_nanos((work.max(0.0) / rate * 1e9).ceil().min(1e18) as u64 + 1))
        };
        let txn = self.work.peek().and_then(|Reverse((ends, _))| after(*ends as f64 / 1e9 - self.progress));
        let applied = self.applying.filter(|_| self.blocking_reads == 0).and_then(after);
        let arrives_at = self.pending.front().filter(|_| self.applying.is_none()).map(|next| next.arrives_at);
        let arrives_at =
            arrives_at.filter(|&arrives_at| arrives_at < Duration::MAX).map(|arrives_at| arrives_at.max(now));
        let cold = self.started.filter(|&at| now < at + shape.cold.warm_up);
        let warmer = cold.map(|_| now + (shape.cold.warm_up / WARM_UP_STEPS).max(Duration::from_millis(1)));
        [txn, applied, arrives_at, warmer.filter(|_| rate > 0.0)].into_iter().flatten().min()
    }

    /// Drops all submissions and connections of a member that stops, and returns the submissions.
    pub fn drop_all_work(&mut self) -> Vec<u32> {
        let mut all: Vec<u32> = self.work.drain().map(|Reverse((_, sub))| sub).collect();
        all.sort_unstable();
        all.extend(self.waiting.drain(..));
        all.append(&mut self.unread);
        all.append(&mut self.orphaned);
        (self.blocking_reads, self.applying, self.open) = (0, None, 0);
        self.pools.clear();
        all
    }

    /// Takes an idle connection of a front or opens a new one. Returns whether it was opened; `None` if the connection
    /// limit is reached.
    pub fn connect(&mut self, now: Duration, front: usize, shape: &Shape) -> Option<bool> {
        let close_expired = |pool: &mut Pool| {
            let before = pool.len();
            pool.retain(|&since| since + shape.idle > now);
            before - pool.len()
        };
        let pool = self.pools.entry(front).or_default();
        self.open -= close_expired(pool).min(self.open);
        if pool.pop().is_some() {
            return Some(false);
        }
        if self.open >= shape.connections {
            // Idle connections of other fronts may have expired by now.
            let ended: usize = self.pools.values_mut().map(close_expired).sum();
            self.open -= ended.min(self.open);
        }
        (self.open < shape.connections).then(|| {
            self.open += 1;
            true
        })
    }

    /// Returns a connection to the idle pool, or counts it as closed.
    pub fn release_connection(&mut self, now: Duration, front: usize, ended: bool) {
        if ended {
            self.open = self.open.saturating_sub(1);
        } else {
            self.pools.entry(front).or_default().push(now);
        }
    }

    /// Records work that has arrived. If the work of the last window exceeds the budget of a cold member, returns the
    /// amounts of that window, in seconds: txns, handshakes, probes, and the limit.
    pub fn add_cold_load(
        &mut self,
        now: Duration,
        seconds: f64,
        load: Load,
        shape: &Shape,
    ) -> Option<[f64; 4]> {
        if self.started.is_none_or(|at| now >= at + shape.cold.warm_up) {
            self.pressure.clear();
            return None;
        }
        self.pressure.push_back((now, seconds, load));
        while self.pressure.front().is_some_and(|&(at, ..)| at + shape.cold.window < now) {
            self.pressure.pop_front();
        }
        let sum_of = |load: Load| self.pressure.iter().filter(|p| p.2 == load).map(|p| p.1).sum::<f64>();
        let [txns, handshakes, probes] = [Load::Txn, Load::Handshake, Load::Probe].map(sum_of);
        let capacity = shape.cores * self.warmth(now, shape) * shape.cold.window.as_secs_f64();
        let limit = shape.cold.multiple * capacity;
        (txns + handshakes + probes > limit).then_some([txns, handshakes, probes, limit])
    }
}
