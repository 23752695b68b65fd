//! A test host: it records what the router requests, and a scenario passes the inputs to the router.
#![allow(dead_code)] // Not every test file uses all of it.

use juniperdock_router::host::*;
use juniperdock_router::routing::Router;
use std::time::Duration;

/// One action that the router has requested.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Sent(usize, usize),
    Cancelled(usize, u32),
    Declined(usize),
    Unknown(usize),
    Probed(usize),
    MemberReleased(usize),
    Subscribed,
}

/// Records all actions in order, and the retry delays of declined txns.
#[derive(Default)]
pub struct RecordingHost(pub Vec<Action>, pub Vec<Option<Duration>>);

impl Host for RecordingHost {
    fn send(&mut self, txn: usize, member: usize, _until: Duration) {
        self.0.push(Action::Sent(txn, member));
    }
    fn cancel(&mut self, txn: usize, submission: u32) {
        self.0.push(Action::Cancelled(txn, submission));
    }
    fn decline(&mut self, txn: usize, retry_after: Option<Duration>) {
        self.1.push(retry_after);
        self.0.push(Action::Declined(txn));
    }
    fn answer_unknown(&mut self, txn: usize) {
        self.0.push(Action::Unknown(txn));
    }
    fn release_txn(&mut self, _txn: usize) {}
    fn release_member(&mut self, member: usize) {
        self.0.push(Action::MemberReleased(member));
    }
    fn probe(&mut self, member: usize) {
        self.0.push(Action::Probed(member));
    }
    fn set_timer(&mut self, _at: Duration, _handle: u64) {}
    fn subscribe_to_member_list(&mut self) {
        self.0.push(Action::Subscribed);
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Txn types of the scenarios, by index.
pub const BOUNDED: usize = 0;
pub const LOOSE: usize = 1;
pub const ONCE_ONLY: usize = 2;
pub const REFERENCED: usize = 3;
pub const FRESH: usize = 4;
pub const SESSION: usize = 5;

/// A router with its host and a simulated clock.
pub struct Scenario {
    pub router: Router,
    pub host: RecordingHost,
    pub now: Duration,
    next: usize,
}

impl Scenario {
    /// One group with members 0 to 2, of which nothing is known yet.
    pub fn new() -> Self {
        Scenario::of(FrontInfo { index: 0, fronts: 2, zone: 0 })
    }

    /// As `new`, for a given front of a fleet.
    pub fn of(front_info: FrontInfo) -> Self {
        let kind = |effect, consistency| {
            let late_value = if matches!(consistency, Consistency::Bounded(_)) { 0.0 } else { 0.5 };
            TxnType { sla: ms(400), value: 1.0, late_value, effect, consistency }
        };
        let referenced = Effect::Referenced { window: ms(2000), scope: Scope::Group };
        let types = vec![
            kind(Effect::Repeatable, Consistency::Bounded(ms(300))),
            kind(Effect::Repeatable, Consistency::Loose),
            kind(Effect::OnceOnly, Consistency::Write),
            kind(referenced, Consistency::Write),
            kind(Effect::Repeatable, Consistency::Fresh),
            kind(Effect::Repeatable, Consistency::Session),
        ];
        let cold = ColdStart { share: 0.2, warm_up: ms(10_000), multiple: 2.5, window: ms(1500) };
        let mut router = Router::new(7 + front_info.index as u64, front_info, types, cold);
        router.set_max_submissions(6);
        router.allow_cancelling();
        router.set_max_retry_after(ms(500));
        let mut scenario = Scenario { router, host: RecordingHost::default(), now: ms(1000), next: 0 };
        for member in 0..3 {
            scenario.list(member, ListedState::Up, None);
        }
        scenario
    }

    /// As `new`, with member 0 as the primary and current reports from all members.
    pub fn with_primary() -> Self {
        let mut scenario = Scenario::new();
        scenario.report_all(0);
        scenario
    }

    pub fn list(&mut self, member: usize, state: ListedState, up_for: Option<Duration>) {
        let told = |up_for: Duration| self.now.as_micros() as i64 - up_for.as_micros() as i64;
        let start = up_for.map(|up_for| ListedStart { told: told(up_for), up_for });
        self.list_started(member, state, start);
    }

    pub fn list_started(&mut self, member: usize, state: ListedState, start: Option<ListedStart>) {
        self.router.member_listed(self.now, member, 0, 0, state, false, start);
        self.router.list_completed(self.now, None, &mut self.host);
    }

    pub fn report(&mut self, member: usize, role: Role, position: Duration) {
        let report = Report { position: Some(position), role: Some(role), ..Report::default() };
        self.router.probe_ended(self.now, member, AttemptOutcome::Committed, report, &mut self.host);
    }

    pub fn report_all(&mut self, primary: usize) {
        for member in 0..3 {
            let role = if member == primary { Role::Primary } else { Role::Replica };
            self.report(member, role, self.now);
        }
    }

    pub fn arrive(&mut self, kind: usize, left: u64) -> usize {
        self.arrive_retry(kind, left, false)
    }

    pub fn arrive_retry(&mut self, kind: usize, left: u64, retried: bool) -> usize {
        self.next += 1;
        let (now, txn) = (self.now, self.next);
        self.router.txn_arrived(
            now,
            txn,
            kind,
            0,
            ms(left),
            retried,
            None,
            None,
            SessionWrite::Untold,
            100,
            &mut self.host,
        );
        txn
    }

    /// A txn of a session whose clients do not send the age of its last write.
    pub fn arrive_in_session(&mut self, session: u64, kind: usize, left: u64) -> usize {
        self.next += 1;
        let (now, txn, session) = (self.now, self.next, Some(session));
        let host = &mut self.host;
        self.router.txn_arrived(
            now,
            txn,
            kind,
            0,
            ms(left),
            false,
            None,
            session,
            SessionWrite::Untold,
            100,
            host,
        );
        txn
    }

    /// An answer with its member's role and, if given, its position.
    pub fn end_with_report(
        &mut self,
        txn: usize,
        member: usize,
        outcome: AttemptOutcome,
        role: Role,
        at: Option<Duration>,
    ) {
        let (over, now, host) = (outcome == AttemptOutcome::Committed, self.now, &mut self.host);
        self.router.submission_ended(now, txn, over, member, outcome, Some(role), at, ms(1), host);
    }

    pub fn end(&mut self, txn: usize, member: usize, outcome: AttemptOutcome, took: u64) {
        let over = outcome == AttemptOutcome::Committed;
        let (now, took) = (self.now, ms(took));
        self.router.submission_ended(now, txn, over, member, outcome, None, None, took, &mut self.host);
    }

    /// Advances the clock, then fires the timers of the group and of the txn.
    pub fn advance(&mut self, span: u64, txn: usize) {
        self.now += ms(span);
        self.router.timer_fired(self.now, 2, &mut self.host);
        self.router.timer_fired(self.now, txn as u64 * 2 + 1, &mut self.host);
    }

    pub fn recorded(&self, act: &Action) -> bool {
        self.host.0.contains(act)
    }

    /// The members to which the txn was sent, in order.
    pub fn sent_to(&self, txn: usize) -> Vec<usize> {
        let sent = |act: &Action| if let Action::Sent(t, m) = act { (*t == txn).then_some(*m) } else { None };
        self.host.0.iter().filter_map(sent).collect()
    }
}
