//! The fronts' membership at size, in simulated time: the program's own core for each front, and a network
//! that loses, delays, doubles and cuts. Figures of it are called simulated.

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

/// Any time; lives count from it.
const UNIX: Duration = Duration::from_secs(1_790_000_000);
/// How often it is looked whether all fronts agree.
const LOOK: Duration = Duration::from_millis(100);

/// What befalls fronts or the ways between them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Plight {
    /// `share` of the fronts end at once, and start again, knowing nothing, when it ends.
    Killed,
    /// `share` of the fronts stand still.
    Stopped,
    /// `share` of the fronts hear nobody and are heard by nobody but each other.
    Cut,
    /// `share` of all datagrams are lost.
    Lost,
    /// `share` of all datagrams come twice.
    Doubled,
    /// `share` of the fronts hear all and are heard by none.
    Unheard,
    /// `share` of the fronts run late by up to a period at each timer.
    Slow,
}

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

/// What is played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Circle {
    #[garde(range(min = 1, max = 10_000))]
    pub fronts: usize,
    #[garde(range(min = 1.0, max = 3600.0))]
    pub lasts_s: f64,
    #[garde(range(min = 50, max = 10_000))]
    pub every_ms: u64,
    /// One way, least and most, in milliseconds.
    #[garde(skip)]
    pub way_ms: [f64; 2],
    /// All start within so many seconds.
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

/// What was seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    pub fronts: usize,
    /// Until all held the same for there after the start, in seconds; none if they never did.
    pub joined_s: Option<f64>,
    /// From the end of a front until another took it for dead: percentiles over all pairs.
    pub detect_p50_ms: f64,
    pub detect_p99_ms: f64,
    pub detected: u64,
    /// Pairs of which one was to take the other for dead and had not when it ended.
    pub missed: u64,
    /// Times that a front was taken for dead that ran, and that others could hear.
    pub false_suspicions: u64,
    /// From the end of the last plight until all held the same for there and each was whole.
    pub settle_s: Option<f64>,
    /// A front and second, while nothing befell anybody and all had joined.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
    pub datagrams: u64,
    pub longest: usize,
    pub refused: BTreeMap<&'static str, u64>,
    /// Pairs at the end, by what one holds of the other, where both run.
    pub held: BTreeMap<&'static str, u64>,
    /// Standing at the end: alone, part, whole.
    pub standing: [usize; 3],
    /// From ten periods after a cut on: the least number of whole fronts on the larger side, and the most on the
    /// smaller one.
    pub whole_while_cut: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
enum Happens {
    Start(usize),
    Arrives { from: usize, to: usize, bytes: Vec<u8> },
    Due { front: usize, life: u32 },
    Begins(usize),
    Ends(usize),
    Look,
}

struct Node {
    core: Option<Membership>,
    begun: Duration,
    life: u32,
    starts: u32,
    stopped: u32,
    /// Came while it stood still.
    kept: Vec<(usize, Vec<u8>)>,
    /// When its next look is set.
    set: Duration,
    /// Since when nobody can hear it: it ended, stands still, or is cut off.
    deaf: Option<Duration>,
}

/// What cores want done, kept until the calendar can be reached.
#[derive(Default)]
struct Hands {
    sends: Vec<(usize, Vec<u8>)>,
    events: Vec<Event>,
}

impl Host for Hands {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.sends.push((to, datagram.to_vec()));
    }

    fn event(&mut self, event: Event) {
        self.events.push(event);
    }
}

struct Play<'a> {
    circle: &'a Circle,
    seed: u64,
    now: Duration,
    calendar: Calendar<Happens>,
    nodes: Vec<Node>,
    net: Stream,
    /// By the number of a plight: whom it has met.
    met: Vec<Vec<bool>>,
    active: Vec<bool>,
    seen: Seen,
    times: Histogram<u64>,
    /// Datagrams and bytes so far, when it was last calm, and those of calm times.
    calm: (f64, u64, u64),
    ended: [u64; 2],
    healed: Duration,
}

/// Plays it; the same seed plays the same.
pub fn play(circle: &Circle, seed: u64) -> Seen {
    let n = circle.fronts;
    let node = || Node {
        core: None,
        begun: Duration::ZERO,
        life: 0,
        starts: 0,
        stopped: 0,
        kept: Vec::new(),
        set: Duration::MAX,
        deaf: None,
    };
    let mut chance = Stream::of(seed, "circle", 0);
    let lasts = Duration::from_secs_f64(circle.lasts_s);
    let mut calendar = Calendar::new(Duration::from_micros(250), 8192);
    for front in 0..n {
        let at = Duration::from_secs_f64(circle.start_within_s * chance.share());
        calendar.set(at, Happens::Start(front));
    }
    let mut healed = Duration::ZERO;
    for (i, ill) in circle.ills.iter().enumerate() {
        let (from, to) = (ill.at_s, ill.at_s + ill.lasts_s);
        calendar.set(Duration::from_secs_f64(from), Happens::Begins(i));
        calendar.set(Duration::from_secs_f64(to), Happens::Ends(i));
        healed = healed.max(Duration::from_secs_f64(to));
    }
    calendar.set(LOOK, Happens::Look);
    let mut play = Play {
        circle,
        seed,
        now: Duration::ZERO,
        calendar,
        nodes: (0..n).map(|_| node()).collect(),
        net: Stream::of(seed, "network", 0),
        met: circle
            .ills
            .iter()
            .map(|ill| {
                let whole = matches!(ill.what, Plight::Lost | Plight::Doubled);
                let count = if whole { n } else { (n as f64 * ill.share).round() as usize };
                let mut met = vec![false; n];
                let mut order: Vec<usize> = (0..n).collect();
                for i in 0..count.min(n) {
                    let with = i + chance.below(n - i);
                    order.swap(i, with);
                    met[order[i]] = true;
                }
                met
            })
            .collect(),
        active: vec![false; circle.ills.len()],
        seen: Seen { fronts: n, ..Seen::default() },
        times: Histogram::new_with_bounds(1, 600_000, 3).expect("good bounds"),
        calm: (0.0, 0, 0),
        ended: [0, 0],
        healed,
    };
    while let Some(at) = play.calendar.next_at().filter(|&at| at <= lasts) {
        let Some((_, happens)) = play.calendar.take() else { break };
        play.now = at;
        play.handle(happens);
    }
    play.close()
}

impl Play<'_> {
    fn handle(&mut self, happens: Happens) {
        match happens {
            Happens::Start(front) => self.start(front),
            Happens::Arrives { from, to, bytes } => {
                let node = &mut self.nodes[to];
                if node.stopped > 0 {
                    // A machine keeps some of what comes to a process that does not run.
                    if node.kept.len() < 200 {
                        node.kept.push((from, bytes));
                    }
                } else {
                    self.act(to, |core, now, hands| {
                        let _ = core.handle_datagram(now, from, &bytes, hands);
                    });
                }
            }
            Happens::Due { front, life } => {
                let node = &mut self.nodes[front];
                if node.life != life || node.stopped > 0 {
                    return;
                }
                node.set = Duration::MAX;
                self.act(front, |core, now, hands| core.handle_timeout(now, hands));
            }
            Happens::Begins(i) => self.begin(i),
            Happens::Ends(i) => self.end(i),
            Happens::Look => {
                self.look();
                self.calendar.set(self.now + LOOK, Happens::Look);
            }
        }
    }

    fn start(&mut self, front: usize) {
        let every = Duration::from_millis(self.circle.every_ms);
        let keys = Keys::parse(&["5a".repeat(32)]).expect("a good key");
        let times = Timing::with_period(every);
        let node = &mut self.nodes[front];
        node.starts += 1;
        node.life = incarnation_at(UNIX + self.now);
        let seed = Stream::of(self.seed, "fellows", front * 64 + node.starts as usize).number();
        let (n, life) = (self.circle.fronts, node.life);
        node.core = Some(Membership::new(front, n, life, seed, NEWEST_VERSION, times, keys));
        (node.begun, node.set) = (self.now, Duration::MAX);
        self.act(front, |core, now, hands| core.handle_timeout(now, hands));
    }

    /// Lets a core act, and sends what it wants sent.
    fn act(&mut self, front: usize, call: impl FnOnce(&mut Membership, Duration, &mut Hands)) {
        let mut hands = Hands::default();
        let node = &mut self.nodes[front];
        let (at, life, begun) = (self.now, node.life, node.begun);
        let Some(core) = node.core.as_mut() else { return };
        call(core, at - begun, &mut hands);
        let mut next = core.next_timeout().saturating_add(begun).max(at);
        let slow = (0..self.active.len())
            .any(|i| self.active[i] && self.circle.ills[i].what == Plight::Slow && self.met[i][front]);
        if slow {
            next += Duration::from_millis(self.circle.every_ms).mul_f64(self.net.share());
        }
        if next < node.set {
            node.set = next;
            self.calendar.set(next, Happens::Due { front, life });
        }
        for event in hands.events {
            if let Event::Down(other) = event {
                self.down(front, other);
            }
        }
        for (to, bytes) in hands.sends {
            self.send(front, to, bytes);
        }
    }

    fn down(&mut self, by: usize, whom: usize) {
        let apart = self.apart(whom, by) || self.apart(by, whom);
        match self.nodes[whom].deaf {
            Some(since) if self.nodes[by].deaf.is_none() => {
                self.seen.detected += 1;
                let ms = (self.now - since).as_millis() as u64;
                self.times.saturating_record(ms.max(1));
            }
            // Neither can know better.
            Some(_) => {}
            None if apart || self.nodes[by].deaf.is_some() => {}
            None => self.seen.false_suspicions += 1,
        }
    }

    /// Whether what one sends does not come to the other.
    fn apart(&self, from: usize, to: usize) -> bool {
        (0..self.active.len()).filter(|&i| self.active[i]).any(|i| {
            let met = &self.met[i];
            match self.circle.ills[i].what {
                Plight::Cut => met[from] != met[to],
                Plight::Unheard => met[from],
                _ => false,
            }
        })
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.seen.longest = self.seen.longest.max(bytes.len());
        self.seen.datagrams += 1;
        (self.ended[0], self.ended[1]) = (self.ended[0] + 1, self.ended[1] + bytes.len() as u64);
        let (mut copies, mut lost) = (1, self.apart(from, to));
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
            self.calendar.set(self.now + way, Happens::Arrives { from, to, bytes: bytes.clone() });
        }
    }

    fn begin(&mut self, i: usize) {
        self.active[i] = true;
        let what = self.circle.ills[i].what;
        for front in (0..self.nodes.len()).filter(|&front| self.met[i][front]).collect::<Vec<_>>() {
            let node = &mut self.nodes[front];
            match what {
                Plight::Killed => {
                    node.core = None;
                    node.life = 0;
                }
                Plight::Stopped => node.stopped += 1,
                Plight::Cut | Plight::Unheard => {}
                Plight::Lost | Plight::Doubled | Plight::Slow => continue,
            }
            // Of two sides the larger one is to find out about the smaller one.
            if what != Plight::Cut || 2 * self.met[i].iter().filter(|&&met| met).count() < self.nodes.len() {
                self.nodes[front].deaf = self.nodes[front].deaf.or(Some(self.now));
            }
        }
    }

    fn end(&mut self, i: usize) {
        self.active[i] = false;
        let what = self.circle.ills[i].what;
        for front in (0..self.nodes.len()).filter(|&front| self.met[i][front]).collect::<Vec<_>>() {
            match what {
                Plight::Lost | Plight::Doubled | Plight::Slow => continue,
                Plight::Killed => {
                    self.nodes[front].deaf = None;
                    self.start(front);
                }
                Plight::Stopped => {
                    self.nodes[front].deaf = None;
                    self.nodes[front].stopped -= 1;
                    if self.nodes[front].stopped == 0 {
                        // It reads what has come, then finds its timers late.
                        for (from, bytes) in std::mem::take(&mut self.nodes[front].kept) {
                            self.act(front, |core, now, hands| {
                                let _ = core.handle_datagram(now, from, &bytes, hands);
                            });
                        }
                        self.nodes[front].set = Duration::MAX;
                        self.act(front, |core, now, hands| core.handle_timeout(now, hands));
                    }
                }
                Plight::Cut | Plight::Unheard => self.nodes[front].deaf = None,
            }
        }
    }

    fn look(&mut self) {
        let calm = !self.active.iter().any(|&active| active);
        let there: Vec<usize> = (0..self.nodes.len()).filter(|&f| self.nodes[f].core.is_some()).collect();
        let views = there.iter().filter_map(|&f| self.nodes[f].core.as_ref());
        let whole = |core: &Membership| core.connectivity().0 == Connectivity::Majority;
        let agree = there.len() == self.nodes.len()
            && views.clone().all(|core| whole(core) && core.present().len() == self.nodes.len());
        let [datagrams, bytes] = self.ended;
        if self.seen.joined_s.is_none() {
            if agree {
                self.seen.joined_s = Some(self.now.as_secs_f64() - self.circle.start_within_s);
            }
        } else if calm && agree {
            let (seconds, d, b) = self.calm;
            self.calm = (seconds + LOOK.as_secs_f64(), d + datagrams, b + bytes);
        }
        self.ended = [0, 0];
        if calm && self.now > self.healed && self.healed > Duration::ZERO && agree {
            let since = (self.now - self.healed).as_secs_f64();
            self.seen.settle_s.get_or_insert(since);
        }
        for i in (0..self.active.len()).filter(|&i| self.active[i]) {
            let Ill { what, at_s, .. } = self.circle.ills[i];
            // Both sides have had the time to find out.
            if what != Plight::Cut
                || self.now.as_secs_f64() < at_s + 10.0 * self.circle.every_ms as f64 / 1000.0
            {
                continue;
            }
            let side = |met: bool| {
                there
                    .iter()
                    .filter(|&&f| self.met[i][f] == met && self.nodes[f].core.as_ref().is_some_and(whole))
                    .count()
            };
            let cut = self.met[i].iter().filter(|&&met| met).count();
            let small = side(2 * cut < self.nodes.len());
            let large = side(2 * cut >= self.nodes.len());
            let (least, most) = self.seen.whole_while_cut.unwrap_or((usize::MAX, 0));
            self.seen.whole_while_cut = Some((least.min(large), most.max(small)));
        }
    }

    fn close(mut self) -> Seen {
        let at = |percent: f64| {
            if self.times.is_empty() { 0.0 } else { self.times.value_at_percentile(percent) as f64 }
        };
        (self.seen.detect_p50_ms, self.seen.detect_p99_ms) = (at(50.0), at(99.0));
        let (seconds, datagrams, bytes) = self.calm;
        if seconds > 0.0 {
            let per = seconds * self.nodes.len() as f64;
            (self.seen.datagrams_per_s, self.seen.bytes_per_s) = (datagrams as f64 / per, bytes as f64 / per);
        }
        for core in self.nodes.iter().filter_map(|node| node.core.as_ref()) {
            self.seen.standing[core.connectivity().0 as usize] += 1;
            for why in Refused::ALL {
                let count = core.refused[why as usize];
                if count > 0 {
                    *self.seen.refused.entry(why.name()).or_default() += count;
                }
            }
            for fellow in core.peers() {
                let gone = self.nodes[fellow.index].deaf.is_some();
                if !gone {
                    *self.seen.held.entry(fellow.liveness.name()).or_default() += 1;
                }
                self.seen.missed +=
                    u64::from(gone && fellow.index != core.me() && fellow.liveness != Liveness::Dead);
            }
        }
        self.seen
    }
}
