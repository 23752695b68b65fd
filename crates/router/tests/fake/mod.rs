//! One tiny host: it writes down what the router has done and lets a story hand in its inputs.
#![allow(dead_code)] // Not every file of stories uses all of it.

use juniperdock_router::host::*;
use juniperdock_router::routing::Router;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Sent(usize, usize),
    Cancelled(usize, u32),
    Declined(usize),
    Unknown(usize),
    Probed(usize),
    Forgotten(usize),
    Listened,
}

#[derive(Default)]
pub struct Acts(pub Vec<Act>, pub Vec<Option<Duration>>);

impl Host for Acts {
    fn send(&mut self, txn: usize, member: usize, _until: Duration) {
        self.0.push(Act::Sent(txn, member));
    }
    fn cancel(&mut self, txn: usize, submission: u32) {
        self.0.push(Act::Cancelled(txn, submission));
    }
    fn decline(&mut self, txn: usize, come_back: Option<Duration>) {
        self.1.push(come_back);
        self.0.push(Act::Declined(txn));
    }
    fn answer_unknown(&mut self, txn: usize) {
        self.0.push(Act::Unknown(txn));
    }
    fn release_txn(&mut self, _txn: usize) {}
    fn release_member(&mut self, member: usize) {
        self.0.push(Act::Forgotten(member));
    }
    fn probe(&mut self, member: usize) {
        self.0.push(Act::Probed(member));
    }
    fn set_timer(&mut self, _at: Duration, _handle: u64) {}
    fn subscribe_to_member_list(&mut self) {
        self.0.push(Act::Listened);
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Txn types of the stories, by index.
pub const READ: usize = 0;
pub const LOOSE: usize = 1;
pub const ONCE: usize = 2;
pub const MARKED: usize = 3;
pub const FRESH: usize = 4;
pub const SESSION: usize = 5;

pub struct Story {
    pub router: Router,
    pub host: Acts,
    pub now: Duration,
    next: usize,
}

impl Story {
    /// One group: members 0 to 2, of which nothing is known yet.
    pub fn new() -> Self {
        Story::of(FrontInfo { index: 0, fronts: 2, zone: 0 })
    }

    pub fn of(standing: FrontInfo) -> Self {
        let kind = |effect, consistency| {
            let late_value = if matches!(consistency, Consistency::Bounded(_)) { 0.0 } else { 0.5 };
            TxnType { sla: ms(400), value: 1.0, late_value, effect, consistency }
        };
        let marked = Effect::Referenced { window: ms(2000), scope: Scope::Group };
        let types = vec![
            kind(Effect::Repeatable, Consistency::Bounded(ms(300))),
            kind(Effect::Repeatable, Consistency::Loose),
            kind(Effect::OnceOnly, Consistency::Write),
            kind(marked, Consistency::Write),
            kind(Effect::Repeatable, Consistency::Fresh),
            kind(Effect::Repeatable, Consistency::Session),
        ];
        let cold = ColdStart { share: 0.2, warm_up: ms(10_000), multiple: 2.5, window: ms(1500) };
        let mut router = Router::new(7 + standing.index as u64, standing, types, cold);
        router.set_max_submissions(6);
        router.allow_cancelling();
        router.set_max_retry_after(ms(500));
        let mut story = Story { router, host: Acts::default(), now: ms(1000), next: 0 };
        for member in 0..3 {
            story.list(member, ListedState::Up, None);
        }
        story
    }

    /// As `new`, with member 0 as the writer and fresh reports from all.
    pub fn running() -> Self {
        let mut story = Story::new();
        story.report_all(0);
        story
    }

    pub fn list(&mut self, member: usize, state: ListedState, up_for: Option<Duration>) {
        self.router.member_listed(self.now, member, 0, 0, state, false, up_for);
        self.router.list_completed(self.now, None, &mut self.host);
    }

    pub fn report(&mut self, member: usize, role: Role, position: Duration) {
        let report = Report { position: Some(position), role: Some(role), ..Report::default() };
        self.router.probe_ended(self.now, member, AttemptOutcome::Committed, report, &mut self.host);
    }

    pub fn report_all(&mut self, writer: usize) {
        for member in 0..3 {
            let role = if member == writer { Role::Primary } else { Role::Replica };
            self.report(member, role, self.now);
        }
    }

    pub fn arrive(&mut self, kind: usize, left: u64) -> usize {
        self.arrive_again(kind, left, false)
    }

    pub fn arrive_again(&mut self, kind: usize, left: u64, retried: bool) -> usize {
        self.next += 1;
        let (now, txn) = (self.now, self.next);
        self.router.txn_arrived(now, txn, kind, 0, ms(left), retried, None, None, None, 100, &mut self.host);
        txn
    }

    /// A txn of a session whose clients do not carry what it has written.
    pub fn arrive_of(&mut self, session: u64, kind: usize, left: u64) -> usize {
        self.next += 1;
        let (now, txn, session) = (self.now, self.next, Some(session));
        let host = &mut self.host;
        self.router.txn_arrived(now, txn, kind, 0, ms(left), false, None, session, None, 100, host);
        txn
    }

    /// An answer that tells its member's role, and a position if there is one.
    pub fn told(
        &mut self,
        txn: usize,
        member: usize,
        ending: AttemptOutcome,
        role: Role,
        at: Option<Duration>,
    ) {
        let (over, now, host) = (ending == AttemptOutcome::Committed, self.now, &mut self.host);
        self.router.submission_ended(now, txn, over, member, ending, Some(role), at, ms(1), host);
    }

    pub fn end(&mut self, txn: usize, member: usize, ending: AttemptOutcome, took: u64) {
        let over = ending == AttemptOutcome::Committed;
        let (now, took) = (self.now, ms(took));
        self.router.submission_ended(now, txn, over, member, ending, None, None, took, &mut self.host);
    }

    /// Lets time pass; a reminder touches the group and the txn.
    pub fn wait(&mut self, span: u64, txn: usize) {
        self.now += ms(span);
        self.router.timer_fired(self.now, 2, &mut self.host);
        self.router.timer_fired(self.now, txn as u64 * 2 + 1, &mut self.host);
    }

    pub fn did(&self, act: &Act) -> bool {
        self.host.0.contains(act)
    }

    /// Where the txn was sent, in order.
    pub fn sends(&self, txn: usize) -> Vec<usize> {
        let sent = |act: &Act| if let Act::Sent(t, m) = act { (*t == txn).then_some(*m) } else { None };
        self.host.0.iter().filter_map(sent).collect()
    }
}
