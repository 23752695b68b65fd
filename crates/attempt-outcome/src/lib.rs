//! What is known of a txn's submissions. From this record follow whether the txn may be sent again, which members may
//! get it, and which final answers are true. No I/O.
//!
//! A submission ends in one of three ways: it *ran*, it *never ran*, or it *may have run*. If one may have run, this
//! does not change when a later submission never ran. The deduplication window of a referenced txn, in which stores
//! recognise a repeat by its mark, starts when the first submission that may have run was sent.
//!
//! ```
//! use juniperdock_attempt_outcome::{Effect, AttemptOutcome, SubmissionHistory, Target, FinalAnswer};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let mut history = SubmissionHistory::new(Effect::OnceOnly);
//! let target = Target { member: 0, group: 7, zone: 0, term: 1 };
//! assert_eq!(history.blocked_at(ms(5), 3, target), None);
//! history.sent(ms(5), target);
//! assert_eq!(history.final_answer(), FinalAnswer::Unknown);
//! history.ended(AttemptOutcome::Full);
//! assert_eq!((history.blocked_at(ms(9), 3, target), history.final_answer()), (None, FinalAnswer::Decline));
//! history.sent(ms(9), target);
//! history.ended(AttemptOutcome::Dropped);
//! assert!(history.blocked_at(ms(12), 3, target).is_some());
//! assert_eq!(history.final_answer(), FinalAnswer::Unknown);
//! ```

use std::time::Duration;

/// How often a txn may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Repeatable,
    /// Repeats within the window are recognised by their mark and dropped by the members in the scope.
    Referenced {
        window: Duration,
        scope: Scope,
    },
    OnceOnly,
}

/// The members that drop repeats of a referenced txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    Everywhere,
    Zone,
    Group,
}

/// How a submission or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    Committed,
    /// The member answered with an error; the submission may have had an effect.
    Errored,
    /// The statement is invalid at any member; the client gets this as its answer.
    Invalid,
    /// The answer could not be parsed. The submission may have had an effect; the member is alive.
    Spoilt,
    /// The member was full and refused it unread.
    Full,
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke while the submission was in flight.
    Dropped,
    Cancelled,
    /// It was never sent.
    Moot,
    /// The member refused it without executing it: wrong role, or too far behind.
    Misplaced,
}

impl AttemptOutcome {
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Full
                | AttemptOutcome::Unreachable
                | AttemptOutcome::Moot
                | AttemptOutcome::Misplaced
        )
    }
}

/// How far the bytes of a submission have got. A member begins with a submission once its last byte has arrived there,
/// which may be long after the operating system took that byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteProgress {
    /// Nothing has been written.
    NotBegun,
    /// The first byte has been written; the last one has not been handed to the operating system.
    Partial,
    /// All of it has been handed to the operating system, which may still hold it.
    HandedOver,
    /// It has arrived, or it never will: nothing can be withheld any more.
    Settled,
}

/// Where a submission goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub member: usize,
    pub group: usize,
    pub zone: usize,
    /// The group's newest term when the submission was sent.
    pub term: u32,
}

/// A submission in flight, or one that was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    pub sent_at: Duration,
    pub target: Target,
}

/// What is known of a txn's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EffectState {
    /// There was no submission, or none that may have run.
    NeverRan,
    /// A submission is in flight, and none before it may have run.
    InFlight,
    /// A submission may have run; the mark of a referenced txn is remembered until its window ends.
    MayHaveRun,
    Ran,
}

/// Why a txn may not be sent now, or not to this target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Blocked {
    /// Only one submission of a txn may be in flight at a time.
    InFlight,
    /// It has used up the allowed number of submissions.
    TooManySubmissions,
    /// It has run.
    Ran,
    /// It may take effect only once, and may have done so.
    OnceOnly,
    /// Stores no longer remember its mark.
    WindowExpired,
    /// The target is outside the scope in which its mark is known.
    OutOfScope,
}

/// The final answers that are true for a txn which no member has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// It has not run, or repeating it is harmless: the client may retry.
    Decline,
    /// It is not known whether the txn took effect.
    Unknown,
    /// It has run: only the member's own answer is true.
    Committed,
}

/// The submissions of one txn, from its arrival to its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionHistory {
    effect: Effect,
    in_flight: Option<Submission>,
    /// The first submission that may have run.
    first_possible_run: Option<Submission>,
    submissions: u32,
    ran: bool,
}

impl SubmissionHistory {
    pub fn new(effect: Effect) -> SubmissionHistory {
        SubmissionHistory { effect, in_flight: None, first_possible_run: None, submissions: 0, ran: false }
    }

    /// Why a submission may not go to this target now; `None` if it may. `max_submissions` limits submissions in total.
    pub fn blocked_at(&self, now: Duration, max_submissions: u32, target: Target) -> Option<Blocked> {
        self.blocked_everywhere(now, max_submissions).or_else(|| {
            let Effect::Referenced { scope, .. } = self.effect else { return None };
            let first_possible_run = self.first_possible_run?.target;
            let inside = match scope {
                Scope::Everywhere => true,
                Scope::Zone => first_possible_run.zone == target.zone,
                Scope::Group => first_possible_run.group == target.group,
            };
            (!inside).then_some(Blocked::OutOfScope)
        })
    }

    /// Why no submission may go to any target now.
    pub fn blocked_everywhere(&self, now: Duration, max_submissions: u32) -> Option<Blocked> {
        match self.effect {
            _ if self.in_flight.is_some() => Some(Blocked::InFlight),
            _ if self.submissions >= max_submissions => Some(Blocked::TooManySubmissions),
            _ if self.ran => Some(Blocked::Ran),
            Effect::OnceOnly if self.first_possible_run.is_some() => Some(Blocked::OnceOnly),
            Effect::Referenced { .. } if self.window_end().is_some_and(|ends| now >= ends) => {
                Some(Blocked::WindowExpired)
            }
            _ => None,
        }
    }

    /// Until when a txn that may have run may be sent again, if stores remember its mark for a limited time only.
    pub fn window_end(&self) -> Option<Duration> {
        match (self.effect, self.first_possible_run) {
            (Effect::Referenced { window, .. }, Some(first_possible_run)) => {
                Some(first_possible_run.sent_at + window)
            }
            _ => None,
        }
    }

    /// Until when the txn could be sent again if the submission in flight turned out to be one that may have run.
    /// `None` if it could not be sent again at all.
    pub fn resendable_until(&self) -> Option<Duration> {
        match (self.effect, self.first_possible_run.or(self.in_flight)) {
            (Effect::Repeatable, _) | (_, None) => Some(Duration::MAX),
            (Effect::Referenced { window, .. }, Some(first_possible_run)) => {
                Some(first_possible_run.sent_at + window)
            }
            (Effect::OnceOnly, Some(_)) => None,
        }
    }

    /// Records that a submission was sent. The caller has checked `blocked_at`.
    pub fn sent(&mut self, now: Duration, target: Target) {
        debug_assert!(self.in_flight.is_none(), "one submission at a time");
        self.in_flight = Some(Submission { sent_at: now, target });
        self.submissions += 1;
    }

    /// Records the outcome of the submission in flight, and returns that submission.
    pub fn ended(&mut self, outcome: AttemptOutcome) -> Option<Submission> {
        let in_flight = self.in_flight.take()?;
        self.ran |= outcome == AttemptOutcome::Committed;
        if !outcome.never_ran() {
            self.first_possible_run.get_or_insert(in_flight);
        }
        Some(in_flight)
    }

    pub fn in_flight(&self) -> Option<&Submission> {
        self.in_flight.as_ref()
    }

    /// The number of submissions so far.
    pub fn submissions(&self) -> u32 {
        self.submissions
    }

    /// Whether no submission that has ended may have run.
    pub fn none_may_have_run(&self) -> bool {
        self.first_possible_run.is_none()
    }

    pub fn state(&self) -> EffectState {
        match (self.first_possible_run, self.in_flight) {
            _ if self.ran => EffectState::Ran,
            (Some(_), _) => EffectState::MayHaveRun,
            (None, Some(_)) => EffectState::InFlight,
            (None, None) => EffectState::NeverRan,
        }
    }

    /// The only final answer that is true now, unless a member's own answer is passed on.
    pub fn final_answer(&self) -> FinalAnswer {
        let harmless = match self.effect {
            Effect::Repeatable => true,
            Effect::Referenced { scope: Scope::Everywhere, .. } => true,
            Effect::Referenced { .. } | Effect::OnceOnly => {
                self.first_possible_run.is_none() && self.in_flight.is_none()
            }
        };
        match self.effect {
            Effect::Repeatable => FinalAnswer::Decline,
            _ if self.ran => FinalAnswer::Committed,
            _ if harmless => FinalAnswer::Decline,
            _ => FinalAnswer::Unknown,
        }
    }
}
