//! The parameters of a world and the script of its troubles. These are plain values; whoever reads them from files has
//! to validate them.

use juniperdock_router::host::{ColdStart, TxnType};
use std::time::Duration;

/// Minimum and maximum of a uniformly distributed duration.
pub type Range = (Duration, Duration);

/// A txn type: its terms, its cost, and its share of the load.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    /// Weight of this type among all txns.
    pub part: f64,
    /// Time of one core that a txn takes.
    pub work: Range,
    pub terms: TxnType,
    /// The longest time that its client waits.
    pub expiry: Duration,
}

/// The group and zone of a member.
#[derive(Clone, Copy, Debug)]
pub struct Node {
    pub group: usize,
    pub zone: usize,
}

/// Replication of a group's log from the primary to the replicas.
#[derive(Clone, Debug)]
pub struct Log {
    /// Time to ship a write, besides the network delay.
    pub ship: Duration,
    /// Work to apply one write, by one thread.
    pub apply: Duration,
    /// A read that takes longer than this blocks the applying of the log at its member.
    pub blocks: Duration,
    /// Whether a write is answered only once a replica has it.
    pub synchronous: bool,
    /// Age of the copy of the data that a new member starts from.
    pub copy: Duration,
    /// How long marks are remembered after their write ran. A mark is the reference by which a repeated write is
    /// recognized.
    pub marks: Duration,
}

/// Durations of elections and handovers.
#[derive(Clone, Debug)]
pub struct Election {
    /// Time until the others detect the loss of a primary.
    pub noticed: Range,
    /// Time from the detection of the loss to the election.
    pub elected: Range,
    /// Time from the start of a drain to the handover.
    pub handed: Range,
    /// Time until a former primary that is reachable again learns that it was deposed.
    pub learns: Range,
}

/// The clients of all fronts.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    pub per_second: f64,
    /// Factors on `per_second`, one for each second; the last one stays in force.
    pub series: Vec<f64>,
    /// Exponent of Zipf's distribution over the groups; groups with low numbers get more load.
    pub skew: f64,
    /// Bounds of the share of the expiry that a client waits.
    pub patience: (f64, f64),
    /// Maximum number of retries of a call.
    pub retries: u32,
    pub back_off: Range,
}

/// All parameters of a world.
#[derive(Clone, Debug)]
pub struct Shape {
    pub seed: u64,
    pub lasts: Duration,
    pub kinds: Vec<Kind>,
    /// The zone of each front.
    pub fronts: Vec<usize>,
    pub members: Vec<Node>,
    /// One-way network delay within a zone.
    pub near: Duration,
    /// One-way network delay between zones.
    pub far: Duration,
    pub cores: f64,
    /// Maximum number of running txns at a member.
    pub slots: usize,
    /// Maximum number of waiting txns at a member.
    pub waiting: usize,
    /// Number of txns per core beyond which each further one adds a fiftieth to the time that work takes.
    pub thrash: f64,
    /// Maximum number of connections of a member.
    pub connections: usize,
    /// Work of a member to set up a connection.
    pub handshake: Duration,
    /// How long an idle connection is kept.
    pub idle: Duration,
    /// Time after which a front gives up on a connection or a probe.
    pub connect: Duration,
    /// Work of a member to answer a probe.
    pub probe: Duration,
    /// How long a member reuses its load report.
    pub report_every: Duration,
    /// Delay of list changes on their way to each front.
    pub list_late: Range,
    pub log: Log,
    pub election: Election,
    pub cold: ColdStart,
    /// How long sends to a draining member are allowed after the front was informed.
    pub drain_grace: Duration,
    /// How long after the expiry an answer is allowed.
    pub answer_grace: Duration,
    pub crowd: ClientLoad,
    pub troubles: Vec<ScheduledFault>,
}

/// The members that a trouble affects, resolved when it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Targets {
    Member(usize),
    Primary(usize),
    Replicas(usize),
    /// All members of a zone.
    Zone(usize),
    /// All members.
    All,
    /// A random share of all members.
    Some(f64),
}

/// A fault of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberFault {
    /// It stops at once, and restarts cold when the trouble ends.
    Killed,
    /// It stops responding, and continues where it was when the trouble ends.
    Hung,
    /// It is slower by this factor.
    Slow(f64),
    /// This share of its txns ends in an error at once.
    Errors(f64),
    /// The list shows it as draining. It refuses writes, hands over, and restarts cold when the trouble ends.
    Drained,
    /// It is removed. When the trouble ends, a new member takes its place, cold and with an old copy of the data.
    Replaced,
    /// Fronts cannot reach it; the other members can.
    CutFromFronts,
    /// The other members cannot reach it; fronts can.
    CutFromPeers,
    /// It applies the log more slowly by this factor.
    Lags(f64),
    /// This share of its answers is lost.
    Loses(f64),
    /// It reports that it has no load.
    LiesIdle,
    /// It hands over as primary without an announcement.
    Moved,
}

/// The kinds of troubles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Member(Targets, MemberFault),
    /// A zone is cut off from the others, including log shipping.
    ZoneCut(usize),
    /// The list sends no changes; they follow when the trouble ends.
    ListSilent,
    /// Changes of the list are delayed by this much.
    ListLate(Duration),
    /// The list shows running members as removed.
    ListWrong(Targets),
    /// A front is paused, and continues where it was when the trouble ends.
    FrontStands(usize),
    /// A front stops at once, and restarts without its state when the trouble ends.
    FrontKilled(usize),
    /// The rate of clients is multiplied by this factor.
    Surge(f64),
}

/// One fault in the script, with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    pub from: Duration,
    pub lasts: Duration,
    pub what: What,
}
