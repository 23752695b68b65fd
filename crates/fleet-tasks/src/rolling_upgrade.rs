//! A rolling upgrade of the fleet, a few fronts at a time. The owner of the task follows the rules here and sends the
//! state to all fronts at each step, so that the next owner continues when this one is upgraded itself or dies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A front that is not back after this has failed.
const RETURN_TIMEOUT: Duration = Duration::from_secs(20);
/// Txns that are enough to judge a front, and how long to wait for them.
const ENOUGH_TXNS: u64 = 20;
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// How often the state is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Most concurrent upgrades. With this and the path's limit, the state fits into one datagram.
pub const MAX_CONCURRENT: usize = 4;
/// Longest path of a program, in bytes.
pub const MAX_PATH_BYTES: usize = 48;

/// How a rolling upgrade ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeOutcome {
    Done,
    CalledOff,
    /// That front did not come back in time.
    Missing(u16),
    /// That front could not be upgraded, and goes on with the old process.
    Failed(u16),
    /// That front is back, and less than half of its txns succeed.
    Falls(u16),
}

impl UpgradeOutcome {
    fn code(self) -> (u8, u16) {
        match self {
            UpgradeOutcome::Done => (1, 0),
            UpgradeOutcome::CalledOff => (2, 0),
            UpgradeOutcome::Missing(front) => (3, front),
            UpgradeOutcome::Failed(front) => (4, front),
            UpgradeOutcome::Falls(front) => (5, front),
        }
    }

    fn of(code: (u8, u16)) -> Option<Option<UpgradeOutcome>> {
        Some(match code {
            (0, _) => None,
            (1, _) => Some(UpgradeOutcome::Done),
            (2, _) => Some(UpgradeOutcome::CalledOff),
            (3, front) => Some(UpgradeOutcome::Missing(front)),
            (4, front) => Some(UpgradeOutcome::Failed(front)),
            (5, front) => Some(UpgradeOutcome::Falls(front)),
            _ => return None,
        })
    }
}

/// The state of a rolling upgrade that all fronts share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpgradeState {
    /// Later upgrades have higher numbers.
    pub number: u64,
    /// Counts the steps.
    pub step: u32,
    pub program: Option<String>,
    pub max_concurrent: usize,
    /// Fronts that have been upgraded.
    pub completed: BTreeSet<u16>,
    /// Fronts being upgraded, with their previous incarnations.
    pub upgrading: BTreeMap<u16, u32>,
    pub outcome: Option<UpgradeOutcome>,
}

/// What the owner sees of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontView {
    pub incarnation: u32,
    /// It reports that it hears a majority.
    pub has_majority: bool,
}

/// A front's report: txns that its process has committed and has not, and the last upgrade that failed there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontReport {
    pub committed: u64,
    pub failed: u64,
    pub failed_upgrade: u64,
}

/// What the owner is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeStep {
    /// Send the state to all fronts.
    Tell,
    /// Upgrade a front, if it is still in that incarnation.
    Upgrade(u16, u32),
    Ended(UpgradeOutcome),
}

impl UpgradeState {
    /// A new upgrade; fails if the path or the number of concurrent upgrades is out of bounds.
    pub fn new(number: u64, program: Option<&str>, max_concurrent: usize) -> Result<UpgradeState, String> {
        if program.is_some_and(|program| program.len() > MAX_PATH_BYTES) {
            return Err(format!("expected a program's path of at most {MAX_PATH_BYTES} bytes"));
        }
        if !(1..=MAX_CONCURRENT).contains(&max_concurrent) {
            return Err(format!("expected 1 to {MAX_CONCURRENT} fronts at once, found {max_concurrent}"));
        }
        Ok(UpgradeState {
            number,
            program: program.map(str::to_owned),
            max_concurrent,
            ..UpgradeState::default()
        })
    }

    /// The same upgrade, numbered above the newest known one. Its number comes from a wall clock, which may have been
    /// stepped back, and is only a hint.
    #[must_use]
    pub fn numbered_after(mut self, newest: &UpgradeState) -> UpgradeState {
        self.number = self.number.max(newest.number.saturating_add(1));
        self
    }

    /// Whether this is the newer of two states.
    pub fn supersedes(&self, other: &UpgradeState) -> bool {
        (self.number, self.step) > (other.number, other.step)
    }

    /// Whether it has begun and not ended.
    pub fn is_running(&self) -> bool {
        self.number > 0 && self.outcome.is_none()
    }

    /// Encodes the state; it fits into a datagram for clusters of up to 512 fronts.
    pub fn to_bytes(&self) -> Vec<u8> {
        let byte_count = self.completed.last().map_or(0, |&last| usize::from(last) / 8 + 1);
        let mut completed = vec![0u8; byte_count];
        self.completed.iter().for_each(|&front| completed[usize::from(front) / 8] |= 1 << (front % 8));
        let upgrading: Vec<(u16, u32)> =
            self.upgrading.iter().map(|(&front, &incarnation)| (front, incarnation)).collect();
        let outcome = self.outcome.map_or((0, 0), UpgradeOutcome::code);
        let max_concurrent = self.max_concurrent as u8;
        postcard::to_allocvec(&(
            self.number,
            self.step,
            max_concurrent,
            &self.program,
            completed,
            upgrading,
            outcome,
        ))
        .unwrap_or_default()
    }

    /// Decodes a state; none if it is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Option<UpgradeState> {
        type Encoded = (u64, u32, u8, Option<String>, Vec<u8>, Vec<(u16, u32)>, (u8, u16));
        let ((number, step, max_concurrent, program, bits, upgrading, outcome), _) =
            postcard::take_from_bytes::<Encoded>(bytes).ok()?;
        let set = |front: &u16| bits[usize::from(*front) / 8] & 1 << (front % 8) != 0;
        let completed = (0..bits.len() as u16 * 8).filter(set).collect();
        let (max_concurrent, upgrading) = (
            usize::from(max_concurrent).clamp(1, MAX_CONCURRENT),
            upgrading.into_iter().take(MAX_CONCURRENT).collect(),
        );
        Some(UpgradeState {
            number,
            step,
            program,
            max_concurrent,
            completed,
            upgrading,
            outcome: UpgradeOutcome::of(outcome)?,
        })
    }
}

/// The owner's part: what it has seen since it owns the task.
#[derive(Clone, Debug, Default)]
pub struct UpgradeCoordinator {
    started_at: BTreeMap<u16, Duration>,
    returned_at: BTreeMap<u16, Duration>,
    reports: BTreeMap<u16, FrontReport>,
    last_sent: Option<Duration>,
}

impl UpgradeCoordinator {
    /// Records a front's report of itself.
    pub fn record_report(&mut self, front: u16, report: FrontReport) {
        self.reports.insert(front, report);
    }

    /// The steps of the first rule that applies. `fronts`: the present fronts; `me`: this one, which goes last.
    pub fn next_steps(
        &mut self,
        now: Duration,
        me: u16,
        state: &mut UpgradeState,
        fronts: &BTreeMap<u16, FrontView>,
    ) -> Vec<UpgradeStep> {
        if !state.is_running() {
            return Vec::new();
        }
        for (&front, &incarnation) in &state.upgrading {
            let began = *self.started_at.entry(front).or_insert(now);
            // A front whose new process did not start goes on in its old incarnation.
            if self.reports.get(&front).is_some_and(|report| report.failed_upgrade == state.number) {
                return Self::finish(state, UpgradeOutcome::Failed(front));
            }
            let back =
                fronts.get(&front).filter(|fronts| fronts.incarnation > incarnation && fronts.has_majority);
            if back.is_none() {
                self.returned_at.remove(&front);
                if now > began + RETURN_TIMEOUT {
                    return Self::finish(state, UpgradeOutcome::Missing(front));
                }
                continue;
            }
            let returned = *self.returned_at.entry(front).or_insert(now);
            // A report from before the restart no longer counts.
            if returned == now {
                self.reports.remove(&front);
            }
            let Some(report) = self.reports.get(&front).copied() else {
                if now > began + RETURN_TIMEOUT {
                    return Self::finish(state, UpgradeOutcome::Missing(front));
                }
                continue;
            };
            let enough = report.committed + report.failed >= ENOUGH_TXNS;
            if enough && report.failed > report.committed {
                return Self::finish(state, UpgradeOutcome::Falls(front));
            }
            if enough || now >= returned + OBSERVATION_TIME {
                state.upgrading.remove(&front);
                state.completed.insert(front);
                state.step += 1;
                self.last_sent = Some(now);
                return vec![UpgradeStep::Tell];
            }
        }
        let is_waiting =
            |front: &&u16| !state.completed.contains(front) && !state.upgrading.contains_key(front);
        let mut next: Vec<u16> = fronts.keys().filter(is_waiting).copied().collect();
        next.sort_by_key(|&front| (front == me, front));
        if state.upgrading.len() < state.max_concurrent
            && let Some(&front) = next.first()
            // The owner goes when no other upgrade is under way: the next owner has less to wait for.
            && (front != me || state.upgrading.is_empty())
        {
            let incarnation = fronts[&front].incarnation;
            state.upgrading.insert(front, incarnation);
            state.step += 1;
            (self.last_sent, _) = (Some(now), self.started_at.insert(front, now));
            return vec![UpgradeStep::Tell, UpgradeStep::Upgrade(front, incarnation)];
        }
        if next.is_empty() && state.upgrading.is_empty() {
            return Self::finish(state, UpgradeOutcome::Done);
        }
        if self.last_sent.is_none_or(|last_sent| now >= last_sent + RESEND_INTERVAL) {
            self.last_sent = Some(now);
            // Fronts that have not restarted may have missed the message.
            let not_restarted = state.upgrading.iter().filter(|(front, incarnation)| {
                fronts.get(front).is_some_and(|s| s.incarnation == **incarnation)
            });
            let again = not_restarted.map(|(&front, &incarnation)| UpgradeStep::Upgrade(front, incarnation));
            return [UpgradeStep::Tell].into_iter().chain(again).collect();
        }
        Vec::new()
    }

    fn finish(state: &mut UpgradeState, outcome: UpgradeOutcome) -> Vec<UpgradeStep> {
        (state.outcome, state.step) = (Some(outcome), state.step + 1);
        vec![UpgradeStep::Tell, UpgradeStep::Ended(outcome)]
    }

    /// Stops the upgrade; fronts under way still finish.
    pub fn call_off(state: &mut UpgradeState) -> Vec<UpgradeStep> {
        if state.is_running() { Self::finish(state, UpgradeOutcome::CalledOff) } else { Vec::new() }
    }
}
