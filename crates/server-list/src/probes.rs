//! The pace of probes: which of those that are wanted starts when.
//!
//! A probe of a group in which transactions wait starts at once. All others share two budgets, one for groups that had
//! transactions of late and one for the rest, so that neither starves the other. Groups take turns within a budget. What
//! is out at once is bounded, for each probe holds a connection.

use oorandom::Rand64;
use std::collections::VecDeque;
use std::time::Duration;

/// A group that had a transaction is in use for so long after it.
const IN_USE: Duration = Duration::from_secs(10);
/// Probes a second of groups in use in which nothing waits. A front of a small site needs some tens.
const IN_USE_PER_SECOND: f64 = 100.0;
/// Probes a second of groups that are not in use: one that is refused costs about half a millisecond.
const UNUSED_PER_SECOND: f64 = 8.0;
/// So many may start at once after a pause: the servers of a small site.
const BURST: f64 = 120.0;
/// Probes out at once, as parts of the connections to servers that there may be: of those that nothing waits for, and
/// of all.
const BACKGROUND_DIVISOR: usize = 4;
const TOTAL_DIVISOR: usize = 2;

/// How many probes may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeLimits {
    pub background: usize,
    pub all: usize,
}

impl ProbeLimits {
    /// For so many connections to servers.
    pub fn for_connections(connections: usize) -> ProbeLimits {
        let part = |part: usize| (connections / part).max(1);
        ProbeLimits { background: part(BACKGROUND_DIVISOR), all: part(TOTAL_DIVISOR) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    /// Transactions wait for it.
    Demanded,
    InUse,
    Unused,
}

/// What is wanted of one group.
#[derive(Debug, Default)]
struct Group {
    queued: VecDeque<u32>,
    /// The lane in which its turn comes.
    lane: Option<Lane>,
    last_used: Option<Duration>,
}

/// Probes that may start, refilled at a rate.
#[derive(Debug)]
struct Budget {
    per_second: f64,
    left: f64,
    counted: Duration,
}

impl Budget {
    fn new(per_second: f64) -> Budget {
        Budget { per_second, left: BURST, counted: Duration::ZERO }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        self.left = (self.left + passed * self.per_second).min(BURST);
        self.counted = now;
    }

    /// When there is enough for the next one.
    fn ready_at(&self) -> Duration {
        let missing = (1.0 - self.left).max(0.0);
        self.counted + Duration::from_secs_f64(missing / self.per_second)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    None,
    Queued,
    Out,
}

/// Probes that are wanted, and those that are out.
#[derive(Debug)]
pub struct ProbeQueue {
    limits: ProbeLimits,
    random: Rand64,
    groups: Vec<Group>,
    servers: Vec<State>,
    out: usize,
    demanded: VecDeque<u32>,
    in_use: VecDeque<u32>,
    unused: VecDeque<u32>,
    in_use_budget: Budget,
    unused_budget: Budget,
}

impl ProbeQueue {
    pub fn new(seed: u64, limits: ProbeLimits) -> ProbeQueue {
        ProbeQueue {
            limits,
            random: Rand64::new(u128::from(seed)),
            groups: Vec::new(),
            servers: Vec::new(),
            out: 0,
            demanded: VecDeque::new(),
            in_use: VecDeque::new(),
            unused: VecDeque::new(),
            in_use_budget: Budget::new(IN_USE_PER_SECOND),
            unused_budget: Budget::new(UNUSED_PER_SECOND),
        }
    }

    /// A probe of a server is wanted. One that is wanted already, or out, is not wanted twice.
    pub fn request(&mut self, now: Duration, server: usize, group: usize, demanded: bool) {
        if server >= self.servers.len() {
            self.servers.resize(server + 1, State::None);
        }
        if self.servers[server] != State::None {
            return;
        }
        self.servers[server] = State::Queued;
        self.group(group).queued.push_back(server as u32);
        let in_use = self.group(group).last_used.is_some_and(|at| now < at + IN_USE);
        let lane = match (demanded, in_use) {
            (true, _) => Lane::Demanded,
            (false, true) => Lane::InUse,
            (false, false) => Lane::Unused,
        };
        self.enqueue(group, lane);
    }

    /// A transaction has come for a group; `waits`: it waits there.
    pub fn used(&mut self, now: Duration, group: usize, waits: bool) {
        self.group(group).last_used = Some(now);
        if !self.group(group).queued.is_empty() {
            self.enqueue(group, if waits { Lane::Demanded } else { Lane::InUse });
        }
    }

    /// The next server to probe now.
    pub fn next(&mut self, now: Duration) -> Option<usize> {
        if self.out >= self.limits.all {
            return None;
        }
        if let Some(server) = self.take_next(Lane::Demanded) {
            return Some(self.start(server));
        }
        self.in_use_budget.refill(now);
        self.unused_budget.refill(now);
        for lane in [Lane::InUse, Lane::Unused] {
            if self.out < self.limits.background
                && self.budget(lane).left >= 1.0
                && let Some(server) = self.take_next(lane)
            {
                // Fronts that were told the same list do not probe in step.
                let cost = 0.5 + self.random.rand_float();
                self.budget(lane).left -= cost;
                return Some(self.start(server));
            }
        }
        None
    }

    /// When the next may start, unless one that is out has to end first or none is wanted.
    pub fn next_at(&self) -> Option<Duration> {
        if self.out >= self.limits.background {
            return None;
        }
        let in_use = (!self.in_use.is_empty()).then(|| self.in_use_budget.ready_at());
        let unused = (!self.unused.is_empty()).then(|| self.unused_budget.ready_at());
        in_use.into_iter().chain(unused).min()
    }

    /// A probe has come to its end.
    pub fn ended(&mut self, server: usize) {
        if let Some(state) = self.servers.get_mut(server).filter(|state| **state == State::Out) {
            *state = State::None;
            self.out -= 1;
        }
    }

    /// How many are wanted and not out.
    pub fn queued(&self) -> usize {
        self.servers.iter().filter(|state| **state == State::Queued).count()
    }

    fn group(&mut self, group: usize) -> &mut Group {
        if group >= self.groups.len() {
            self.groups.resize_with(group + 1, Group::default);
        }
        &mut self.groups[group]
    }

    fn budget(&mut self, lane: Lane) -> &mut Budget {
        if lane == Lane::Unused { &mut self.unused_budget } else { &mut self.in_use_budget }
    }

    fn lane(&mut self, lane: Lane) -> &mut VecDeque<u32> {
        match lane {
            Lane::Demanded => &mut self.demanded,
            Lane::InUse => &mut self.in_use,
            Lane::Unused => &mut self.unused,
        }
    }

    /// A group gets its turns in this lane, unless it has them in a better one.
    fn enqueue(&mut self, group: usize, lane: Lane) {
        let at = self.group(group).lane;
        let better = |now: Lane| (now as usize) <= (lane as usize);
        if at.is_some_and(better) {
            return;
        }
        self.group(group).lane = Some(lane);
        self.lane(lane).push_back(group as u32);
    }

    /// One server of the group whose turn it is.
    fn take_next(&mut self, lane: Lane) -> Option<u32> {
        while let Some(at) = self.lane(lane).pop_front() {
            let group = &mut self.groups[at as usize];
            // It may have gone over to a better lane.
            if group.lane != Some(lane) {
                continue;
            }
            let server = group.queued.pop_front();
            if group.queued.is_empty() {
                group.lane = None;
            } else {
                self.lane(lane).push_back(at);
            }
            if server.is_some() {
                return server;
            }
        }
        None
    }

    fn start(&mut self, server: u32) -> usize {
        self.servers[server as usize] = State::Out;
        self.out += 1;
        server as usize
    }
}
