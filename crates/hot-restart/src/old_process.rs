//! The side of the process that serves until it commits the restart.

use crate::{SUPPORTED_VERSIONS, negotiate_version};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time limits of the steps; a step that misses its limit aborts the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the start of the new process until a version is agreed, and from there until it reports that it is ready.
    pub ready: Duration,
    /// Length of one period in which clients between txns are sent after the new process is ready. Clients that have
    /// been idle for a while are sent first, until none has been sent for one period; then all follow for one period.
    pub gather: Duration,
    /// From the last client sent until the new process has confirmed all of them.
    pub acknowledge: Duration,
}

/// How far the restart has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The new process was started and has sent nothing yet.
    Started,
    /// A protocol version was agreed; the new process prepares.
    Preparing,
    /// The new process has the listener, and clients between txns are sent to it.
    Transferring,
    /// The new process serves. Clients that were busy follow once they are answered.
    Committed,
    /// All clients were transferred.
    Done,
    /// The old process continues to serve.
    Aborted(AbortReason),
}

/// Why the restart was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The new process exited or closed its end of the socket.
    Ended,
    /// The two processes have no protocol version in common.
    Version,
    /// The new process sent a malformed or unexpected message.
    Nonsense,
    /// The new process was not ready, or did not confirm the clients sent to it, in time.
    Late,
    /// The old process canceled the restart.
    CalledOff,
}

/// Idle clients are sent for at most this many periods of `Timeouts::gather` before all others follow.
const MAX_GATHER_PERIODS: u32 = 50;

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the agreed protocol version to the new process.
    SendVersion(u16),
    /// Send the listener, and from now on each client that has been idle for a while.
    SendListener,
    /// Send each client that is between txns, from now on.
    TransferAll,
    /// Tell the new process to serve, and stop accepting clients here.
    Commit,
    /// Close this process's descriptor of a client that the new process serves.
    Release(u64),
    /// Serve a client here again.
    Keep(u64),
    /// Accept clients and serve as before, and terminate the new process.
    Resume,
    /// Exit, as everything has been transferred.
    Exit,
}

/// The old process's side of one hot restart. Inputs only record facts; [`OldProcess::next_action`] evaluates them.
#[derive(Debug)]
pub struct OldProcess {
    timeouts: Timeouts,
    phase: Phase,
    phase_began: Duration,
    new_versions: Option<(u16, u16)>,
    /// The protocol version that both sides use; 0 until it is agreed.
    version: u16,
    new_is_ready: bool,
    protocol_error: bool,
    disconnected: bool,
    canceled: bool,
    no_clients_left: bool,
    /// Since when the new process has taken no further change of the runtime state, while some wait for it.
    changes_wait_since: Option<Duration>,
    /// Sent, but not yet confirmed by the new process.
    in_flight: BTreeSet<u64>,
    /// Confirmed by the new process, but not yet released.
    received: BTreeSet<u64>,
    last_sent: Duration,
    /// All clients between txns are sent, not only those that have been idle for a while.
    transfer_all: bool,
}

impl OldProcess {
    pub fn new(now: Duration, timeouts: Timeouts) -> OldProcess {
        OldProcess {
            timeouts,
            phase: Phase::Started,
            phase_began: now,
            new_versions: None,
            version: 0,
            new_is_ready: false,
            protocol_error: false,
            disconnected: false,
            canceled: false,
            no_clients_left: false,
            changes_wait_since: None,
            in_flight: BTreeSet::new(),
            received: BTreeSet::new(),
            last_sent: now,
            transfer_all: false,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The protocol version that both sides use; 0 until it is agreed.
    pub fn version(&self) -> u16 {
        self.version
    }

    /// Records the range of protocol versions that the new process supports.
    pub fn on_hello(&mut self, lowest: u16, highest: u16) {
        self.protocol_error |= self.new_versions.is_some() || lowest > highest;
        self.new_versions = Some((lowest, highest));
    }

    /// Records that the new process is ready to serve.
    pub fn on_ready(&mut self) {
        self.protocol_error |= self.phase != Phase::Preparing || self.new_is_ready;
        self.new_is_ready = true;
    }

    /// Records that a client was sent under a new number. Valid only while [`OldProcess::is_transferring`].
    pub fn on_sent(&mut self, now: Duration, client: u64) {
        self.in_flight.insert(client);
        self.last_sent = now;
    }

    /// Records that the new process has received a client.
    pub fn on_received(&mut self, client: u64) {
        if self.in_flight.remove(&client) {
            self.received.insert(client);
        } else {
            self.protocol_error = true;
        }
    }

    /// Records a message that could not be decoded.
    pub fn on_protocol_error(&mut self) {
        self.protocol_error = true;
    }

    /// Records that the new process exited or closed its end of the socket.
    pub fn on_disconnected(&mut self) {
        self.disconnected = true;
    }

    /// Cancels the restart unless it has been committed.
    pub fn cancel(&mut self) {
        self.canceled = true;
    }

    /// Sets how many clients this process still has, including those in flight.
    pub fn set_remaining(&mut self, clients: usize) {
        self.no_clients_left = clients == 0;
    }

    /// Records whether changes of the runtime state are still to be sent: they go over before the commit.
    pub fn set_changes_waiting(&mut self, now: Duration, waiting: bool) {
        self.changes_wait_since = waiting.then(|| self.changes_wait_since.unwrap_or(now));
    }

    /// Whether clients may be sent now.
    pub fn is_transferring(&self) -> bool {
        matches!(self.phase, Phase::Transferring | Phase::Committed)
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        (self.phase, self.phase_began) = (phase, now);
    }

    fn abort_reason(&self, now: Duration) -> Option<AbortReason> {
        let late = match self.phase {
            Phase::Started | Phase::Preparing => now >= self.phase_began + self.timeouts.ready,
            Phase::Transferring => {
                let limit = self.timeouts.acknowledge;
                !self.in_flight.is_empty() && now >= self.last_sent + limit
                    || self.changes_wait_since.is_some_and(|since| now >= since + limit)
            }
            // The new process serves and may already be reading from the client: waiting is safer than taking it back.
            Phase::Committed => false,
            Phase::Done | Phase::Aborted(_) => return None,
        };
        let committed = self.phase == Phase::Committed;
        let unsupported =
            |&new_versions: &(u16, u16)| negotiate_version(SUPPORTED_VERSIONS, new_versions).is_none();
        match () {
            () if self.disconnected => Some(AbortReason::Ended),
            () if self.protocol_error => Some(AbortReason::Nonsense),
            () if self.new_versions.as_ref().is_some_and(unsupported) => Some(AbortReason::Version),
            () if self.canceled && !committed => Some(AbortReason::CalledOff),
            () if late => Some(AbortReason::Late),
            () => None,
        }
    }

    /// Returns the next action, or `None` when nothing has to be done for now.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        // After a commit, a received client is never taken back: the new process serves it, or the client reconnects.
        if let Some(&client) = self.received.iter().next().filter(|_| self.phase == Phase::Committed) {
            self.received.remove(&client);
            return Some(Action::Release(client));
        }
        if let Some(reason) = self.abort_reason(now) {
            self.enter(now, Phase::Aborted(reason));
            return Some(Action::Resume);
        }
        match self.phase {
            Phase::Aborted(_) => {
                let client = self.in_flight.pop_first().or_else(|| self.received.pop_first())?;
                Some(Action::Keep(client))
            }
            Phase::Started => {
                let version = negotiate_version(SUPPORTED_VERSIONS, self.new_versions?)?;
                self.version = version;
                self.enter(now, Phase::Preparing);
                // This starts the limit `Timeouts::ready` anew, for the time from the agreement to readiness.
                Some(Action::SendVersion(version))
            }
            Phase::Preparing if self.new_is_ready => {
                self.enter(now, Phase::Transferring);
                self.last_sent = now;
                Some(Action::SendListener)
            }
            // A client is not served between its transfer and the commit, so the most active ones are sent last.
            Phase::Transferring if !self.transfer_all => {
                let Timeouts { gather, .. } = self.timeouts;
                let quiet = self.in_flight.is_empty() && now >= self.last_sent + gather;
                if !quiet && now < self.phase_began + gather * MAX_GATHER_PERIODS {
                    return None;
                }
                (self.transfer_all, self.phase_began) = (true, now);
                Some(Action::TransferAll)
            }
            Phase::Transferring
                if self.in_flight.is_empty()
                    && self.changes_wait_since.is_none()
                    && now >= self.phase_began + self.timeouts.gather =>
            {
                self.enter(now, Phase::Committed);
                Some(Action::Commit)
            }
            Phase::Committed if self.no_clients_left && self.in_flight.is_empty() => {
                self.enter(now, Phase::Done);
                Some(Action::Exit)
            }
            _ => None,
        }
    }
}
