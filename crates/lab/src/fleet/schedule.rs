//! What befalls a fleet of processes, from a file in JSON5 or drawn from a seed.

use garde::Validate;
use juniperdock_emulator::Stream;
use juniperdock_operator_config::{Fault, fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What goes wrong. `front` and `other` say where; without `other`, to and from all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Harm")]
pub enum FaultKind {
    /// The process is killed, and starts again at the end with the same name and address.
    FrontKilled,
    /// The process is told to end, and starts again at the end.
    FrontEnded,
    /// The process is stopped, and goes on at the end.
    FrontStopped,
    /// The process is stopped and continued in short turns.
    FrontSlow,
    /// The process hands over to a new one.
    Upgraded,
    /// The fronts of `side` and the others do not hear each other.
    Apart,
    /// Nothing of what `front` sends comes to `other`.
    OneWay,
    /// `front` hears all and is heard by none.
    Unheard,
    /// A `share` of datagrams, on all ways or those of `front`.
    Lost,
    Doubled,
    Bent,
    /// Later by up to `by` milliseconds, so that their order changes.
    Late,
    /// `by` old datagrams, or forged ones, a second on each way to `front`.
    Replayed,
    Forged,
    /// `by` forged datagrams a second to `front`, from one other.
    Flooded,
    /// `front` reaches no member.
    MembersCut,
    /// `front` hears nothing from the list; all comes at the end.
    ListCut,
    /// The primary of group `number` ends, and starts again cold.
    PrimaryKilled,
    /// It says nothing, and goes on where it stood.
    PrimaryHung,
    /// No front reaches it; the other members do.
    PrimaryCut,
    /// Fronts reach it; the other members do not.
    PrimaryApart,
    /// The list says that it drains; it hands over, and starts again cold.
    PrimaryDrained,
    /// It hands over, and nobody is told.
    PrimaryMoved,
    /// Member `number` drains, and starts again cold.
    MemberDrained,
    /// `front` is asked to roll the fleet, `number` fronts at once (1 where it is 0).
    RollOrdered,
    /// Calls of the process on sockets stand still for up to `by` milliseconds, a `share` of them. This and the next
    /// five meet all fronts where none is named.
    HeldUp,
    /// A `share` of accept, socket and connect fails.
    CallsFail,
    /// A `share` of reads and writes moves a part only, and as many are interrupted.
    ShortCalls,
    /// A `share` of the reads from members finds the connection broken.
    ConnectionsBreak,
    /// The wall clock is `by` milliseconds ahead, or behind for an odd `number`.
    ClockStepped,
    /// A `share` of the writes and syncs of files fails.
    DiskFails,
    /// `by` idle clients a second come to `front` and stay.
    Crowd,
    /// `front` is asked for a planned change of group `number`; once all hold, its primary hands over.
    MoveOrdered,
}

impl FaultKind {
    /// The ways in which a primary is lost.
    pub const PRIMARY: [FaultKind; 6] = [
        FaultKind::PrimaryKilled,
        FaultKind::PrimaryHung,
        FaultKind::PrimaryCut,
        FaultKind::PrimaryApart,
        FaultKind::PrimaryDrained,
        FaultKind::PrimaryMoved,
    ];
    /// What a fleet's day is drawn from.
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
    /// A member or group.
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

/// Processes, their load, and what befalls them.
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
    /// The fronts' own period.
    #[garde(range(min = 50, max = 10_000))]
    pub every_ms: u64,
    /// Fronts that speak the older version.
    #[garde(skip)]
    pub older: Vec<usize>,
    /// How often a client asks again that was declined or not answered.
    #[garde(range(min = 0, max = 100))]
    pub retries: u32,
    /// A share of the clients that leave before they have their answer.
    #[garde(range(min = 0.0, max = 1.0))]
    pub leaves: f64,
    /// The descriptors of each front.
    #[garde(range(min = 52, max = 1024))]
    pub sockets: u32,
    /// Processes that are told to end get further signals meanwhile, and are killed at the end of the mishap whether or not
    /// they have ended: what is left without an answer then shows in the history.
    #[garde(skip)]
    pub kills_the_ending: bool,
    /// The time of every txn; its client waits for two fifths of it at least.
    #[garde(range(min = 100, max = 60_000))]
    pub expiry_ms: u64,
    /// From a primary's loss until another follows.
    #[garde(inner(range(min = 10.0, max = 60_000.0)))]
    pub lost_ms: [f64; 2],
    /// Whether the fronts know each other at all.
    #[garde(skip)]
    pub fellows: bool,
    /// Whether work on behalf of all has one owner.
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
            kills_the_ending: false,
            expiry_ms: 1500,
            lost_ms: [1100.0, 2700.0],
            fellows: true,
            duties: false,
            mishaps: Vec::new(),
        }
    }
}

/// Reads a schedule; every fault is told with its line and field.
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

    /// When the last mishap ends.
    pub fn healed_s(&self) -> f64 {
        self.mishaps.iter().map(|m| m.at_s + m.lasts_s).fold(0.0, f64::max)
    }

    /// One front, and primaries of three groups that are lost again and again for so long, in turn in each way,
    /// in an order by the seed; now and then the successor dies while the old one is still away.
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
            let mut chance = Stream::of(seed, "primaries", number);
            let (mut at_s, mut left) = (1.0 + chance.share() / 2.0, Vec::new());
            while at_s < lasts_s {
                if left.is_empty() {
                    left = FaultKind::PRIMARY.to_vec();
                }
                let what = left.swap_remove(chance.below(left.len()));
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
                // One that is cut from the fronts keeps its slot: it lasts as long as it lasts.
                let cut = what == FaultKind::PrimaryCut;
                let away = if cut { 0.3 + 0.6 * chance.share() } else { 0.9 + 0.5 * chance.share() };
                lost(what, at_s, away);
                if !cut && chance.below(4) == 0 {
                    lost(FaultKind::PrimaryKilled, at_s + 0.8, 0.05 + 0.25 * chance.share());
                }
                at_s += away + 0.8 + 0.7 * chance.share();
            }
        }
        schedule.lasts_s = schedule.healed_s() + 2.0;
        schedule
    }

    /// Owners that are stopped, killed, cut off and slowed by the seed, one after the other and over each other, while
    /// planned changes are ordered; then calm.
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
        let mut chance = Stream::of(seed, "owners", 0);
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
        // Whoever was met before comes later again: all fronts have their turn.
        let mut unused_fronts: Vec<usize> = Vec::new();
        while at_s < lasts_s {
            if left.is_empty() {
                left = OWNER_FAULTS.to_vec();
            }
            if unused_fronts.is_empty() {
                unused_fronts = (0..fronts).collect();
            }
            let what = left.swap_remove(chance.below(left.len()));
            let front = unused_fronts.swap_remove(chance.below(unused_fronts.len()));
            let span = if what == FaultKind::FrontEnded { 4.0 } else { 2.2 + chance.share() };
            match what {
                // What it sends lies on its way while it is stopped and another takes over.
                FaultKind::Late => {
                    let late =
                        InjectedFault { front: Some(front), by: Some(4500.0), ..plain(what, at_s, 1.0) };
                    schedule.mishaps.push(late);
                    let stopped = plain(FaultKind::FrontStopped, at_s + 0.9, span);
                    schedule.mishaps.push(InjectedFault { front: Some(front), ..stopped });
                }
                FaultKind::Apart => {
                    let other = (front + 1 + chance.below(fronts - 1)) % fronts;
                    schedule
                        .mishaps
                        .push(InjectedFault { side: vec![front, other], ..plain(what, at_s, span) });
                }
                _ => schedule.mishaps.push(InjectedFault { front: Some(front), ..plain(what, at_s, span) }),
            }
            if at_s >= next_move_s {
                let (number, front) = (chance.below(schedule.groups), chance.below(fronts));
                let order = plain(FaultKind::MoveOrdered, at_s + 0.5, 0.0);
                schedule.mishaps.push(InjectedFault { front: Some(front), number, ..order });
                next_move_s += 4.0;
            }
            at_s += 1.3 + 0.7 * chance.share();
        }
        schedule.lasts_s = schedule.healed_s() + 6.0;
        schedule
    }

    /// The same, while the wall clock of each front is stepped every two seconds, an hour or some seconds forward or back,
    /// until the last mishap is over. Processes that start meanwhile start under the clock as it is then.
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

    /// A day of so many fronts drawn from a seed: mishaps one after the other and over each other, then calm.
    pub fn drawn(seed: u64, fronts: usize, fault_count: usize, calm_s: f64) -> Schedule {
        let mut chance = Stream::of(seed, "mishaps", 0);
        let mut schedule = Schedule {
            title: format!("Drawn from seed {seed}"),
            fronts,
            per_second: 90.0,
            ..Schedule::default()
        };
        let mut at_s = 2.5;
        // Each kind once before any comes again.
        let mut left: Vec<FaultKind> = Vec::new();
        for _ in 0..fault_count {
            if left.is_empty() {
                left = FaultKind::ALL.to_vec();
            }
            let what = left.swap_remove(chance.below(left.len()));
            let front = chance.below(fronts);
            let other = (front + 1 + chance.below(fronts - 1)) % fronts;
            let mut side: Vec<usize> = (0..fronts).collect();
            let size = 1 + chance.below(fronts / 2);
            for i in 0..size {
                let with = i + chance.below(fronts - i);
                side.swap(i, with);
            }
            side.truncate(size);
            let lasts_s = match what {
                FaultKind::FrontKilled | FaultKind::FrontStopped | FaultKind::Apart | FaultKind::Unheard => {
                    3.0 + 3.0 * chance.share()
                }
                FaultKind::FrontEnded => 4.0,
                FaultKind::Upgraded => 1.5,
                FaultKind::Flooded => 1.5,
                _ => 2.0 + 3.0 * chance.share(),
            };
            let number = match what {
                FaultKind::PrimaryKilled => chance.below(schedule.groups),
                FaultKind::MemberDrained => chance.below(schedule.groups * schedule.members),
                _ => 0,
            };
            let share = match what {
                FaultKind::Lost => Some(0.1 + 0.3 * chance.share()),
                FaultKind::Doubled | FaultKind::Bent => Some(0.1 + 0.5 * chance.share()),
                _ => None,
            };
            let by = match what {
                FaultKind::Late => Some(20.0 + 280.0 * chance.share()),
                FaultKind::Replayed | FaultKind::Forged => Some(5.0 + 20.0 * chance.share()),
                FaultKind::Flooded => Some(50_000.0),
                _ => None,
            };
            // One process is met by one thing at a time.
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
            at_s += 1.2 + 1.2 * chance.share();
        }
        schedule.lasts_s = schedule.healed_s() + calm_s;
        schedule
    }
}

impl InjectedFault {
    /// It meets members, not fronts or the ways between them.
    pub fn targets_members(&self) -> bool {
        FaultKind::PRIMARY.contains(&self.what) || self.what == FaultKind::MemberDrained
    }

    /// It meets the machine's calls, through the library that the rig loads.
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

    /// It meets the process itself.
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
