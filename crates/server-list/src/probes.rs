//! The rate of probes: which of the requested ones starts when.
//!
//! A probe of a group in which transactions wait starts at once. All others share two budgets, one for groups with
//! recent transactions and one for the rest, so that neither starves the other. Within a budget, groups are served
//! round-robin. The number of probes in flight is limited, since each occupies a connection.

use oorandom::Rand64;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a group is in use after a transaction.
const IN_USE: Duration = Duration::from_secs(10);
/// Probes per second of groups in use in which nothing waits. A front of a small site needs some tens.
const IN_USE_PER_SECOND: f64 = 100.0;
/// Probes per second of groups not in use; a refused probe costs about half a millisecond.
const UNUSED_PER_SECOND: f64 = 8.0;
/// How many probes may start at once after a pause: the servers of a small site.
const BURST: f64 = 120.0;
/// The maximum of connections to servers divided by these gives the limits of probes in flight: of those that no
/// transaction waits for, and of all.
const BACKGROUND_DIVISOR: usize = 4;
const TOTAL_DIVISOR: usize = 2;

/// Limits on probes in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeLimits {
    pub background: usize,
    pub all: usize,
}

impl ProbeLimits {
    /// The limits for this many connections to servers.
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

/// The probes requested of one group.
#[derive(Debug, Default)]
struct Group {
    queued: VecDeque<u32>,
    /// The lane in which the group is queued.
    lane: Option<Lane>,
    last_used: Option<Duration>,
}

/// A token bucket of probes that may start.
#[derive(Debug)]
struct Budget {
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Budget {
    fn new(per_second: f64) -> Budget {
        Budget { per_second, tokens: BURST, refilled_at: Duration::ZERO }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(BURST);
        self.refilled_at = now;
    }

    /// When there is a token for the next probe.
    fn ready_at(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        self.refilled_at + Duration::from_secs_f64(missing / self.per_second)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ProbeState {
    #[default]
    None,
    Queued,
    InFlight,
}

/// Probes that are requested, and those in flight.
#[derive(Debug)]
pub struct ProbeQueue {
    limits: ProbeLimits,
    random: Rand64,
    groups: Vec<Group>,
    servers: Vec<ProbeState>,
    in_flight: usize,
    demanded: VecDeque<u32>,
    in_use: VecDeque<u32>,
    unused: VecDeque<u32>,
    in_use_budget: Budget,
    unused_budget: Budget,
}

impl ProbeQueue {
    /// An empty queue; `seed` is for its random numbers.
    pub fn new(seed: u64, limits: ProbeLimits) -> ProbeQueue {
        ProbeQueue {
            limits,
            random: Rand64::new(u128::from(seed)),
            groups: Vec::new(),
            servers: Vec::new(),
            in_flight: 0,
            demanded: VecDeque::new(),
            in_use: VecDeque::new(),
            unused: VecDeque::new(),
            in_use_budget: Budget::new(IN_USE_PER_SECOND),
            unused_budget: Budget::new(UNUSED_PER_SECOND),
        }
    }

    /// Requests a probe of a server. Has no effect if one is requested already or in flight.
    pub fn request(&mut self, now: Duration, server: usize, group: usize, demanded: bool) {
        if server >= self.servers.len() {
            self.servers.resize(server + 1, ProbeState::None);
        }
        if self.servers[server] != ProbeState::None {
            return;
        }
        self.servers[server] = ProbeState::Queued;
        self.group(group).queued.push_back(server as u32);
        let in_use = self.group(group).last_used.is_some_and(|at| now < at + IN_USE);
        let lane = match (demanded, in_use) {
            (true, _) => Lane::Demanded,
            (false, true) => Lane::InUse,
            (false, false) => Lane::Unused,
        };
        self.enqueue(group, lane);
    }

    /// Records a transaction for a group; `waits`: it waits there.
    pub fn used(&mut self, now: Duration, group: usize, waits: bool) {
        self.group(group).last_used = Some(now);
        if !self.group(group).queued.is_empty() {
            self.enqueue(group, if waits { Lane::Demanded } else { Lane::InUse });
        }
    }

    /// The next server to probe now.
    pub fn next(&mut self, now: Duration) -> Option<usize> {
        if self.in_flight >= self.limits.all {
            return None;
        }
        if let Some(server) = self.take_next(Lane::Demanded) {
            return Some(self.start(server));
        }
        self.in_use_budget.refill(now);
        self.unused_budget.refill(now);
        for lane in [Lane::InUse, Lane::Unused] {
            if self.in_flight < self.limits.background
                && self.budget(lane).tokens >= 1.0
                && let Some(server) = self.take_next(lane)
            {
                // A random cost, so that fronts that received the same list do not probe in step.
                let cost = 0.5 + self.random.rand_float();
                self.budget(lane).tokens -= cost;
                return Some(self.start(server));
            }
        }
        None
    }

    /// When the next probe may start; `None` if one in flight has to end first, or none is requested.
    pub fn next_at(&self) -> Option<Duration> {
        if self.in_flight >= self.limits.background {
            return None;
        }
        let in_use = (!self.in_use.is_empty()).then(|| self.in_use_budget.ready_at());
        let unused = (!self.unused.is_empty()).then(|| self.unused_budget.ready_at());
        in_use.into_iter().chain(unused).min()
    }

    /// Records that a probe has ended.
    pub fn ended(&mut self, server: usize) {
        if let Some(state) = self.servers.get_mut(server).filter(|state| **state == ProbeState::InFlight) {
            *state = ProbeState::None;
            self.in_flight -= 1;
        }
    }

    /// The number of probes that are requested and not in flight.
    pub fn queued(&self) -> usize {
        self.servers.iter().filter(|state| **state == ProbeState::Queued).count()
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

    /// Queues a group in a lane, unless it is queued in that one or a higher one.
    fn enqueue(&mut self, group: usize, lane: Lane) {
        let at = self.group(group).lane;
        let better = |now: Lane| (now as usize) <= (lane as usize);
        if at.is_some_and(better) {
            return;
        }
        self.group(group).lane = Some(lane);
        self.lane(lane).push_back(group as u32);
    }

    /// One server of the next group in a lane.
    fn take_next(&mut self, lane: Lane) -> Option<u32> {
        while let Some(at) = self.lane(lane).pop_front() {
            let group = &mut self.groups[at as usize];
            // It may have moved to a higher lane.
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
        self.servers[server as usize] = ProbeState::InFlight;
        self.in_flight += 1;
        server as usize
    }
}
