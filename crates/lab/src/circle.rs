//! Simulates the membership protocol of a large number of fronts: each front runs the program's own protocol core,
//! over a network that loses, delays, duplicates and partitions. Its figures are labelled as simulated.

use garde::Validate;
use hdrhistogram::Histogram;
use juniperdock_emulator::{Calendar, Stream};
use juniperdock_membership::{
    Connectivity, Event, Host, Keys, Liveness, Membership, NEWEST_VERSION, Refused, Timing, incarnation_at,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Wall-clock time at which the simulation starts; incarnations are derived from it. The value is arbitrary.
const SIMULATION_EPOCH: Duration = Duration::from_secs(1_790_000_000);
/// Interval at which the agreement of all fronts is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Kind of fault of fronts or of the network between them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Plight {
    /// `share` of the fronts are killed, and restart without any state when the fault ends.
    Killed,
    /// `share` of the fronts are paused.
    Stopped,
    /// `share` of the fronts are partitioned from all others, but reach each other.
    Cut,
    /// `share` of all datagrams are lost.
    Lost,
    /// `share` of all datagrams are duplicated.
    Doubled,
    /// `share` of the fronts receive datagrams, but none of what they send arrives.
    Unheard,
    /// `share` of the fronts run each timer late by up to one period.
    Slow,
}

/// A fault at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Ill {
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at_s: f64,
    #[garde(range(min = 0.0, max = 3600.0))]
    pub lasts_s: f64,
    #[garde(skip)]
    pub what: Plight,
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// Parameters of a simulation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Circle {
    #[garde(range(min = 1, max = 10_000))]
    pub fronts: usize,
    #[garde(range(min = 1.0, max = 3600.0))]
    pub lasts_s: f64,
    #[garde(range(min = 50, max = 10_000))]
    pub every_ms: u64,
    /// Minimum and maximum one-way latency in milliseconds.
    #[garde(skip)]
    pub way_ms: [f64; 2],
    /// All fronts start within this time.
    #[garde(range(min = 0.0, max = 60.0))]
    pub start_within_s: f64,
    #[garde(dive)]
    pub ills: Vec<Ill>,
}

impl Default for Circle {
    fn default() -> Self {
        Circle {
            fronts: 10,
            lasts_s: 30.0,
            every_ms: 500,
            way_ms: [0.2, 2.0],
            start_within_s: 1.0,
            ills: Vec::new(),
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Results {
    pub fronts: usize,
    /// Seconds after the start until all fronts agreed on the same members; `None` if they never did.
    pub joined_s: Option<f64>,
    /// Time from the failure of a front until another considered it dead: percentiles over all pairs.
    pub detect_p50_ms: f64,
    pub detect_p99_ms: f64,
    pub detected: u64,
    /// Pairs in which a failed front was not yet considered dead by the other at the end.
    pub missed: u64,
    /// Number of times that a running, reachable front was considered dead.
    pub false_suspicions: u64,
    /// Seconds from the end of the last fault until all fronts agreed on the members and each one had a majority.
    pub settle_s: Option<f64>,
    /// Per front and second, while no fault was active and all fronts had joined.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
    pub datagrams: u64,
    pub longest: usize,
    pub refused: BTreeMap<&'static str, u64>,
    /// Pairs at the end, by the liveness that one has recorded for the other, where the other is reachable.
    pub held: BTreeMap<&'static str, u64>,
    /// Number of fronts by connectivity at the end: isolated, in a minority, in a majority.
    pub standing: [usize; 3],
    /// From ten periods after the start of a partition: the minimum number of fronts with a majority on the larger
    /// side, and the maximum on the smaller side.
    pub whole_while_cut: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Start(usize),
    Arrives { from: usize, to: usize, bytes: Vec<u8> },
    Due { front: usize, incarnation: u32 },
    Begins(usize),
    Ends(usize),
    Check,
}

struct Node {
    core: Option<Membership>,
    begun: Duration,
    incarnation: u32,
    starts: u32,
    stopped: u32,
    /// Datagrams that arrived while the front was paused.
    buffered: Vec<(usize, Vec<u8>)>,
    /// Time of the next timer event in the calendar.
    timer_at: Duration,
    /// Time since which no other front can reach it: it was killed, is paused, or is partitioned.
    unreachable_since: Option<Duration>,
}

/// Collects what a core sends and reports until it can be put into the calendar.
#[derive(Default)]
struct CoreIo {
    sends: Vec<(usize, Vec<u8>)>,
    events: Vec<Event>,
}

impl Host for CoreIo {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.sends.push((to, datagram.to_vec()));
    }

    fn event(&mut self, event: Event) {
        self.events.push(event);
    }
}

struct Simulation<'a> {
    circle: &'a Circle,
    seed: u64,
    now: Duration,
    calendar: Calendar<SimEvent>,
    nodes: Vec<Node>,
    net: Stream,
    /// For each fault, whether it affects each front.
    affected: Vec<Vec<bool>>,
    active: Vec<bool>,
    results: Results,
    times: Histogram<u64>,
    /// Seconds, datagrams and bytes of the calm intervals.
    calm_traffic: (f64, u64, u64),
    /// Datagrams and bytes since the last check.
    traffic: [u64; 2],
    last_fault_end: Duration,
}

/// Runs the simulation; the same seed gives the same run.
pub fn play(circle: &Circle, seed: u64) -> Results {
    let n = circle.fronts;
    let node = || Node {
        core: None,
        begun: Duration::ZERO,
        incarnation: 0,
        starts: 0,
        stopped: 0,
        buffered: Vec::new(),
        timer_at: Duration::MAX,
        unreachable_since: None,
    };
    let mut chance = Stream::of(seed, "circle", 0);
    let lasts = Duration::from_secs_f64(circle.lasts_s);
    let mut calendar = Calendar::new(Duration::from_micros(250), 8192);
    for front in 0..n {
        let at = Duration::from_secs_f64(circle.start_within_s * chance.share());
        calendar.set(at, SimEvent::Start(front));
    }
    let mut last_fault_end = Duration::ZERO;
    for (i, ill) in circle.ills.iter().enumerate() {
        let (from, to) = (ill.at_s, ill.at_s + ill.lasts_s);
        calendar.set(Duration::from_secs_f64(from), SimEvent::Begins(i));
        calendar.set(Duration::from_secs_f64(to), SimEvent::Ends(i));
        last_fault_end = last_fault_end.max(Duration::from_secs_f64(to));
    }
    calendar.set(CHECK_INTERVAL, SimEvent::Check);
    let mut simulation = Simulation {
        circle,
        seed,
        now: Duration::ZERO,
        calendar,
        nodes: (0..n).map(|_| node()).collect(),
        net: Stream::of(seed, "network", 0),
        affected: circle
            .ills
            .iter()
            .map(|ill| {
                let whole = matches!(ill.what, Plight::Lost | Plight::Doubled);
                let count = if whole { n } else { (n as f64 * ill.share).round() as usize };
                let mut affected = vec![false; n];
                let mut order: Vec<usize> = (0..n).collect();
                for i in 0..count.min(n) {
                    let with = i + chance.below(n - i);
                    order.swap(i, with);
                    affected[order[i]] = true;
                }
                affected
            })
            .collect(),
        active: vec![false; circle.ills.len()],
        results: Results { fronts: n, ..Results::default() },
        times: Histogram::new_with_bounds(1, 600_000, 3).expect("valid bounds"),
        calm_traffic: (0.0, 0, 0),
        traffic: [0, 0],
        last_fault_end,
    };
    while let Some(at) = simulation.calendar.next_at().filter(|&at| at <= lasts) {
        let Some((_, event)) = simulation.calendar.take() else { break };
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Start(front) => self.start(front),
            SimEvent::Arrives { from, to, bytes } => {
                let node = &mut self.nodes[to];
                if node.stopped > 0 {
                    // The socket buffer holds a limited number of datagrams for a process that does not run.
                    if node.buffered.len() < 200 {
                        node.buffered.push((from, bytes));
                    }
                } else {
                    self.call_core(to, |core, now, io| {
                        let _ = core.handle_datagram(now, from, &bytes, io);
                    });
                }
            }
            SimEvent::Due { front, incarnation } => {
                let node = &mut self.nodes[front];
                if node.incarnation != incarnation || node.stopped > 0 {
                    return;
                }
                node.timer_at = Duration::MAX;
                self.call_core(front, |core, now, io| core.handle_timeout(now, io));
            }
            SimEvent::Begins(i) => self.begin(i),
            SimEvent::Ends(i) => self.end(i),
            SimEvent::Check => {
                self.check();
                self.calendar.set(self.now + CHECK_INTERVAL, SimEvent::Check);
            }
        }
    }

    fn start(&mut self, front: usize) {
        let every = Duration::from_millis(self.circle.every_ms);
        let keys = Keys::parse(&["5a".repeat(32)]).expect("a valid key");
        let times = Timing::with_period(every);
        let node = &mut self.nodes[front];
        node.starts += 1;
        node.incarnation = incarnation_at(SIMULATION_EPOCH + self.now);
        let seed = Stream::of(self.seed, "fellows", front * 64 + node.starts as usize).number();
        let (n, incarnation) = (self.circle.fronts, node.incarnation);
        node.core = Some(Membership::new(front, n, incarnation, seed, NEWEST_VERSION, times, keys));
        (node.begun, node.timer_at) = (self.now, Duration::MAX);
        self.call_core(front, |core, now, io| core.handle_timeout(now, io));
    }

    /// Calls a front's core, schedules its next timer, and processes the events and datagrams that it produced.
    fn call_core(&mut self, front: usize, call: impl FnOnce(&mut Membership, Duration, &mut CoreIo)) {
        let mut io = CoreIo::default();
        let node = &mut self.nodes[front];
        let (at, incarnation, begun) = (self.now, node.incarnation, node.begun);
        let Some(core) = node.core.as_mut() else { return };
        call(core, at - begun, &mut io);
        let mut next = core.next_timeout().saturating_add(begun).max(at);
        let slow = (0..self.active.len())
            .any(|i| self.active[i] && self.circle.ills[i].what == Plight::Slow && self.affected[i][front]);
        if slow {
            next += Duration::from_millis(self.circle.every_ms).mul_f64(self.net.share());
        }
        if next < node.timer_at {
            node.timer_at = next;
            self.calendar.set(next, SimEvent::Due { front, incarnation });
        }
        for event in io.events {
            if let Event::Down(other) = event {
                self.record_down(front, other);
            }
        }
        for (to, bytes) in io.sends {
            self.send(front, to, bytes);
        }
    }

    fn record_down(&mut self, by: usize, peer: usize) {
        let blocked = self.blocked(peer, by) || self.blocked(by, peer);
        match self.nodes[peer].unreachable_since {
            Some(since) if self.nodes[by].unreachable_since.is_none() => {
                self.results.detected += 1;
                let ms = (self.now - since).as_millis() as u64;
                self.times.saturating_record(ms.max(1));
            }
            // Both are unreachable, so neither view is wrong.
            Some(_) => {}
            None if blocked || self.nodes[by].unreachable_since.is_some() => {}
            None => self.results.false_suspicions += 1,
        }
    }

    /// Whether a fault blocks datagrams in this direction.
    fn blocked(&self, from: usize, to: usize) -> bool {
        (0..self.active.len()).filter(|&i| self.active[i]).any(|i| {
            let affected = &self.affected[i];
            match self.circle.ills[i].what {
                Plight::Cut => affected[from] != affected[to],
                Plight::Unheard => affected[from],
                _ => false,
            }
        })
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.results.longest = self.results.longest.max(bytes.len());
        self.results.datagrams += 1;
        (self.traffic[0], self.traffic[1]) = (self.traffic[0] + 1, self.traffic[1] + bytes.len() as u64);
        let (mut copies, mut lost) = (1, self.blocked(from, to));
        for i in 0..self.active.len() {
            let Ill { what, share, .. } = self.circle.ills[i];
            if self.active[i] && what == Plight::Lost {
                lost |= self.net.share() < share;
            }
            if self.active[i] && what == Plight::Doubled {
                copies += usize::from(self.net.share() < share);
            }
        }
        if lost || to >= self.nodes.len() {
            return;
        }
        for _ in 0..copies {
            let [least, most] = self.circle.way_ms;
            let way = Duration::from_secs_f64((least + (most - least) * self.net.share()) / 1000.0);
            self.calendar.set(self.now + way, SimEvent::Arrives { from, to, bytes: bytes.clone() });
        }
    }

    fn begin(&mut self, i: usize) {
        self.active[i] = true;
        let what = self.circle.ills[i].what;
        for front in (0..self.nodes.len()).filter(|&front| self.affected[i][front]).collect::<Vec<_>>() {
            let node = &mut self.nodes[front];
            match what {
                Plight::Killed => {
                    node.core = None;
                    node.incarnation = 0;
                }
                Plight::Stopped => node.stopped += 1,
                Plight::Cut | Plight::Unheard => {}
                Plight::Lost | Plight::Doubled | Plight::Slow => continue,
            }
            // The larger side of a partition has to detect the smaller one.
            if what != Plight::Cut
                || 2 * self.affected[i].iter().filter(|&&affected| affected).count() < self.nodes.len()
            {
                self.nodes[front].unreachable_since = self.nodes[front].unreachable_since.or(Some(self.now));
            }
        }
    }

    fn end(&mut self, i: usize) {
        self.active[i] = false;
        let what = self.circle.ills[i].what;
        for front in (0..self.nodes.len()).filter(|&front| self.affected[i][front]).collect::<Vec<_>>() {
            match what {
                Plight::Lost | Plight::Doubled | Plight::Slow => continue,
                Plight::Killed => {
                    self.nodes[front].unreachable_since = None;
                    self.start(front);
                }
                Plight::Stopped => {
                    self.nodes[front].unreachable_since = None;
                    self.nodes[front].stopped -= 1;
                    if self.nodes[front].stopped == 0 {
                        // The front reads the buffered datagrams before it runs its late timers.
                        for (from, bytes) in std::mem::take(&mut self.nodes[front].buffered) {
                            self.call_core(front, |core, now, io| {
                                let _ = core.handle_datagram(now, from, &bytes, io);
                            });
                        }
                        self.nodes[front].timer_at = Duration::MAX;
                        self.call_core(front, |core, now, io| core.handle_timeout(now, io));
                    }
                }
                Plight::Cut | Plight::Unheard => self.nodes[front].unreachable_since = None,
            }
        }
    }

    fn check(&mut self) {
        let calm = !self.active.iter().any(|&active| active);
        let running: Vec<usize> = (0..self.nodes.len()).filter(|&f| self.nodes[f].core.is_some()).collect();
        let views = running.iter().filter_map(|&f| self.nodes[f].core.as_ref());
        let whole = |core: &Membership| core.connectivity().0 == Connectivity::Majority;
        let agree = running.len() == self.nodes.len()
            && views.clone().all(|core| whole(core) && core.present().len() == self.nodes.len());
        let [datagrams, bytes] = self.traffic;
        if self.results.joined_s.is_none() {
            if agree {
                self.results.joined_s = Some(self.now.as_secs_f64() - self.circle.start_within_s);
            }
        } else if calm && agree {
            let (seconds, d, b) = self.calm_traffic;
            self.calm_traffic = (seconds + CHECK_INTERVAL.as_secs_f64(), d + datagrams, b + bytes);
        }
        self.traffic = [0, 0];
        if calm && self.now > self.last_fault_end && self.last_fault_end > Duration::ZERO && agree {
            let since = (self.now - self.last_fault_end).as_secs_f64();
            self.results.settle_s.get_or_insert(since);
        }
        for i in (0..self.active.len()).filter(|&i| self.active[i]) {
            let Ill { what, at_s, .. } = self.circle.ills[i];
            // Checked only after both sides have had time to detect the partition.
            if what != Plight::Cut
                || self.now.as_secs_f64() < at_s + 10.0 * self.circle.every_ms as f64 / 1000.0
            {
                continue;
            }
            let side = |affected: bool| {
                running
                    .iter()
                    .filter(|&&f| {
                        self.affected[i][f] == affected && self.nodes[f].core.as_ref().is_some_and(whole)
                    })
                    .count()
            };
            let cut = self.affected[i].iter().filter(|&&affected| affected).count();
            let small = side(2 * cut < self.nodes.len());
            let large = side(2 * cut >= self.nodes.len());
            let (least, most) = self.results.whole_while_cut.unwrap_or((usize::MAX, 0));
            self.results.whole_while_cut = Some((least.min(large), most.max(small)));
        }
    }

    fn finish(mut self) -> Results {
        let at = |percent: f64| {
            if self.times.is_empty() { 0.0 } else { self.times.value_at_percentile(percent) as f64 }
        };
        (self.results.detect_p50_ms, self.results.detect_p99_ms) = (at(50.0), at(99.0));
        let (seconds, datagrams, bytes) = self.calm_traffic;
        if seconds > 0.0 {
            let per = seconds * self.nodes.len() as f64;
            (self.results.datagrams_per_s, self.results.bytes_per_s) =
                (datagrams as f64 / per, bytes as f64 / per);
        }
        for core in self.nodes.iter().filter_map(|node| node.core.as_ref()) {
            self.results.standing[core.connectivity().0 as usize] += 1;
            for why in Refused::ALL {
                let count = core.refused[why as usize];
                if count > 0 {
                    *self.results.refused.entry(why.name()).or_default() += count;
                }
            }
            for peer in core.peers() {
                let gone = self.nodes[peer.index].unreachable_since.is_some();
                if !gone {
                    *self.results.held.entry(peer.liveness.name()).or_default() += 1;
                }
                self.results.missed +=
                    u64::from(gone && peer.index != core.me() && peer.liveness != Liveness::Dead);
            }
        }
        self.results
    }
}
