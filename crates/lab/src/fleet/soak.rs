//! Soak test: many processes under faults of all kinds that overlap in time, drawn from a seed. The verdict comes
//! from invariants checked on the history alone.

use super::audit::{self, Finding, HistoryView, front, txn};
use super::history::Line;
use super::misbehaving::MISBEHAVIOURS;
use super::schedule::{FaultKind, InjectedFault, Schedule};
use super::{Figures, figures};
use juniperdock_emulator::Stream;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// An attempt may still start this long after its client has left, and a busy server records it slightly later.
const AFTER_LEAVING: Duration = Duration::from_millis(200);
/// The same for a process that was stopped or delayed, which detects the departure later.
const DISTURBED_AFTER_LEAVING: Duration = Duration::from_millis(500);

/// From the figures of the operators' page (`PROTOCOL.md`).
const MAX_DEADLINE_S: f64 = 3.0;
const KILL_MARGIN_S: f64 = 0.7;

/// The memory limits of the operators' pages (`LATER.md`).
const LEAST_MEMORY_MB: u64 = 32;
const USUAL_MEMORY_MB: u64 = 192;

/// Idle clients that connect to a front per second.
const CROWD_PER_SECOND: f64 = 600.0;

/// The fault kinds of a soak; each is drawn once before any is repeated.
const FAULT_KINDS: [FaultKind; 20] = [
    FaultKind::MisbehavingClients,
    FaultKind::MisbehavingClients,
    FaultKind::MisbehavingClients,
    FaultKind::MisbehavingClients,
    FaultKind::Crowd,
    FaultKind::FrontEnded,
    FaultKind::HeldUp,
    FaultKind::PrimaryKilled,
    FaultKind::CallsFail,
    FaultKind::FrontSlow,
    FaultKind::ShortCalls,
    FaultKind::MemberDrained,
    FaultKind::ConnectionsBreak,
    FaultKind::FrontKilled,
    FaultKind::PrimaryHung,
    FaultKind::Crowd,
    FaultKind::ListCut,
    FaultKind::Upgraded,
    FaultKind::PrimaryMoved,
    FaultKind::DiskFails,
];

impl Schedule {
    /// A schedule for this many processes under load, with about three concurrent faults for every ten of them.
    pub fn soak(seed: u64, fronts: usize, lasts_s: f64) -> Schedule {
        let mut random = Stream::of(seed, "soak", 0);
        let mut schedule = Schedule {
            title: format!("A soak from seed {seed}"),
            fronts,
            groups: 3,
            per_second: 12.0 * fronts as f64,
            expiry_ms: 600 + 100 * (seed % 8),
            sockets: if seed.is_multiple_of(3) { 1024 } else { 240 },
            memory_mb: if seed.is_multiple_of(2) { LEAST_MEMORY_MB } else { USUAL_MEMORY_MB },
            kills_the_ending: true,
            leaves: 0.03,
            fellows: false,
            ..Schedule::default()
        };
        let pace_s = 2.5 / (0.3 * fronts as f64).max(1.0);
        let (mut at_s, mut left) = (1.5, Vec::new());
        while at_s < lasts_s {
            if left.is_empty() {
                left = FAULT_KINDS.to_vec();
            }
            let what = left.swap_remove(random.below(left.len()));
            if let Some(fault) = schedule.draw_fault(what, at_s, &mut random) {
                schedule.mishaps.extend(accompanying_fault(&fault, &mut random));
                schedule.mishaps.push(fault);
            }
            at_s += pace_s * (0.5 + random.share());
        }
        schedule.lasts_s = schedule.healed_s() + 2.5;
        schedule
    }

    /// From SIGTERM to the earliest SIGKILL that the operators' page allows: the longest deadline, 3 s at most, plus
    /// [`KILL_MARGIN_S`].
    fn earliest_kill_s(&self) -> f64 {
        (self.expiry_ms as f64 / 1000.0).min(MAX_DEADLINE_S) + KILL_MARGIN_S
    }

    /// Draws one fault of a kind for a front that has none of that kind; none if there is no such front.
    fn draw_fault(&self, what: FaultKind, at_s: f64, random: &mut Stream) -> Option<InjectedFault> {
        let lasts_s = match what {
            FaultKind::FrontEnded => self.earliest_kill_s(),
            FaultKind::Upgraded => 2.0,
            _ => 1.0 + 2.5 * random.share(),
        };
        let number = match what {
            FaultKind::PrimaryKilled | FaultKind::PrimaryHung | FaultKind::PrimaryMoved => {
                random.below(self.groups)
            }
            FaultKind::MemberDrained => random.below(self.groups * self.members),
            FaultKind::MisbehavingClients => random.below(MISBEHAVIOURS),
            _ => 0,
        };
        let share = match what {
            // Long delays, but rarely: two in a row are more than a front has to tolerate.
            FaultKind::HeldUp => Some(0.002 + 0.004 * random.share()),
            FaultKind::CallsFail | FaultKind::ShortCalls => Some(0.05 + 0.1 * random.share()),
            FaultKind::ConnectionsBreak => Some(0.005 + 0.02 * random.share()),
            FaultKind::DiskFails => Some(0.5),
            _ => None,
        };
        let by = match what {
            FaultKind::HeldUp => Some(150.0),
            FaultKind::Crowd => Some(CROWD_PER_SECOND * (0.5 + random.share())),
            _ => None,
        };
        let first = random.below(self.fronts);
        let process = |m: &InjectedFault| m.targets_process();
        let mine = |m: &&InjectedFault| m.what == what || process(m) && is_of_process(what);
        let busy = |front: usize| {
            let its = self.mishaps.iter().filter(mine);
            its.into_iter().any(|m| m.front == Some(front) && m.at_s + m.lasts_s + 1.0 > at_s)
        };
        let mut fronts = (0..self.fronts).map(|i| (first + i) % self.fronts);
        let front = fronts.find(|&front| !busy(front))?;
        let front =
            Some(front).filter(|_| !FaultKind::PRIMARY.contains(&what) && what != FaultKind::MemberDrained);
        let (other, side) = (None, Vec::new());
        Some(InjectedFault { at_s, lasts_s, what, front, other, side, number, share, by })
    }
}

/// A second fault at the same front: idle clients at a slow process, where received data waits for a while, or at a
/// terminating one; a wrong wall clock while a process starts.
fn accompanying_fault(fault: &InjectedFault, random: &mut Stream) -> Option<InjectedFault> {
    match fault.what {
        FaultKind::FrontSlow => {
            Some(InjectedFault { what: FaultKind::Crowd, by: Some(CROWD_PER_SECOND), ..fault.clone() })
        }
        FaultKind::FrontEnded if random.below(2) == 0 => {
            Some(InjectedFault { what: FaultKind::Crowd, by: Some(CROWD_PER_SECOND), ..fault.clone() })
        }
        FaultKind::FrontKilled | FaultKind::FrontEnded | FaultKind::Upgraded => Some(InjectedFault {
            what: FaultKind::ClockStepped,
            share: Some(1.0),
            by: Some([20.0, 1000.0, 10_000.0, 3_600_000.0][random.below(4)]),
            number: random.below(2),
            lasts_s: fault.lasts_s + 2.0,
            ..fault.clone()
        }),
        _ => None,
    }
}

fn is_of_process(what: FaultKind) -> bool {
    matches!(
        what,
        FaultKind::FrontKilled
            | FaultKind::FrontEnded
            | FaultKind::FrontStopped
            | FaultKind::FrontSlow
            | FaultKind::Upgraded
    )
}

/// The result of a soak.
#[derive(Debug)]
pub struct Findings {
    pub figures: Figures,
    /// Violations of the invariants.
    pub broken: Vec<Finding>,
    /// Statements that were never sent on and whose connections ended twice. A real client would retry once more.
    pub crossed: usize,
    pub faults: BTreeMap<String, usize>,
    pub cut_off: usize,
    pub left: usize,
}

impl Findings {
    pub fn hold(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let kinds: Vec<String> = self.faults.iter().map(|(what, times)| format!("{what} {times}")).collect();
        writeln!(f, "mishaps: {}", kinds.join(", "))?;
        writeln!(
            f,
            "clients that left early {}, connections that ended under a statement {}",
            self.left, self.cut_off
        )?;
        for found in &self.broken {
            writeln!(f, "BROKEN {} at {:.3} s: {}", found.auditor, found.at_s, found.what)?;
        }
        writeln!(f, "statements that crossed the end of two connections {}", self.crossed)?;
        write!(f, "{}", self.figures)
    }
}

type Check = fn(&HistoryView) -> Vec<(Duration, String)>;

const INVARIANTS: [(&str, Check); 8] = [
    ("unanswered", check_unanswered),
    ("sent on and cut off", check_cut_off),
    ("sent after its client left", check_sent_after_leaving),
    ("counted by the front", check_front_counters),
    ("crashed", crashed),
    ("over its memory limit", check_memory),
    ("copy of another's request served", check_copies),
    ("sent behind the end of its client", check_sent_for_nobody),
];

/// Checks the history of a soak.
pub fn findings(lines: &[Line]) -> Findings {
    let view = HistoryView::new(lines);
    let one = |auditor: &'static str, (at, what): (Duration, String)| Finding {
        auditor,
        at_s: at.as_secs_f64(),
        what,
    };
    let broken = INVARIANTS
        .iter()
        .flat_map(|&(name, check)| check(&view).into_iter().map(move |found| one(name, found)));
    let mut broken: Vec<Finding> = broken.collect();
    let figures = figures(lines);
    // The checks above replace "answers", as clients leave and connections end during a soak.
    broken.extend(figures.found.iter().filter(|found| found.auditor != "answers").cloned());
    let crossed = crossed(&view).len();
    let mut faults = BTreeMap::new();
    for line in view.lines_of("mishap") {
        *faults.entry(line.more["mishap"]["what"].as_str().unwrap_or_default().to_owned()).or_default() += 1;
    }
    let (cut_off, left) = (view.lines_of("cut off").count(), view.lines_of("left").count());
    Findings { figures, broken, crossed, faults, cut_off, left }
}

/// The intervals in which each front's process was killed.
fn kills<'a>(view: &'a HistoryView) -> impl Iterator<Item = (usize, Duration, Duration)> + 'a {
    let kills = view.faults.iter().filter(|(fault, ..)| fault["what"] == "front_killed");
    kills.filter_map(|(fault, from, to)| Some((fault["front"].as_u64()? as usize, *from, *to)))
}

/// Statements that no front sent on and whose connections ended twice.
fn crossed(view: &HistoryView) -> BTreeSet<u64> {
    let mut ends: HashMap<u64, usize> = HashMap::new();
    for line in view.lines_of("cut off") {
        *ends.entry(txn(line)).or_default() += 1;
    }
    let nothing = view.lines_of("answered").filter(|line| line.text("told") == "nothing").map(txn);
    let sent: BTreeSet<u64> = view.lines_of("submitted").map(txn).collect();
    nothing.filter(|txn| ends.contains_key(txn) && !sent.contains(txn)).collect()
}

/// Rule 1: a client that stays gets exactly one answer, unless its front's process was disturbed in the meantime.
fn check_unanswered(view: &HistoryView) -> Vec<(Duration, String)> {
    let left: BTreeSet<u64> = view.lines_of("left").map(txn).collect();
    let crossed = crossed(view);
    let expected = |line: &&Line| !left.contains(&txn(line)) && !crossed.contains(&txn(line));
    let lines: Vec<Line> =
        view.lines.iter().filter(|line| line.what != "asked" || expected(line)).cloned().collect();
    audit::check_answers(&HistoryView::new(&lines))
}

/// Rule 1: a front that has sent a request to a server does not close the client's connection without an answer,
/// unless its process was killed.
fn check_cut_off(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut asked: HashMap<(usize, u64), Duration> = HashMap::new();
    let mut sent: HashMap<(usize, u64), Duration> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let key = (front(line), txn(line));
        match line.what.as_str() {
            "asked" => {
                asked.insert(key, line.at);
            }
            "submitted" => {
                sent.insert(key, line.at);
            }
            "cut off" => {
                let from = asked.get(&key).copied().unwrap_or_default();
                let sent = sent.get(&key).filter(|&&at| at >= from);
                let dead = kills(view).any(|(dead, at, to)| dead == key.0 && at <= line.at && from <= to);
                if sent.is_some() && !dead {
                    let what = format!("front {} sent txn {} on and ended its connection", key.0, key.1);
                    found.push((line.at, what));
                }
            }
            _ => {}
        }
    }
    found
}

/// Rule 1: no new attempt is sent for a client that has left.
fn check_sent_after_leaving(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut left: HashMap<(usize, u64), Duration> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let key = (front(line), txn(line));
        match line.what.as_str() {
            "left" => {
                left.insert(key, line.at);
            }
            "submitted" => {
                let Some(&at) = left.get(&key) else { continue };
                let allowed =
                    if view.excused(key.0, at, line.at) { DISTURBED_AFTER_LEAVING } else { AFTER_LEAVING };
                if line.at > at + allowed {
                    let late = (line.at - at).as_millis();
                    let what = format!("front {} sends txn {} {late} ms after its client left", key.0, key.1);
                    found.push((line.at, what));
                }
            }
            _ => {}
        }
    }
    found
}

/// The invariant violations and panics that a front counted and printed at exit.
fn check_front_counters(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut found = Vec::new();
    for line in view.lines_of("said").filter(|line| line.text("text").starts_with("counters: ")) {
        let words: Vec<&str> = line.text("text").split_whitespace().collect();
        let clean = words.contains(&"violations=0") && words.contains(&"panics=0");
        if !clean {
            let bad = words.iter().skip_while(|word| !word.starts_with("violations=")).copied();
            let bad: Vec<&str> =
                bad.chain(words.iter().filter(|word| word.starts_with("panics=")).copied()).collect();
            found.push((line.at, format!("front {}: {}", front(line), bad.join(" "))));
        }
    }
    found
}

/// No process passes its memory limit.
fn check_memory(view: &HistoryView) -> Vec<(Duration, String)> {
    let over = view.lines_of("over memory");
    let what = |line: &Line| {
        let (peak, limit) = (line.number("peak_kb"), line.number("limit_mb"));
        format!("front {}: {} KB of {} MB", front(line), peak.unwrap_or(0), limit.unwrap_or(0))
    };
    over.map(|line| (line.at, what(line))).collect()
}

/// Rule 2: a request with the id of another's is not run.
fn check_copies(view: &HistoryView) -> Vec<(Duration, String)> {
    let served = view.lines_of("copy served");
    served.map(|line| (line.at, format!("front {}: {}", front(line), line.text("text")))).collect()
}

/// Rule 1: nothing is sent for a client that has ended its sending with much of it unread.
fn check_sent_for_nobody(view: &HistoryView) -> Vec<(Duration, String)> {
    let late = |line: &Line| {
        let left = Duration::from_micros(line.number("left").unwrap_or(0));
        let allowed =
            if view.excused(front(line), left, line.at) { DISTURBED_AFTER_LEAVING } else { AFTER_LEAVING };
        (line.at > left + allowed).then(|| {
            let what = format!("front {}: {} ms after", front(line), (line.at - left).as_millis());
            (line.at, what)
        })
    };
    view.lines_of("sent for nobody").filter_map(late).collect()
}

fn crashed(view: &HistoryView) -> Vec<(Duration, String)> {
    let gone = view.lines_of("crashed").chain(view.lines_of("does not end"));
    gone.map(|line| (line.at, format!("front {}: {}", front(line), line.what))).collect()
}
