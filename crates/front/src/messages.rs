//! The mail between actors. It stands below them all, so that none of them needs to know another.

use crate::mailbox::Mailbox;
use juniperdock_connection::Bell;
use juniperdock_fleet_tasks::{HoldStep, ProbeRole, SHARDS};
use juniperdock_membership::Keys;
use juniperdock_request_guard::{AttemptPermit, RequestGuard};
use juniperdock_router::host::{AttemptOutcome, Report, Role};
use juniperdock_server_list::ServerList;
use juniperdock_wait_queue::WaitLimits;
use may::sync::mpsc::Sender;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// What a client is told at the end of its txn.
pub enum Answer {
    /// A member's row, as it came.
    Committed(Vec<u8>),
    /// A member's error about the statement, as it came.
    Invalid(Vec<u8>),
    Declined(Option<Duration>),
    /// It is known not to have run, and trying again would not help.
    RolledBack(&'static str),
    /// Given up, and whether it took effect is not known.
    Unknown(&'static str),
}

impl Answer {
    /// What it is called in the log.
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

/// A txn as its client's actor read it.
pub struct Arrival {
    pub request_id: u64,
    pub at: Duration,
    pub txn_type: usize,
    pub group: u64,
    pub expiry: Duration,
    pub retried: bool,
    pub session: Option<u64>,
    pub wrote_ago: Option<Duration>,
    pub statement: Arc<str>,
    /// Where the statement tells the time left.
    pub left: Range<usize>,
    pub client: Mailbox<(u64, Answer)>,
    /// What may still be done for it.
    pub guard: RequestGuard,
}

pub struct AttemptEnd {
    pub request_id: u64,
    pub member: usize,
    pub outcome: AttemptOutcome,
    pub role: Option<Role>,
    pub position: Option<Duration>,
    /// The report of itself that the member's answer held, where answers hold one.
    pub load: Option<Report>,
    pub sent: Duration,
    pub at: Duration,
    /// What the member said to the client, as it came.
    pub row: Vec<u8>,
}

/// To the desk.
pub enum DispatcherMessage {
    RequestArrived(Box<Arrival>),
    ClientLeft(u64),
    AttemptEnded(Box<AttemptEnd>),
    Probed {
        member: usize,
        outcome: AttemptOutcome,
        report: Report,
    },
    List(ServerList),
    DiscoveryLost,
    /// Servers have proven that this process's idea of their time was behind by so much. Positions in later mail are
    /// dated by the corrected origin, those in earlier mail by the one before.
    ClockAdvanced(Duration),
    /// The pace of probes lets the next one start.
    ProbesDue,
    /// Shows that the worker runs, and how late: when it was posted, by the monotonic clock.
    WatchdogTick {
        posted: Duration,
    },
    /// Whoever posts this hears back once all that was posted before it has been taken.
    Barrier(Sender<()>),
    /// Connections to members run short.
    ConnectionsShort,
    TimerDue {
        handle: u64,
        at: Duration,
    },
    /// What is known, for the process after this one, as a snapshot.
    TakeSnapshot(SyncSender<Result<Vec<u8>, String>>),
    /// What the process before this one knew.
    RestoreSnapshot(Vec<u8>),
    /// How much may wait from now on, and how long what no member has had is held.
    SetWaitLimits(WaitLimits, f64),
    /// Idle connections to members go to the process after this one, each with its member's id.
    TransferIdle(std::sync::mpsc::Sender<(String, OwnedFd)>),
    /// A connection to a member that the process before this one had.
    AdoptConnection(String, TcpStream),
    /// This front is to serve soon: who is primary has to be known.
    ProbeAll,
    /// Work is shared with other fronts: how to post to the actor that speaks with them.
    EnableFleetTasks(Box<dyn Fn(MembershipMessage) + Send>),
    /// Whether this front hears a majority, and which members it asks for all; what is to be told goes back.
    ObserveHealth {
        has_majority: bool,
        /// How many fronts are there.
        present_fronts: usize,
        shard_roles: [ProbeRole; SHARDS as usize],
    },
    /// What another front told of members.
    PeerObservations(Vec<u8>),
    /// What stands in place of a probe.
    PeerReport {
        member: usize,
        report: Report,
    },
    /// A planned change that another front orders of all; `off`: it lets go.
    PlannedChange {
        group: u64,
        order: u64,
        successor: Option<String>,
        cancel: bool,
    },
    /// From the control socket: how groups stand; one of them, or all up to a number.
    Status {
        group: Option<u64>,
        max_groups: usize,
        reply: SyncSender<Value>,
    },
    /// From the control socket: a change of a group's primary is ordered, or called off.
    ChangePrimary {
        group: u64,
        successor: Option<String>,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
}

/// What an upgrade needs, as a call: a program, or the one that runs; gives the new process's id.
pub type UpgradeFn = Arc<dyn Fn(Option<&str>) -> Result<u32, String> + Send + Sync>;

/// To the actor that speaks with the other fronts.
pub enum MembershipMessage {
    /// How they stand.
    Status(SyncSender<Value>),
    /// Other keys count from now on.
    SetKeys(Keys),
    /// What this front has to tell of members, each part's in pieces, and when it wants to be asked again.
    Observations {
        every: Duration,
        pieces: Vec<(usize, Vec<u8>)>,
    },
    /// How far this front is with a planned change that was ordered of all.
    ChangeProgress {
        group: u64,
        order: u64,
        step: HoldStep,
    },
    /// From the control socket: a change of a group's primary at all fronts, or none.
    ChangePrimary {
        group: u64,
        successor: Option<String>,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
    /// How this front is upgraded.
    SetUpgrade(UpgradeFn),
    /// It could not be, in that roll.
    UpgradeFailed(u64),
    /// From the control socket: a rolling upgrade of all fronts, or none any more.
    RollingUpgrade {
        program: Option<String>,
        at_once: usize,
        cancel: bool,
        reply: SyncSender<Result<String, String>>,
    },
    /// From the control socket: which duties there are, and whose.
    FleetTasks(SyncSender<Value>),
    /// Says farewell and lets go of the address; `Enter` takes it up again.
    Leave,
    Join,
}

#[derive(Clone)]
pub struct Submit {
    pub request_id: u64,
    pub statement: Arc<str>,
    pub left: Range<usize>,
    /// When the front stops waiting.
    pub deadline: Duration,
    /// Whether it may still be written; the desk keeps it up to date.
    pub permit: AttemptPermit,
    pub at: Duration,
}

#[derive(Clone)]
pub enum Job {
    Submit(Submit),
    Probe { at: Duration },
}

pub enum MemberMessage {
    Job(Job),
    Cancel(u64),
    Address(SocketAddr),
    /// The list has it as gone: idle connections are closed, and the actor ends with the last one.
    Removed,
    /// The list has it again.
    Relisted,
    /// Those that stand idle are closed: connections run short, or the member has fallen silent.
    CloseIdle,
    /// Those that stand idle go to the process after this one, under this name.
    TransferIdle(String, std::sync::mpsc::Sender<(String, OwnedFd)>),
    /// One that the process before this one had.
    Adopt(TcpStream),
    /// From a connection: it can be woken.
    WakerReady(u64, Bell),
    /// From a connection: it is free for the next job.
    Idle(u64),
    /// From a connection: it has ended, and waits for word that no job comes any more.
    Ended(u64),
}

/// To the discovery client.
pub enum DiscoveryMessage {
    /// A watch is wanted.
    OpenWatch,
    /// The list is to be had at this address from now on.
    SetAddress(SocketAddr),
    /// From a watch: it can be woken.
    WakerReady(u64, Bell),
    /// From a watch: a list, whole or of what changed.
    ListReceived(u64, ServerList),
    /// From a watch: it has ended, and why.
    WatchEnded(u64, WatchEnd),
}

/// Why a watch has ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// Discovery says that it is overloaded.
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
