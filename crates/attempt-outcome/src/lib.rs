//! What became of a txn's submissions. From this record alone follow whether it may be sent again, which
//! stores may take it, and which final answers are true. No input or output.
//!
//! A submission ends in one of three ways: it *ran*, it *never ran*, or it *may have run*. What may have run
//! stays so: a later submission that never ran takes nothing back. The window in which stores know a repeat
//! of a referenced txn by its mark counts from the first submission that may have run, from when it was sent.
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
    /// A repeat is known by its mark within the window, among the members of the scope.
    Referenced {
        window: Duration,
        scope: Scope,
    },
    OnceOnly,
}

/// Which members drop the repeats of a referenced txn.
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
    /// An error from the member; it may have had an effect.
    Errored,
    /// No member could use such a statement; the client has this as its answer.
    Invalid,
    /// An answer came that can't be made out. It may have had an effect; the member lives.
    Spoilt,
    /// Turned away unseen.
    Full,
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke while the submission was out.
    Dropped,
    Cancelled,
    /// It was never sent.
    Moot,
    /// Turned away untouched: wrong role, or too far behind.
    Misplaced,
}

impl AttemptOutcome {
    /// Whether this ending proves that nothing ran.
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

/// Where a submission goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub member: usize,
    pub group: usize,
    pub zone: usize,
    /// The group's newest term when it was sent.
    pub term: u32,
}

/// A submission that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    pub sent_at: Duration,
    pub target: Target,
}

/// What is known of a txn's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EffectState {
    /// No submission, or none that reached a member.
    NeverRan,
    /// One is out, and none before it may have run.
    Submission,
    /// It may have run; a mark is remembered until the window ends.
    MayHaveRun,
    Ran,
}

/// Why a txn may not be sent now, or not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Blocked {
    /// One submission of a txn is out at a time.
    InFlight,
    /// It had as many submissions as are allowed.
    TooManySubmissions,
    /// It has run.
    Ran,
    /// It takes effect once only, and may have.
    OnceOnly,
    /// The stores no longer know its mark.
    WindowExpired,
    /// Stores there do not know its mark.
    OutOfScope,
}

/// The final answers that are true of a txn which no member has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// Trying again is harmless.
    Decline,
    /// Whether it took effect is not known.
    Unknown,
    /// It has run: nothing but its member's answer is true.
    Committed,
}

/// The record of one txn, from its arrival to its final answer.
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

    /// Why a submission may not go to that place now; `None` where it may. `max_submissions`: submissions in all.
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

    /// Why no submission may go anywhere now.
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

    /// Until when it may be sent again, where it may have run and its stores remember marks for a while only.
    pub fn window_end(&self) -> Option<Duration> {
        match (self.effect, self.first_possible_run) {
            (Effect::Referenced { window, .. }, Some(first_possible_run)) => {
                Some(first_possible_run.sent_at + window)
            }
            _ => None,
        }
    }

    /// Until when it could be sent again, should the submission that is out now turn out to be one that may
    /// have run. `None` where that would be its last.
    pub fn resendable_until(&self) -> Option<Duration> {
        match (self.effect, self.first_possible_run.or(self.in_flight)) {
            (Effect::Repeatable, _) | (_, None) => Some(Duration::MAX),
            (Effect::Referenced { window, .. }, Some(first_possible_run)) => {
                Some(first_possible_run.sent_at + window)
            }
            (Effect::OnceOnly, Some(_)) => None,
        }
    }

    /// A submission goes out. The caller has asked `bars`.
    pub fn sent(&mut self, now: Duration, target: Target) {
        debug_assert!(self.in_flight.is_none(), "one submission at a time");
        self.in_flight = Some(Submission { sent_at: now, target });
        self.submissions += 1;
    }

    /// The submission that was out has ended; gives what it was.
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

    /// Submissions so far.
    pub fn submissions(&self) -> u32 {
        self.submissions
    }

    /// No member has had it, as far as is known.
    pub fn none_may_have_run(&self) -> bool {
        self.first_possible_run.is_none()
    }

    pub fn state(&self) -> EffectState {
        match (self.first_possible_run, self.in_flight) {
            _ if self.ran => EffectState::Ran,
            (Some(_), _) => EffectState::MayHaveRun,
            (None, Some(_)) => EffectState::Submission,
            (None, None) => EffectState::NeverRan,
        }
    }

    /// The only final answer that is true now, if no member's answer is passed on.
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
