//! Model checker over all interleavings in a small system: a group of two members, one front and one referenced write.
//! The front uses the real `PrimaryTracker` and `SubmissionHistory`; the model holds the true state. Each guard is also
//! removed from the model's front, and the checker must then find the violation that it prevents.

use juniperdock_attempt_outcome::{
    AttemptOutcome, Blocked, Effect, FinalAnswer, Scope, SubmissionHistory, Target,
};
use juniperdock_primary_tracker::{Claim, PrimaryTracker, Role};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::time::Duration;

/// One step of the model's clock: half of `FENCE`.
const STEP: Duration = Duration::from_millis(500);
const START: Duration = Duration::from_secs(10);
/// In steps: how long marks are remembered, when the write expires, and how long an election takes.
const WINDOW: u8 = 2;
const EXPIRY: u8 = 5;
const ELECTION: u8 = 3;
const SENDS: u32 = 2;

fn at(step: u8) -> Duration {
    START + STEP * u32::from(step)
}

/// Guards that can be removed from the model's front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MissingGuard {
    Nothing,
    /// The newest claim always becomes the primary, whichever member makes it.
    Fencing,
    Window,
    /// A second submission is sent while one is in flight.
    SingleInFlight,
    /// A write that may have run is declined.
    TrueAnswers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    from: usize,
    primary: bool,
    made: u8,
    /// The true term that the report refers to.
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
    // The true state.
    term: u8,
    primary: usize,
    hung: [bool; 2],
    hung_at: u8,
    /// The term in which a member takes itself for the primary; 0 if it does not.
    claimed_term: [u8; 2],
    woke_at: [u8; 2],
    hangs: u8,
    /// Submissions that members have received, and when.
    queued: Vec<(usize, u8)>,
    /// When the write ran in the surviving branch, and how often it ran in all branches.
    ran: Vec<u8>,
    runs: u8,
    // Messages in flight to the front.
    reports: Vec<Report>,
    reported: u8,
    answer: Option<(usize, AttemptOutcome)>,
    // State of the front.
    tracker: PrimaryTracker,
    newest_claim: Option<(u8, usize)>,
    history: SubmissionHistory,
    out: u8,
    answered: Option<Answer>,
    answers: u8,
    /// The newest claim observed of each member with the term it refers to, and the highest term ever accepted.
    claimed: [(u8, u8); 2],
    highest_term: u8,
    // Violations that must never occur.
    old_term_accepted: bool,
    sent_after_window: bool,
    two_in_flight: bool,
    sent_after_answer: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Step,
    Hang(usize),
    Wake(usize),
    /// The other member takes over, with or without what ran last.
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
    CancelSubmission,
    GiveUp,
}

/// Which part of the model varies: with both parts there are too many states to visit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Reports are delayed, reordered or lost; nothing is written.
    PrimaryChanges,
    /// A write is sent, lost, cancelled and sent again; reports arrive at once.
    Writes,
}

struct SmallModel(MissingGuard, Part);

impl SmallModel {
    /// The number of reports that members make.
    fn reports(&self) -> u8 {
        if self.1 == Part::PrimaryChanges { 3 } else { 1 }
    }

    fn tracked_primary(&self, w: &World) -> Option<usize> {
        match self.0 {
            MissingGuard::Fencing => w.newest_claim.map(|(_, member)| member),
            _ => w.tracker.primary(0),
        }
    }

    fn observe(&self, w: &mut World, report: Report, answered: Option<u8>) {
        let role = if report.primary { Role::Primary } else { Role::Replica };
        let not_before = answered.unwrap_or(report.made);
        let claim = Claim { role, made_at: at(report.made), not_before: at(not_before) };
        let before = self.tracked_primary(w);
        w.tracker.observe(at(w.step), report.from, Some(claim), answered.is_some());
        if report.primary {
            w.claimed[report.from] = w.claimed[report.from].max((report.made, report.term));
            w.newest_claim = w.newest_claim.max(Some((report.made, report.from)));
        }
        self.settle(w, before);
    }

    fn settle(&self, w: &mut World, before: Option<usize>) {
        w.tracker.apply_rules(at(w.step), 0, usize::from(w.history.in_flight().is_some()));
        w.tracker.take_changes();
        if let Some(tracked_primary) =
            self.tracked_primary(w).filter(|&tracked_primary| before != Some(tracked_primary))
        {
            let term = w.claimed[tracked_primary].1;
            w.old_term_accepted |= term < w.highest_term;
            w.highest_term = w.highest_term.max(term);
        }
    }

    fn blocked(&self, w: &World, to: Target) -> Option<Blocked> {
        let blocked = w.history.blocked_at(at(w.step), SENDS, to);
        blocked.filter(|blocked| match self.0 {
            MissingGuard::Window => *blocked != Blocked::WindowExpired,
            MissingGuard::SingleInFlight => *blocked != Blocked::InFlight,
            _ => true,
        })
    }

    fn target(&self, w: &World, member: usize) -> Target {
        Target { member, group: 0, zone: 0, term: w.tracker.term(0) }
    }
}

impl Model for SmallModel {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let mut tracker = PrimaryTracker::default();
        for member in 0..2 {
            tracker.add_member(member, 0);
            let role = if member == 0 { Role::Primary } else { Role::Replica };
            tracker.observe(at(0), member, Some(Claim::at(role, at(0))), false);
        }
        tracker.apply_rules(at(0), 0, 0);
        tracker.take_changes();
        let window = STEP * u32::from(WINDOW);
        vec![World {
            step: 0,
            term: 1,
            primary: 0,
            hung: [false; 2],
            hung_at: 0,
            claimed_term: [1, 0],
            woke_at: [0; 2],
            hangs: 0,
            queued: Vec::new(),
            ran: Vec::new(),
            runs: 0,
            reports: Vec::new(),
            reported: 0,
            answer: None,
            tracker,
            newest_claim: Some((0, 0)),
            history: SubmissionHistory::new(Effect::Referenced { window, scope: Scope::Group }),
            out: 0,
            answered: None,
            answers: 0,
            claimed: [(0, 1), (0, 0)],
            highest_term: 1,
            old_term_accepted: false,
            sent_after_window: false,
            two_in_flight: false,
            sent_after_answer: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        let stale = |m: usize| w.claimed_term[m] > 0 && w.primary != m && !w.hung[m];
        // A member that resumes learns of its successor within a step.
        if w.step < EXPIRY && !(0..2).any(|m| stale(m) && w.woke_at[m] < w.step) {
            actions.push(Action::Step);
        }
        for m in 0..2 {
            if w.hung[m] {
                actions.push(Action::Wake(m));
            } else {
                if w.hangs < 1 && w.primary == m {
                    actions.push(Action::Hang(m));
                }
                if stale(m) {
                    actions.push(Action::Learn(m));
                }
                if w.reported < self.reports() {
                    actions.push(Action::Report(m));
                }
                if w.queued.iter().any(|&(member, _)| member == m) && w.answer.is_none() {
                    actions.push(Action::Run(m));
                }
            }
        }
        let next = 1 - w.primary;
        if w.hung[w.primary] && w.step >= w.hung_at + ELECTION && !w.hung[next] {
            actions.extend([Action::Elect { keeps: true }, Action::Elect { keeps: false }]);
        }
        for i in 0..w.reports.len() {
            // A report that is never delivered is a lost one.
            actions.push(Action::Deliver(i));
        }
        if let Some(tracked_primary) = self.tracked_primary(w) {
            if w.hung[tracked_primary] {
                actions.push(Action::Doubt(tracked_primary));
            }
            let writes = self.1 == Part::Writes && w.answered.is_none();
            if writes && self.blocked(w, self.target(w, tracked_primary)).is_none() {
                actions.push(Action::Submit);
            }
        }
        if w.answer.is_some() {
            actions.extend([Action::AnswerComes, Action::AnswerLost]);
        }
        if w.history.in_flight().is_some() && w.answer.is_none() {
            actions.push(Action::CancelSubmission);
        }
        if self.1 == Part::Writes && w.answered.is_none() && w.history.in_flight().is_none() {
            actions.push(Action::GiveUp);
        }
    }

    fn next_state(&self, last: &World, act: Action) -> Option<World> {
        let mut w = last.clone();
        let before = self.tracked_primary(&w);
        match act {
            Action::Step => w.step += 1,
            Action::Hang(m) => (w.hung[m], w.hung_at, w.hangs) = (true, w.step, w.hangs + 1),
            Action::Wake(m) => (w.hung[m], w.woke_at[m]) = (false, w.step),
            Action::Learn(m) => w.claimed_term[m] = 0,
            Action::Elect { keeps } => {
                if !keeps {
                    w.ran.clear();
                }
                w.term += 1;
                w.primary = 1 - w.primary;
                w.claimed_term[w.primary] = w.term;
            }
            Action::Report(m) => {
                let primary = w.claimed_term[m] > 0;
                let report = Report { from: m, primary, made: w.step, term: w.claimed_term[m] };
                w.reported += 1;
                match self.1 {
                    Part::PrimaryChanges => w.reports.push(report),
                    Part::Writes => self.observe(&mut w, report, None),
                }
            }
            Action::Deliver(i) => {
                let report = w.reports.remove(i);
                self.observe(&mut w, report, None);
            }
            Action::Doubt(m) => {
                w.tracker.invalidate_claims(at(w.step), m);
                self.settle(&mut w, before);
            }
            Action::Submit => {
                let tracked_primary = before?;
                let target = self.target(&w, tracked_primary);
                let ends = w.history.window_end();
                w.sent_after_window |= ends.is_some_and(|ends| at(w.step) >= ends);
                w.two_in_flight |= w.out > 0;
                w.sent_after_answer |= w.answered.is_some();
                if w.out == 0 {
                    w.history.sent(at(w.step), target);
                }
                w.out += 1;
                w.queued.push((tracked_primary, w.step));
                if w.out > 2 || w.queued.len() > 3 {
                    return None;
                }
            }
            Action::Run(m) => {
                let found = w.queued.iter().position(|&(member, _)| member == m)?;
                let (_, came) = w.queued.remove(found);
                let outcome = match () {
                    () if w.claimed_term[m] == 0 => AttemptOutcome::Misplaced,
                    () if w.primary != m => AttemptOutcome::Errored,
                    () => {
                        if !w.ran.iter().any(|ran| ran + WINDOW > came) {
                            w.ran.push(w.step);
                            w.runs += 1;
                        }
                        AttemptOutcome::Committed
                    }
                };
                if w.history.in_flight().is_some_and(|out| out.target.member == m) {
                    w.answer = Some((m, outcome));
                }
            }
            Action::AnswerComes => {
                let (m, outcome) = w.answer.take()?;
                let sent = w.history.ended(outcome)?;
                w.out = 0;
                let sent = ((sent.sent_at - START).as_millis() / STEP.as_millis()) as u8;
                let (primary, term) = (w.claimed_term[m] > 0, w.claimed_term[m]);
                let made = w.step;
                self.observe(&mut w, Report { from: m, primary, made, term }, Some(sent));
                if outcome == AttemptOutcome::Committed && w.answered.is_none() {
                    (w.answered, w.answers) = (Some(Answer::Committed), w.answers + 1);
                }
            }
            Action::AnswerLost => {
                w.answer = None;
                w.history.ended(AttemptOutcome::Dropped);
                w.out = 0;
            }
            Action::CancelSubmission => {
                w.history.ended(AttemptOutcome::Cancelled);
                w.out = 0;
            }
            Action::GiveUp => {
                let answered = match w.history.final_answer() {
                    FinalAnswer::Decline => Answer::Declined,
                    _ if self.0 == MissingGuard::TrueAnswers => Answer::Declined,
                    _ => Answer::Unknown,
                };
                (w.answered, w.answers) = (Some(answered), w.answers + 1);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no primary of an old term", |_, w: &World| !w.old_term_accepted),
            Property::always("no resend after the window", |_, w: &World| !w.sent_after_window),
            Property::always("one submission in flight", |_, w: &World| !w.two_in_flight),
            Property::always("one answer and nothing sent after it", |_, w: &World| {
                w.answers <= 1 && !w.sent_after_answer
            }),
            Property::always("no second effect", |_, w: &World| w.ran.len() <= 1),
            Property::always("answers are true", |_, w: &World| {
                w.answered != Some(Answer::Declined) || w.runs == 0
            }),
            Property::sometimes("a write commits after a failover", |_, w: &World| {
                w.answered == Some(Answer::Committed) && w.term == 2 && w.primary == 1
            }),
        ]
    }
}

/// Visits every state, or, if a property is named, continues until that one is violated.
fn check(missing: MissingGuard, part: Part, until: Option<&'static str>) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let mut checker = SmallModel(missing, part).checker().threads(threads);
    if let Some(rule) = until {
        checker = checker.finish_when(HasDiscoveries::AllOf([rule].into()));
    }
    let checker = checker.spawn_bfs().join();
    let found = checker.discoveries().into_keys().collect();
    (checker.unique_state_count(), found)
}

#[test]
fn all_properties_hold_in_every_interleaving() {
    for (part, min_states) in [(Part::PrimaryChanges, 20_000), (Part::Writes, 20_000)] {
        let (states, mut found) = check(MissingGuard::Nothing, part, None);
        let commit_after_failover = found.iter().position(|name| *name == "a write commits after a failover");
        assert!(
            commit_after_failover.map(|at| found.remove(at)).is_some() || part == Part::PrimaryChanges,
            "the model never commits a write after a failover"
        );
        assert!(found.is_empty(), "{part:?}: {found:?}");
        println!("{part:?}: {states} states");
        assert!(states > min_states, "{states} states are too few to be meaningful");
    }
}

#[test]
fn removing_a_guard_violates_its_property() {
    for (missing, part, violates) in [
        (MissingGuard::Fencing, Part::PrimaryChanges, "no primary of an old term"),
        (MissingGuard::Window, Part::Writes, "no resend after the window"),
        (MissingGuard::Window, Part::Writes, "no second effect"),
        (MissingGuard::SingleInFlight, Part::Writes, "one submission in flight"),
        (MissingGuard::TrueAnswers, Part::Writes, "answers are true"),
    ] {
        let (_, found) = check(missing, part, Some(violates));
        assert!(found.contains(&violates), "{missing:?} does not violate {violates:?}, only {found:?}");
    }
}
