//! Messages between actors. This module is below the actors, so that none of them depends on another.

use crate::mailbox::Mailbox;
use juniperdock_connection::Waker;
use juniperdock_deployment::Origin;
use juniperdock_fleet_tasks::{HoldStep, ProbeRole, SHARDS};
use juniperdock_membership::Keys;
use juniperdock_request_guard::{AttemptPermit, RequestGuard};
use juniperdock_router::host::{AttemptOutcome, Report, Role, SessionWrite};
use juniperdock_runtime_state::{InferredRestart, ListChange, PrimaryChange};
use juniperdock_server_list::ServerList;
use juniperdock_session_marks::{SharedMarks, TableError};
use juniperdock_wait_queue::WaitLimits;
use may::sync::mpsc::Sender;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// The final answer to a request.
pub enum Answer {
    /// The member's answer, unchanged.
    Committed(Vec<u8>),
    /// The member's error about the statement, unchanged.
    Invalid(Vec<u8>),
    /// It has not run; the client may try again, after this time if one is given.
    Declined(Option<Duration>),
    /// It has not run, and trying again would not help.
    RolledBack(&'static str),
    /// It was given up, and may have taken effect.
    Unknown(&'static str),
}

impl Answer {
    /// The name of the answer in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Committed(_) => "served",
            Answer::Invalid(_) => "invalid",
            Answer::Declined(_) => "refused",
            Answer::RolledBack(_) => "rolled back",
            Answer::Unknown(_) => "unknown",
        }
    }
}

/// The last write of a session, as its client tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldWrite {
    Untold,
    /// The session has not written.
    Never,
    /// It was committed at this position, in Unix milliseconds. Kept as told until the request is started: it is
    /// compared with positions that servers tell, and a clock that is off or corrected must not come in between.
    At(u64),
}

/// A request as its client's actor read it.
pub struct Arrival {
    pub request_id: u64,
    /// When its last byte came in.
    pub at: Duration,
    /// The index of its txn type.
    pub txn_type: usize,
    /// The number of its group in the server list.
    pub group: u64,
    /// When its client stops waiting.
    pub expiry: Duration,
    /// Whether the client marked it as a retry.
    pub retried: bool,
    /// A hash of its session key.
    pub session: Option<u64>,
    /// What its client tells of its session's last write.
    pub told_write: ToldWrite,
    /// When an earlier write of its session on the same connection was answered, if it has waited for that.
    pub write_answered: Option<Duration>,
    pub statement: Arc<str>,
    /// The byte range of the remaining time in the statement.
    pub left: Range<usize>,
    pub client: Mailbox<(u64, Answer)>,
    /// Says what may still be done for it.
    pub guard: RequestGuard,
}

impl Arrival {
    /// What must be seen of its session's writes, with told positions dated by this origin.
    pub fn session_write(&self, origin: &Origin) -> SessionWrite {
        let told = match self.told_write {
            ToldWrite::Untold => SessionWrite::Untold,
            ToldWrite::Never => SessionWrite::Never,
            ToldWrite::At(unix_ms) => SessionWrite::At(position_of(unix_ms, origin)),
        };
        match (told, self.write_answered) {
            (told, None) => told,
            (SessionWrite::At(position), Some(answered)) => SessionWrite::At(position.max(answered)),
            (SessionWrite::Untold | SessionWrite::Never, Some(answered)) => SessionWrite::At(answered),
        }
    }
}

/// Dates a position in Unix milliseconds as those of servers are dated. One before the start of this process counts as
/// its start, one that can't be expressed as never reached.
fn position_of(unix_ms: u64, origin: &Origin) -> Duration {
    match i64::try_from(unix_ms).ok().and_then(|ms| ms.checked_mul(1000)) {
        Some(micros) => origin.position(micros).unwrap_or_default(),
        None => Duration::MAX,
    }
}

/// The end of one attempt at a member.
pub struct AttemptEnd {
    pub request_id: u64,
    pub member: usize,
    pub outcome: AttemptOutcome,
    pub role: Option<Role>,
    pub position: Option<Duration>,
    /// The load report in the member's answer, if there was one.
    pub load: Option<Report>,
    /// When the dispatcher sent the attempt.
    pub sent: Duration,
    pub at: Duration,
    /// The member's answer, unchanged.
    pub row: Vec<u8>,
}

impl AttemptEnd {
    /// The end of an attempt for which nothing was written.
    pub fn unsent(submit: &Submit, member: usize, outcome: AttemptOutcome, at: Duration) -> AttemptEnd {
        let (request_id, sent) = (submit.request_id, submit.at);
        AttemptEnd {
            request_id,
            member,
            outcome,
            role: None,
            position: None,
            load: None,
            sent,
            at,
            row: Vec::new(),
        }
    }
}

/// Messages to the dispatcher.
pub enum DispatcherMessage {
    RequestArrived(Box<Arrival>),
    ClientLeft(u64),
    /// The client of a request sends faster than it is read and may have left: nothing more is done for it.
    ClientUnread(u64),
    /// The attempt of a request was begun some time ago, and not all of it has arrived at its member.
    AttemptInTransit(u64),
    AttemptEnded(Box<AttemptEnd>),
    Probed {
        member: usize,
        outcome: AttemptOutcome,
        report: Report,
    },
    List(ServerList),
    DiscoveryLost,
    /// Servers' positions prove that this process's clock was behind by this much. Positions in later messages are
    /// dated by the corrected origin, those in earlier messages by the old one.
    ClockAdvanced(Duration),
    /// The rate limit allows the next probe.
    ProbesDue,
    /// A watchdog tick, sent at this time of the monotonic clock: shows that the worker runs, and how late.
    WatchdogTick {
        posted: Duration,
    },
    /// Answered once all earlier messages have been handled.
    Barrier(Sender<()>),
    /// The limit of connections to members is reached: idle ones are to be closed.
    ConnectionsShort,
    /// A timer of the router has fired.
    TimerDue {
        handle: u64,
        at: Duration,
    },
    /// Tells the next process all that it starts from.
    SendInitialState,
    /// Restarts of servers that the previous process has observed.
    KeepInferredRestarts(Vec<InferredRestart>),
    /// Planned changes of primaries in another process of this front.
    FollowPrimaryChanges(Vec<PrimaryChange>),
    /// Asks for a snapshot of the router's state.
    TakeSnapshot(SyncSender<Result<Vec<u8>, String>>),
    /// A snapshot from the previous process.
    RestoreSnapshot(Vec<u8>),
    /// Asks for the table by which marks of sessions are shared with the next process; `None` if no marks are kept.
    ShareSessionMarks(SyncSender<Result<Option<OwnedFd>, TableError>>),
    /// The previous process still serves, and shares its marks of sessions in this table, if there is one.
    PredecessorServes(Option<SharedMarks>),
    /// The previous process has ended.
    PredecessorEnded,
    /// The next process has ended and this one goes on. `committed`: the other may have served.
    UpgradeUndone {
        committed: bool,
    },
    /// New limits of the wait queue, and the share of its time for which a request that no member has had may wait.
    SetWaitLimits(WaitLimits, f64),
    /// Sends idle connections to the next process, each with its member's id.
    TransferIdle(std::sync::mpsc::Sender<(String, OwnedFd)>),
    /// A connection to a member that the previous process had.
    AdoptConnection(String, TcpStream),
    /// This front is about to serve and needs to know the primaries: probes all members.
    ProbeAll,
    /// Turns on work that is shared among the fronts, with a way to send to the membership actor.
    EnableFleetTasks(Box<dyn Fn(MembershipMessage) + Send>),
    /// The state of the membership for health observation; new observations are sent back to the membership actor.
    ObserveHealth {
        has_majority: bool,
        /// The number of fronts that are up.
        present_fronts: usize,
        /// This front's role for each shard of members.
        shard_roles: [ProbeRole; SHARDS as usize],
    },
    /// Observations of members by another front.
    PeerObservations(Vec<u8>),
    /// Another front's observation, in place of a probe.
    PeerReport {
        member: usize,
        report: Report,
    },
    /// A planned change that another front orders of all fronts, or its cancellation.
    PlannedChange {
        group: u64,
        order: u64,
        successor: Option<String>,
        cancel: bool,
    },
    /// From the control socket: asks for the state of one group, or of all up to a limit.
    Status {
        group: Option<u64>,
        max_groups: usize,
        reply: SyncSender<Value>,
    },
    /// From the control socket: orders a change of a group's primary at this front, or cancels it.
    ChangePrimary {
        group: u64,
        successor: Option<String>,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
}

/// Upgrades this front to the given program, or to the running one if none is given; returns the new process's id.
pub type UpgradeFn = Arc<dyn Fn(Option<&str>) -> Result<u32, String> + Send + Sync>;

/// Messages to the membership actor, which speaks with the other fronts.
pub enum MembershipMessage {
    /// Asks for the state of all fronts.
    Status(SyncSender<Value>),
    /// Replaces the keys.
    SetKeys(Keys),
    /// This front's observations of members, in pieces of each shard, and how often it wants to observe.
    Observations {
        every: Duration,
        pieces: Vec<(usize, Vec<u8>)>,
    },
    /// This front's progress with a planned change that was ordered of all fronts.
    ChangeProgress {
        group: u64,
        order: u64,
        step: HoldStep,
    },
    /// From the control socket: orders a change of a group's primary at all fronts, or cancels it.
    ChangePrimary {
        group: u64,
        successor: Option<String>,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
    /// Sets the function that upgrades this front.
    SetUpgrade(UpgradeFn),
    /// The upgrade failed in the rolling upgrade with this number.
    UpgradeFailed(u64),
    /// From the control socket: starts a rolling upgrade of all fronts, or cancels it.
    RollingUpgrade {
        program: Option<String>,
        at_once: usize,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
    /// From the control socket: asks for the fleet tasks and their owners.
    FleetTasks(SyncSender<Value>),
    /// Leaves the membership and releases the socket; `Join` opens it again.
    Leave,
    Join,
}

#[derive(Clone)]
/// An attempt at a member.
pub struct Submit {
    pub request_id: u64,
    pub statement: Arc<str>,
    /// The byte range of the remaining time in the statement.
    pub left: Range<usize>,
    /// When the front stops waiting for the answer.
    pub deadline: Duration,
    /// Says whether it may still be written; the dispatcher keeps it up to date.
    pub permit: AttemptPermit,
    pub at: Duration,
}

#[derive(Clone)]
/// Work for one connection to a member.
pub enum Job {
    Submit(Box<Submit>),
    Probe { at: Duration },
}

/// Where idle connections to a member are sent, with the member's id.
#[derive(Clone)]
pub struct TransferIdle {
    pub member: String,
    pub to: std::sync::mpsc::Sender<(String, OwnedFd)>,
}

/// Messages to the actor of a member.
pub enum MemberMessage {
    Job(Job),
    Cancel(u64),
    Address(SocketAddr),
    /// The list no longer has the member: idle connections are closed, and the actor ends with its last connection.
    Removed,
    /// The list has the member again.
    Relisted,
    /// Closes idle connections: connections run short, or the member stopped responding.
    CloseIdle,
    /// Sends idle connections to the next process.
    TransferIdle(Box<TransferIdle>),
    /// A connection that the previous process had.
    Adopt(TcpStream),
    /// From a connection: its waker.
    WakerReady(u64, Waker),
    /// From a connection: it is free for the next job.
    Idle(u64),
    /// From a connection: it has ended, and waits for `Close` so that no job is lost on the way.
    Ended(u64),
}

/// Messages to the discovery client.
pub enum DiscoveryMessage {
    /// Opens a watch.
    OpenWatch,
    /// Sets the address of discovery.
    SetAddress(SocketAddr),
    /// From a watch: its waker.
    WakerReady(u64, Waker),
    /// From a watch: a full or partial server list.
    ListReceived(u64, ServerList),
    /// From the previous process: a list that it has accepted.
    PeerList(ListChange),
    /// From a watch: why it has ended.
    WatchEnded(u64, WatchEnd),
}

/// Why a watch has ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// Discovery answered that it is overloaded.
    Overloaded,
    Failed(String),
}

impl std::fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            WatchEnd::Overloaded => f.write_str("discovery is overloaded"),
            WatchEnd::Failed(why) => f.write_str(why),
        }
    }
}
