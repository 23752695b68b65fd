//! All interleavings of a small world: a group of two members, one front and one referenced write. The front
//! goes by the real records of tenure and fate; the world keeps what is true. Each guard is also taken out,
//! in the model's front, and the checker must find what it guards against.

use juniperdock_attempt_outcome::{
    AttemptOutcome, Barred, Effect, FinalAnswer, Scope, SubmissionHistory, Target,
};
use juniperdock_primary_tracker::{Claim, PrimaryTracker, Role};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

/// One step of the world's clock: half of the time that a fence lasts.
const STEP: Duration = Duration::from_millis(500);
const START: Duration = Duration::from_secs(10);
/// Marks are remembered for so many steps; the write expires after so many; an election takes so many.
const WINDOW: u8 = 2;
const EXPIRY: u8 = 5;
const ELECTION: u8 = 3;
const SENDS: u32 = 2;

fn at(step: u8) -> Duration {
    START + STEP * u32::from(step)
}

/// Guards that the model's front can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The newest dated claim takes the slot, whoever makes it.
    Terms,
    Window,
    /// Another submission goes out beside the one that is out.
    Turns,
    /// What may have run is declined.
    Truth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    from: usize,
    primary: bool,
    made: u8,
    /// The world's term that it speaks of.
    term: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Committed,
    Declined,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    // What is true.
    term: u8,
    primary: usize,
    hung: [bool; 2],
    hung_at: u8,
    /// The term in which a member takes itself for the primary; 0 where it does not.
    believes: [u8; 2],
    woke: [u8; 2],
    hangs: u8,
    /// Submissions that members have, and when they came.
    queued: Vec<(usize, u8)>,
    /// When it ran in the branch that lives, and in all.
    ran: Vec<u8>,
    runs: u8,
    // What is on the way to the front.
    reports: Vec<Report>,
    reported: u8,
    answer: Option<(usize, AttemptOutcome)>,
    // The front.
    tenure: PrimaryTracker,
    naive: Option<(u8, usize)>,
    fate: SubmissionHistory,
    out: u8,
    told: Option<Answer>,
    answers: u8,
    /// Newest claim heard of each member, with the term it spoke of; and the newest term that ever took the
    /// slot.
    claimed: [(u8, u8); 2],
    best: u8,
    // What must never be.
    old_slot: bool,
    late: bool,
    two_out: bool,
    after_answer: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Step,
    Hang(usize),
    Wake(usize),
    /// The other takes over; what ran lately came with it, or did not.
    Elect {
        keeps: bool,
    },
    Learn(usize),
    Report(usize),
    Deliver(usize),
    Doubt(usize),
    Submit,
    Run(usize),
    AnswerComes,
    AnswerLost,
    CallOff,
    GiveUp,
}

/// Which part of the world moves freely: the whole together has too many states to visit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Reports take their time, come in any order or not at all; nothing is written.
    Slots,
    /// A write is sent, lost, called off and sent again; reports come at once.
    Writes,
}

struct Small(Without, Part);

impl Small {
    /// How many reports members make.
    fn reports(&self) -> u8 {
        if self.1 == Part::Slots { 3 } else { 1 }
    }

    fn holder(&self, w: &World) -> Option<usize> {
        match self.0 {
            Without::Terms => w.naive.map(|(_, member)| member),
            _ => w.tenure.primary(0),
        }
    }

    fn hear(&self, w: &mut World, report: Report, answered: Option<u8>) {
        let role = if report.primary { Role::Primary } else { Role::Replica };
        let not_before = answered.unwrap_or(report.made);
        let claim = Claim { role, made_at: at(report.made), not_before: at(not_before) };
        let before = self.holder(w);
        w.tenure.observe(at(w.step), report.from, Some(claim), answered.is_some());
        if report.primary {
            w.claimed[report.from] = w.claimed[report.from].max((report.made, report.term));
            w.naive = w.naive.max(Some((report.made, report.from)));
        }
        self.settle(w, before);
    }

    fn settle(&self, w: &mut World, before: Option<usize>) {
        w.tenure.apply_rules(at(w.step), 0, usize::from(w.fate.in_flight().is_some()));
        w.tenure.take_changes();
        if let Some(holder) = self.holder(w).filter(|&holder| before != Some(holder)) {
            let term = w.claimed[holder].1;
            w.old_slot |= term < w.best;
            w.best = w.best.max(term);
        }
    }

    fn bars(&self, w: &World, to: Target) -> Option<Barred> {
        let bars = w.fate.blocked_at(at(w.step), SENDS, to);
        bars.filter(|bars| match self.0 {
            Without::Window => *bars != Barred::WindowOver,
            Without::Turns => *bars != Barred::IsOut,
            _ => true,
        })
    }

    fn place(&self, w: &World, member: usize) -> Target {
        Target { member, group: 0, zone: 0, term: w.tenure.term(0) }
    }
}

impl Model for Small {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut tenure = PrimaryTracker::default();
        for member in 0..2 {
            tenure.add_member(member, 0);
            let role = if member == 0 { Role::Primary } else { Role::Replica };
            tenure.observe(at(0), member, Some(Claim::at(role, at(0))), false);
        }
        tenure.apply_rules(at(0), 0, 0);
        tenure.take_changes();
        let window = STEP * u32::from(WINDOW);
        vec![World {
            step: 0,
            term: 1,
            primary: 0,
            hung: [false; 2],
            hung_at: 0,
            believes: [1, 0],
            woke: [0; 2],
            hangs: 0,
            queued: Vec::new(),
            ran: Vec::new(),
            runs: 0,
            reports: Vec::new(),
            reported: 0,
            answer: None,
            tenure,
            naive: Some((0, 0)),
            fate: SubmissionHistory::new(Effect::Referenced { window, scope: Scope::Group }),
            out: 0,
            told: None,
            answers: 0,
            claimed: [(0, 1), (0, 0)],
            best: 1,
            old_slot: false,
            late: false,
            two_out: false,
            after_answer: false,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        let stale = |m: usize| w.believes[m] > 0 && w.primary != m && !w.hung[m];
        // Who wakes learns of its successor within a step.
        if w.step < EXPIRY && !(0..2).any(|m| stale(m) && w.woke[m] < w.step) {
            acts.push(Act::Step);
        }
        for m in 0..2 {
            if w.hung[m] {
                acts.push(Act::Wake(m));
            } else {
                if w.hangs < 1 && w.primary == m {
                    acts.push(Act::Hang(m));
                }
                if stale(m) {
                    acts.push(Act::Learn(m));
                }
                if w.reported < self.reports() {
                    acts.push(Act::Report(m));
                }
                if w.queued.iter().any(|&(member, _)| member == m) && w.answer.is_none() {
                    acts.push(Act::Run(m));
                }
            }
        }
        let next = 1 - w.primary;
        if w.hung[w.primary] && w.step >= w.hung_at + ELECTION && !w.hung[next] {
            acts.extend([Act::Elect { keeps: true }, Act::Elect { keeps: false }]);
        }
        for i in 0..w.reports.len() {
            // One that never comes is one that is lost.
            acts.push(Act::Deliver(i));
        }
        if let Some(holder) = self.holder(w) {
            if w.hung[holder] {
                acts.push(Act::Doubt(holder));
            }
            let writes = self.1 == Part::Writes && w.told.is_none();
            if writes && self.bars(w, self.place(w, holder)).is_none() {
                acts.push(Act::Submit);
            }
        }
        if w.answer.is_some() {
            acts.extend([Act::AnswerComes, Act::AnswerLost]);
        }
        if w.fate.in_flight().is_some() && w.answer.is_none() {
            acts.push(Act::CallOff);
        }
        if self.1 == Part::Writes && w.told.is_none() && w.fate.in_flight().is_none() {
            acts.push(Act::GiveUp);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        let before = self.holder(&w);
        match act {
            Act::Step => w.step += 1,
            Act::Hang(m) => (w.hung[m], w.hung_at, w.hangs) = (true, w.step, w.hangs + 1),
            Act::Wake(m) => (w.hung[m], w.woke[m]) = (false, w.step),
            Act::Learn(m) => w.believes[m] = 0,
            Act::Elect { keeps } => {
                if !keeps {
                    w.ran.clear();
                }
                w.term += 1;
                w.primary = 1 - w.primary;
                w.believes[w.primary] = w.term;
            }
            Act::Report(m) => {
                let primary = w.believes[m] > 0;
                let report = Report { from: m, primary, made: w.step, term: w.believes[m] };
                w.reported += 1;
                match self.1 {
                    Part::Slots => w.reports.push(report),
                    Part::Writes => self.hear(&mut w, report, None),
                }
            }
            Act::Deliver(i) => {
                let report = w.reports.remove(i);
                self.hear(&mut w, report, None);
            }
            Act::Doubt(m) => {
                w.tenure.invalidate_claims(at(w.step), m);
                self.settle(&mut w, before);
            }
            Act::Submit => {
                let holder = before?;
                let place = self.place(&w, holder);
                let ends = w.fate.window_end();
                w.late |= ends.is_some_and(|ends| at(w.step) >= ends);
                w.two_out |= w.out > 0;
                w.after_answer |= w.told.is_some();
                if w.out == 0 {
                    w.fate.sent(at(w.step), place);
                }
                w.out += 1;
                w.queued.push((holder, w.step));
                if w.out > 2 || w.queued.len() > 3 {
                    return None;
                }
            }
            Act::Run(m) => {
                let found = w.queued.iter().position(|&(member, _)| member == m)?;
                let (_, came) = w.queued.remove(found);
                let ending = match () {
                    () if w.believes[m] == 0 => AttemptOutcome::Misplaced,
                    () if w.primary != m => AttemptOutcome::Errored,
                    () => {
                        if !w.ran.iter().any(|ran| ran + WINDOW > came) {
                            w.ran.push(w.step);
                            w.runs += 1;
                        }
                        AttemptOutcome::Committed
                    }
                };
                if w.fate.in_flight().is_some_and(|out| out.target.member == m) {
                    w.answer = Some((m, ending));
                }
            }
            Act::AnswerComes => {
                let (m, ending) = w.answer.take()?;
                let sent = w.fate.ended(ending)?;
                w.out = 0;
                let sent = ((sent.sent_at - START).as_millis() / STEP.as_millis()) as u8;
                let (primary, term) = (w.believes[m] > 0, w.believes[m]);
                let made = w.step;
                self.hear(&mut w, Report { from: m, primary, made, term }, Some(sent));
                if ending == AttemptOutcome::Committed && w.told.is_none() {
                    (w.told, w.answers) = (Some(Answer::Committed), w.answers + 1);
                }
            }
            Act::AnswerLost => {
                w.answer = None;
                w.fate.ended(AttemptOutcome::Dropped);
                w.out = 0;
            }
            Act::CallOff => {
                w.fate.ended(AttemptOutcome::Cancelled);
                w.out = 0;
            }
            Act::GiveUp => {
                let told = match w.fate.final_answer() {
                    FinalAnswer::Decline => Answer::Declined,
                    _ if self.0 == Without::Truth => Answer::Declined,
                    _ => Answer::Unknown,
                };
                (w.told, w.answers) = (Some(told), w.answers + 1);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no slot for an old term", |_, w: &World| !w.old_slot),
            Property::always("never again past the window", |_, w: &World| !w.late),
            Property::always("one submission out", |_, w: &World| !w.two_out),
            Property::always("one answer and nothing after", |_, w: &World| {
                w.answers <= 1 && !w.after_answer
            }),
            Property::always("no effect twice", |_, w: &World| w.ran.len() <= 1),
            Property::always("answers are true", |_, w: &World| {
                w.told != Some(Answer::Declined) || w.runs == 0
            }),
            Property::sometimes("a write outlives its primary", |_, w: &World| {
                w.told == Some(Answer::Committed) && w.term == 2 && w.primary == 1
            }),
        ]
    }
}

/// Visits every state, or goes on until it has seen the rule break that is named.
fn check(without: Without, part: Part, until: Option<&'static str>) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let mut checker = Small(without, part).checker().threads(threads);
    if let Some(rule) = until {
        checker = checker.finish_when(HasDiscoveries::AllOf([rule].into()));
    }
    let checker = checker.spawn_bfs().join();
    let found = checker.discoveries().into_keys().collect();
    (checker.unique_state_count(), found)
}

#[test]
fn every_interleaving_keeps_the_rules() {
    for (part, least) in [(Part::Slots, 20_000), (Part::Writes, 20_000)] {
        let (states, mut found) = check(Without::Nothing, part, None);
        let outlives = found.iter().position(|name| *name == "a write outlives its primary");
        assert!(outlives.map(|at| found.remove(at)).is_some() || part == Part::Slots, "too small a world");
        assert!(found.is_empty(), "{part:?}: {found:?}");
        println!("{part:?}: {states} states");
        assert!(states > least, "{states} states are too few to mean anything");
    }
}

#[test]
fn without_its_guards_each_rule_breaks() {
    for (without, part, breaks) in [
        (Without::Terms, Part::Slots, "no slot for an old term"),
        (Without::Window, Part::Writes, "never again past the window"),
        (Without::Window, Part::Writes, "no effect twice"),
        (Without::Turns, Part::Writes, "one submission out"),
        (Without::Truth, Part::Writes, "answers are true"),
    ] {
        let (_, found) = check(without, part, Some(breaks));
        assert!(found.contains(&breaks), "{without:?} breaks nothing but {found:?}");
    }
}
