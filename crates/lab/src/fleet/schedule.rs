//! Schedules of faults for a fleet of processes, read from a JSON5 file or drawn from a seed.

use garde::Validate;
use juniperdock_emulator::Stream;
use juniperdock_operator_config::{Fault, fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a fault does. `front` and `other` select the processes; without `other`, all links of `front` in both
/// directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Harm")]
pub enum FaultKind {
    /// The process is killed; it restarts at the end with the same name and address.
    FrontKilled,
    /// The process gets SIGTERM; it restarts at the end.
    FrontEnded,
    /// The process is stopped, and continued at the end.
    FrontStopped,
    /// The process is alternately stopped and continued.
    FrontSlow,
    /// The process is replaced by a new one in a hot restart.
    Upgraded,
    /// The fronts of `side` and the others are partitioned from each other.
    Apart,
    /// Datagrams from `front` to `other` are dropped.
    OneWay,
    /// All datagrams sent by `front` are dropped; it still receives.
    Unheard,
    /// A `share` of datagrams is dropped, on all links or those of `front`.
    Lost,
    Doubled,
    Bent,
    /// Datagrams are delayed by up to `by` milliseconds, so that their order changes.
    Late,
    /// On each link to `front`, `by` old or forged datagrams per second are injected.
    Replayed,
    Forged,
    /// `by` forged datagrams per second are injected to `front`, on the link from one other front.
    Flooded,
    /// `front` cannot reach any member.
    MembersCut,
    /// `front` gets no list updates; all are delivered at the end.
    ListCut,
    /// The primary of group `number` exits, and restarts cold.
    PrimaryKilled,
    /// The primary hangs, and continues from the same state.
    PrimaryHung,
    /// The fronts cannot reach the primary; the other members can.
    PrimaryCut,
    /// The other members cannot reach the primary; the fronts can.
    PrimaryApart,
    /// The list reports the primary as draining; it hands over, and restarts cold.
    PrimaryDrained,
    /// The primary hands over without any notification.
    PrimaryMoved,
    /// Member `number` drains, and restarts cold.
    MemberDrained,
    /// `front` is asked for a rolling restart of the fleet, `number` fronts at a time (1 if `number` is 0).
    RollOrdered,
    /// A `share` of the process's socket calls is delayed by up to `by` milliseconds. This fault and the next five
    /// affect all fronts if `front` is not given.
    HeldUp,
    /// A `share` of accept, socket and connect calls fails.
    CallsFail,
    /// A `share` of reads and writes is partial, and the same share is interrupted.
    ShortCalls,
    /// A `share` of the reads from members fails with a broken connection.
    ConnectionsBreak,
    /// The wall clock is `by` milliseconds ahead, or behind if `number` is odd.
    ClockStepped,
    /// A `share` of file writes and syncs fails.
    DiskFails,
    /// `by` idle clients per second connect to `front` and stay.
    Crowd,
    /// Clients of kind `number` send too much, too little or too fast to `front`, or copies of what others send.
    MisbehavingClients,
    /// `front` is asked for a planned change of group `number`; once all fronts hold its writes, the primary hands
    /// over.
    MoveOrdered,
}

impl FaultKind {
    /// The ways to lose a primary.
    pub const PRIMARY: [FaultKind; 6] = [
        FaultKind::PrimaryKilled,
        FaultKind::PrimaryHung,
        FaultKind::PrimaryCut,
        FaultKind::PrimaryApart,
        FaultKind::PrimaryDrained,
        FaultKind::PrimaryMoved,
    ];
    /// The kinds that a random schedule draws from.
    pub const ALL: [FaultKind; 19] = [
        FaultKind::FrontKilled,
        FaultKind::FrontEnded,
        FaultKind::FrontStopped,
        FaultKind::FrontSlow,
        FaultKind::Upgraded,
        FaultKind::Apart,
        FaultKind::OneWay,
        FaultKind::Unheard,
        FaultKind::Lost,
        FaultKind::Doubled,
        FaultKind::Bent,
        FaultKind::Late,
        FaultKind::Replayed,
        FaultKind::Forged,
        FaultKind::Flooded,
        FaultKind::MembersCut,
        FaultKind::ListCut,
        FaultKind::PrimaryKilled,
        FaultKind::MemberDrained,
    ];
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Mishap")]
pub struct InjectedFault {
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at_s: f64,
    #[garde(range(min = 0.0, max = 3600.0))]
    pub lasts_s: f64,
    #[garde(skip)]
    pub what: FaultKind,
    #[garde(skip)]
    #[serde(default)]
    pub front: Option<usize>,
    #[garde(skip)]
    #[serde(default)]
    pub other: Option<usize>,
    #[garde(skip)]
    #[serde(default)]
    pub side: Vec<usize>,
    /// The number of a member or group; see the kind of fault.
    #[garde(skip)]
    #[serde(default)]
    pub number: usize,
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default)]
    pub share: Option<f64>,
    #[garde(inner(range(min = 0.0, max = 1e7)))]
    #[serde(default)]
    pub by: Option<f64>,
}

/// A fleet of processes, its load, and the faults injected into it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Schedule {
    #[garde(length(min = 1, max = 120))]
    pub title: String,
    #[garde(range(min = 1, max = 40))]
    pub fronts: usize,
    #[garde(range(min = 1, max = 20))]
    pub groups: usize,
    #[garde(range(min = 2, max = 9))]
    pub members: usize,
    #[garde(range(min = 0.0, max = 5000.0))]
    pub per_second: f64,
    #[garde(range(min = 1.0, max = 3600.0))]
    pub lasts_s: f64,
    /// The fronts' membership period.
    #[garde(range(min = 50, max = 10_000))]
    pub every_ms: u64,
    /// Fronts that use the older protocol version.
    #[garde(skip)]
    pub older: Vec<usize>,
    /// How often a client retries after a decline or a missing answer.
    #[garde(range(min = 0, max = 100))]
    pub retries: u32,
    /// The share of clients that leave before they have their answer.
    #[garde(range(min = 0.0, max = 1.0))]
    pub leaves: f64,
    /// The descriptor limit of each front.
    #[garde(range(min = 52, max = 1024))]
    pub sockets: u32,
    /// The memory limit of each front.
    #[garde(range(min = 16, max = 4096))]
    pub memory_mb: u64,
    /// Terminating processes get further signals, and are killed at the end of the fault whether or not they have
    /// exited. Requests left without an answer then show in the history.
    #[garde(skip)]
    pub kills_the_ending: bool,
    /// The expiry of every txn; its client waits for at least two fifths of it.
    #[garde(range(min = 100, max = 60_000))]
    pub expiry_ms: u64,
    /// The range of the time from the loss of a primary to the election of its successor.
    #[garde(inner(range(min = 10.0, max = 60_000.0)))]
    pub lost_ms: [f64; 2],
    /// Whether the fronts run the membership protocol.
    #[garde(skip)]
    pub fellows: bool,
    /// Whether each fleet task has a single owner.
    #[garde(skip)]
    pub duties: bool,
    #[garde(dive)]
    pub mishaps: Vec<InjectedFault>,
}

impl Default for Schedule {
    fn default() -> Self {
        Schedule {
            title: "A fleet".to_owned(),
            fronts: 3,
            groups: 2,
            members: 3,
            per_second: 60.0,
            lasts_s: 20.0,
            every_ms: 500,
            older: Vec::new(),
            retries: 2,
            leaves: 0.0,
            sockets: 1024,
            memory_mb: 192,
            kills_the_ending: false,
            expiry_ms: 1500,
            lost_ms: [1100.0, 2700.0],
            fellows: true,
            duties: false,
            mishaps: Vec::new(),
        }
    }
}

/// Reads a schedule; each error names its line and field.
pub fn read(text: &str) -> Result<Schedule, Vec<Fault>> {
    let schedule: Schedule = juniperdock_operator_config::read_as(text)?;
    let faults = schedule.inconsistencies();
    if !faults.is_empty() {
        return Err(faults.into_iter().map(|(field, why)| fault(text, &field, why)).collect());
    }
    Ok(schedule)
}

impl Schedule {
    fn inconsistencies(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        for (i, m) in self.mishaps.iter().enumerate() {
            let mut wrong =
                |name: &str, why: &str| faults.push((format!("mishaps[{i}].{name}"), why.to_owned()));
            if m.at_s + m.lasts_s > self.lasts_s {
                wrong("at_s", "it ends after the end");
            }
            let fronts = [m.front, m.other].into_iter().flatten().chain(m.side.iter().copied());
            if fronts.into_iter().any(|front| front >= self.fronts) {
                wrong("front", "there is no such front");
            }
            let needs_front = matches!(
                m.what,
                FaultKind::FrontKilled
                    | FaultKind::FrontEnded
                    | FaultKind::FrontStopped
                    | FaultKind::FrontSlow
                    | FaultKind::Upgraded
                    | FaultKind::OneWay
                    | FaultKind::Unheard
                    | FaultKind::Flooded
                    | FaultKind::MembersCut
                    | FaultKind::ListCut
                    | FaultKind::MoveOrdered
                    | FaultKind::RollOrdered
                    | FaultKind::Crowd
                    | FaultKind::MisbehavingClients
            );
            if needs_front && m.front.is_none() {
                wrong("what", "expected a front");
            }
            if m.what == FaultKind::OneWay && m.other.is_none() {
                wrong("what", "expected other");
            }
            if m.what == FaultKind::Apart && (m.side.is_empty() || m.side.len() >= self.fronts) {
                wrong("what", "expected some of the fronts as side, not all");
            }
            if (matches!(m.what, FaultKind::Lost | FaultKind::Doubled | FaultKind::Bent)
                || m.targets_machine_calls())
                && m.share.is_none()
            {
                wrong("what", "expected a share");
            }
            let rate = matches!(
                m.what,
                FaultKind::Late
                    | FaultKind::Replayed
                    | FaultKind::Forged
                    | FaultKind::Flooded
                    | FaultKind::HeldUp
                    | FaultKind::ClockStepped
                    | FaultKind::Crowd
            );
            if rate && m.by.is_none() {
                wrong("what", "expected by");
            }
            let most = match m.what {
                what if FaultKind::PRIMARY.contains(&what) || what == FaultKind::MoveOrdered => self.groups,
                FaultKind::MemberDrained => self.groups * self.members,
                FaultKind::RollOrdered => 5,
                _ => usize::MAX,
            };
            if m.number >= most {
                wrong("number", "there is no such group or member");
            }
        }
        faults
    }

    /// When the last fault ends.
    pub fn healed_s(&self) -> f64 {
        self.mishaps.iter().map(|m| m.at_s + m.lasts_s).fold(0.0, f64::max)
    }

    /// One front and three groups whose primaries are lost repeatedly, in each way in an order drawn from the seed.
    /// Sometimes the successor is killed while the previous primary is still away.
    pub fn primaries(seed: u64, lasts_s: f64) -> Schedule {
        let mut schedule = Schedule {
            title: format!("Primaries that change, from seed {seed}"),
            fronts: 1,
            groups: 3,
            members: 3 + (seed % 3) as usize,
            per_second: 180.0,
            retries: 0,
            expiry_ms: 4000,
            lost_ms: [250.0, 700.0],
            fellows: false,
            ..Schedule::default()
        };
        for number in 0..schedule.groups {
            let mut random = Stream::of(seed, "primaries", number);
            let (mut at_s, mut left) = (1.0 + random.share() / 2.0, Vec::new());
            while at_s < lasts_s {
                if left.is_empty() {
                    left = FaultKind::PRIMARY.to_vec();
                }
                let what = left.swap_remove(random.below(left.len()));
                let mut lost = |what, at_s, lasts_s| {
                    let (front, other, side, share, by) = (None, None, Vec::new(), None, None);
                    schedule.mishaps.push(InjectedFault {
                        at_s,
                        lasts_s,
                        what,
                        front,
                        other,
                        side,
                        number,
                        share,
                        by,
                    });
                };
                // A primary cut off from the fronts keeps its role, so the cut can have any length.
                let cut = what == FaultKind::PrimaryCut;
                let away = if cut { 0.3 + 0.6 * random.share() } else { 0.9 + 0.5 * random.share() };
                lost(what, at_s, away);
                if !cut && random.below(4) == 0 {
                    lost(FaultKind::PrimaryKilled, at_s + 0.8, 0.05 + 0.25 * random.share());
                }
                at_s += away + 0.8 + 0.7 * random.share();
            }
        }
        schedule.lasts_s = schedule.healed_s() + 2.0;
        schedule
    }

    /// Owners that are stopped, killed, cut off and slowed, drawn from the seed, one after the other and overlapping,
    /// while planned changes are ordered; then a quiet period.
    pub fn owners(seed: u64, fronts: usize, lasts_s: f64) -> Schedule {
        const OWNER_FAULTS: [FaultKind; 8] = [
            FaultKind::FrontStopped,
            FaultKind::FrontKilled,
            FaultKind::Late,
            FaultKind::Apart,
            FaultKind::FrontStopped,
            FaultKind::Unheard,
            FaultKind::FrontEnded,
            FaultKind::FrontSlow,
        ];
        let mut random = Stream::of(seed, "owners", 0);
        let mut schedule = Schedule {
            title: format!("Owners that go, from seed {seed}"),
            fronts,
            per_second: 240.0,
            every_ms: 250,
            duties: true,
            ..Schedule::default()
        };
        let plain = |what, at_s: f64, lasts_s: f64| {
            let (front, other, side, number, share, by) = (None, None, Vec::new(), 0, None, None);
            InjectedFault { at_s, lasts_s, what, front, other, side, number, share, by }
        };
        let (mut at_s, mut left, mut next_move_s) = (4.5, Vec::new(), 5.0);
        // Each front is chosen once before any is chosen again.
        let mut unused_fronts: Vec<usize> = Vec::new();
        while at_s < lasts_s {
            if left.is_empty() {
                left = OWNER_FAULTS.to_vec();
            }
            if unused_fronts.is_empty() {
                unused_fronts = (0..fronts).collect();
            }
            let what = left.swap_remove(random.below(left.len()));
            let front = unused_fronts.swap_remove(random.below(unused_fronts.len()));
            let span = if what == FaultKind::FrontEnded { 4.0 } else { 2.2 + random.share() };
            match what {
                // Its datagrams are still in flight while it is stopped and another front takes over.
                FaultKind::Late => {
                    let late =
                        InjectedFault { front: Some(front), by: Some(4500.0), ..plain(what, at_s, 1.0) };
                    schedule.mishaps.push(late);
                    let stopped = plain(FaultKind::FrontStopped, at_s + 0.9, span);
                    schedule.mishaps.push(InjectedFault { front: Some(front), ..stopped });
                }
                FaultKind::Apart => {
                    let other = (front + 1 + random.below(fronts - 1)) % fronts;
                    schedule
                        .mishaps
                        .push(InjectedFault { side: vec![front, other], ..plain(what, at_s, span) });
                }
                _ => schedule.mishaps.push(InjectedFault { front: Some(front), ..plain(what, at_s, span) }),
            }
            if at_s >= next_move_s {
                let (number, front) = (random.below(schedule.groups), random.below(fronts));
                let order = plain(FaultKind::MoveOrdered, at_s + 0.5, 0.0);
                schedule.mishaps.push(InjectedFault { front: Some(front), number, ..order });
                next_move_s += 4.0;
            }
            at_s += 1.3 + 0.7 * random.share();
        }
        schedule.lasts_s = schedule.healed_s() + 6.0;
        schedule
    }

    /// The same schedule, with the wall clock of each front stepped every two seconds by an hour or some seconds,
    /// forward or back, until the last fault is over. Processes that start meanwhile start with the stepped clock.
    #[must_use]
    pub fn with_clock_steps(mut self) -> Schedule {
        const EVERY_S: f64 = 2.0;
        const STEPS_MS: [i32; 4] = [3_600_000, -3_600_000, 3_000, -5_000];
        let steps = (self.healed_s() / EVERY_S) as usize;
        for front in 0..self.fronts {
            for step in 0..steps {
                let off_ms = STEPS_MS[(front + step) % STEPS_MS.len()];
                self.mishaps.push(InjectedFault {
                    at_s: step as f64 * EVERY_S,
                    lasts_s: EVERY_S,
                    what: FaultKind::ClockStepped,
                    front: Some(front),
                    other: None,
                    side: Vec::new(),
                    number: usize::from(off_ms < 0),
                    share: Some(1.0),
                    by: Some(f64::from(off_ms.unsigned_abs())),
                });
            }
        }
        self
    }

    /// A schedule drawn from a seed: faults one after the other and overlapping, then a quiet period.
    pub fn random(seed: u64, fronts: usize, fault_count: usize, calm_s: f64) -> Schedule {
        let mut random = Stream::of(seed, "mishaps", 0);
        let mut schedule = Schedule {
            title: format!("Drawn from seed {seed}"),
            fronts,
            per_second: 90.0,
            ..Schedule::default()
        };
        let mut at_s = 2.5;
        // Each kind once before any is repeated.
        let mut left: Vec<FaultKind> = Vec::new();
        for _ in 0..fault_count {
            if left.is_empty() {
                left = FaultKind::ALL.to_vec();
            }
            let what = left.swap_remove(random.below(left.len()));
            let front = random.below(fronts);
            let other = (front + 1 + random.below(fronts - 1)) % fronts;
            let mut side: Vec<usize> = (0..fronts).collect();
            let size = 1 + random.below(fronts / 2);
            for i in 0..size {
                let with = i + random.below(fronts - i);
                side.swap(i, with);
            }
            side.truncate(size);
            let lasts_s = match what {
                FaultKind::FrontKilled | FaultKind::FrontStopped | FaultKind::Apart | FaultKind::Unheard => {
                    3.0 + 3.0 * random.share()
                }
                FaultKind::FrontEnded => 4.0,
                FaultKind::Upgraded => 1.5,
                FaultKind::Flooded => 1.5,
                _ => 2.0 + 3.0 * random.share(),
            };
            let number = match what {
                FaultKind::PrimaryKilled => random.below(schedule.groups),
                FaultKind::MemberDrained => random.below(schedule.groups * schedule.members),
                _ => 0,
            };
            let share = match what {
                FaultKind::Lost => Some(0.1 + 0.3 * random.share()),
                FaultKind::Doubled | FaultKind::Bent => Some(0.1 + 0.5 * random.share()),
                _ => None,
            };
            let by = match what {
                FaultKind::Late => Some(20.0 + 280.0 * random.share()),
                FaultKind::Replayed | FaultKind::Forged => Some(5.0 + 20.0 * random.share()),
                FaultKind::Flooded => Some(50_000.0),
                _ => None,
            };
            // Only one fault affects a process at a time.
            let busy = |front: usize| {
                schedule.mishaps.iter().any(|m: &InjectedFault| {
                    m.targets_process() && m.front == Some(front) && m.at_s + m.lasts_s + 1.0 > at_s
                })
            };
            let whole = matches!(
                what,
                FaultKind::Lost
                    | FaultKind::Doubled
                    | FaultKind::Bent
                    | FaultKind::Late
                    | FaultKind::Replayed
                    | FaultKind::Forged
            );
            let front = (0..fronts).map(|i| (front + i) % fronts).find(|&f| !busy(f)).unwrap_or(front);
            let other = if other == front { (front + 1) % fronts } else { other };
            let fault = InjectedFault {
                at_s,
                lasts_s,
                what,
                front: Some(front).filter(|_| !whole),
                other: Some(other).filter(|_| what == FaultKind::OneWay),
                side: if what == FaultKind::Apart { side } else { Vec::new() },
                number,
                share,
                by,
            };
            schedule.mishaps.push(fault);
            at_s += 1.2 + 1.2 * random.share();
        }
        schedule.lasts_s = schedule.healed_s() + calm_s;
        schedule
    }
}

impl InjectedFault {
    /// Whether it affects members, and not the fronts or the links between them.
    pub fn targets_members(&self) -> bool {
        FaultKind::PRIMARY.contains(&self.what) || self.what == FaultKind::MemberDrained
    }

    /// Whether it affects system calls, through the preloaded library.
    pub fn targets_machine_calls(&self) -> bool {
        matches!(
            self.what,
            FaultKind::HeldUp
                | FaultKind::CallsFail
                | FaultKind::ShortCalls
                | FaultKind::ConnectionsBreak
                | FaultKind::ClockStepped
                | FaultKind::DiskFails
        )
    }

    /// Whether it affects the process as a whole.
    pub fn targets_process(&self) -> bool {
        matches!(
            self.what,
            FaultKind::FrontKilled
                | FaultKind::FrontEnded
                | FaultKind::FrontStopped
                | FaultKind::FrontSlow
                | FaultKind::Upgraded
        )
    }
}
