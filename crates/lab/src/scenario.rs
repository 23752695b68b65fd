//! Scenarios: a fleet, its load, the faults injected into it, and the results expected of the fronts.
//! Scenario files are JSON5; errors are reported with line and field.

use garde::Validate;
use juniperdock_emulator::{
    ClientLoad, Election, Kind, Log, MemberFault, Node, ScheduledFault, Shape, Targets, What,
};
use juniperdock_operator_config::{Fault, fault};
use juniperdock_router::host::{ColdStart, Consistency, Effect, Scope, TxnType};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Consistency that a txn type needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// Accepted by the primary only.
    Write,
    /// Reads data that is at most `bound_ms` old.
    Bounded,
    /// Reads data of any age.
    Loose,
}

/// Whether a txn type may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Runs {
    Repeatable,
    /// The group discards duplicates for `marks_ms`.
    Referenced,
    OnceOnly,
}

/// A txn type in the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct OfKind {
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Weight of this type among all txns, relative to the other types.
    #[garde(range(min = 0.0, max = 1e6))]
    pub part: f64,
    #[garde(skip)]
    pub reads: Reads,
    #[garde(skip)]
    pub runs: Runs,
    #[garde(range(min = 1, max = 600_000))]
    pub bound_ms: u64,
    /// Minimum and maximum CPU time on one core.
    #[garde(custom(ordered))]
    pub work_ms: [f64; 2],
    #[garde(range(min = 1, max = 600_000))]
    pub sla_ms: u64,
    #[garde(range(min = 1, max = 600_000))]
    pub expiry_ms: u64,
    #[garde(range(min = 0.0, max = 1e6))]
    pub value: f64,
    /// Share of the value that remains after the SLA time.
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_value: f64,
}

impl Default for OfKind {
    fn default() -> Self {
        OfKind {
            name: "lookup".to_owned(),
            part: 1.0,
            reads: Reads::Loose,
            runs: Runs::Repeatable,
            bound_ms: 300,
            work_ms: [10.0, 20.0],
            sla_ms: 300,
            expiry_ms: 1000,
            value: 1.0,
            late_value: 0.0,
        }
    }
}

/// The emulated fronts and members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    #[garde(range(min = 1, max = 64))]
    pub zones: usize,
    #[garde(range(min = 1, max = 2000))]
    pub fronts: usize,
    /// Whether the fronts run the membership protocol among themselves.
    #[garde(skip)]
    pub fellows: bool,
    #[garde(range(min = 1, max = 10_000))]
    pub groups: usize,
    /// Members per group.
    #[garde(range(min = 1, max = 100))]
    pub members: usize,
    #[garde(range(min = 0.1, max = 1024.0))]
    pub cores: f64,
    #[garde(range(min = 1, max = 100_000))]
    pub slots: usize,
    #[garde(range(min = 0, max = 100_000))]
    pub waiting: usize,
    /// Txns per core above which each additional one slows the member down.
    #[garde(range(min = 1.0, max = 1e6))]
    pub thrash: f64,
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    #[garde(range(min = 0.0, max = 1000.0))]
    pub handshake_ms: f64,
    #[garde(range(min = 0.0, max = 1000.0))]
    pub probe_ms: f64,
    /// One-way latency within a zone (`near_ms`) and between zones (`far_ms`).
    #[garde(range(min = 0.01, max = 1000.0))]
    pub near_ms: f64,
    #[garde(range(min = 0.01, max = 1000.0))]
    pub far_ms: f64,
    #[garde(range(min = 1, max = 60_000))]
    pub report_every_ms: u64,
    #[garde(custom(ordered))]
    pub list_late_ms: [f64; 2],
    /// Share of its capacity that a member has when it starts; `warm_up_ms` is the time until full capacity.
    #[garde(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    #[garde(range(min = 1, max = 600_000))]
    pub warm_up_ms: u64,
    /// A cold member crashes when it receives this multiple of its capacity for `falls_after_ms`.
    #[garde(range(min = 1.0, max = 100.0))]
    pub falls_at: f64,
    #[garde(range(min = 1, max = 60_000))]
    pub falls_after_ms: u64,
    #[garde(range(min = 0.01, max = 1000.0))]
    pub ship_ms: f64,
    #[garde(range(min = 0.0, max = 1000.0))]
    pub apply_ms: f64,
    /// Reads that take longer than this block log replay on their member.
    #[garde(range(min = 1.0, max = 1e6))]
    pub blocks_ms: f64,
    /// Writes are answered only after a replica has received them.
    #[garde(skip)]
    pub synchronous: bool,
    #[garde(range(min = 0, max = 25_000))]
    pub copy_ms: u64,
    #[garde(range(min = 1, max = 25_000))]
    pub marks_ms: u64,
    #[garde(custom(ordered))]
    pub noticed_ms: [f64; 2],
    #[garde(custom(ordered))]
    pub elected_ms: [f64; 2],
    #[garde(custom(ordered))]
    pub handed_ms: [f64; 2],
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            zones: 2,
            fronts: 2,
            fellows: false,
            groups: 3,
            members: 3,
            cores: 2.0,
            slots: 16,
            waiting: 48,
            thrash: 8.0,
            connections: 400,
            handshake_ms: 1.0,
            probe_ms: 0.3,
            near_ms: 0.2,
            far_ms: 0.8,
            report_every_ms: 100,
            list_late_ms: [300.0, 1500.0],
            cold_share: 0.25,
            warm_up_ms: 6000,
            falls_at: 2.5,
            falls_after_ms: 1500,
            ship_ms: 4.0,
            apply_ms: 2.0,
            blocks_ms: 200.0,
            synchronous: true,
            copy_ms: 3000,
            marks_ms: 2000,
            noticed_ms: [600.0, 1200.0],
            elected_ms: [500.0, 1500.0],
            handed_ms: [200.0, 600.0],
        }
    }
}

/// The load that clients generate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    #[garde(range(min = 0.0, max = 1e6))]
    pub per_second: f64,
    /// Multiplier of `per_second` for each second of the run; the last one applies from then on.
    #[garde(inner(range(min = 0.0, max = 1000.0)))]
    pub series: Vec<f64>,
    /// Exponent of the Zipf distribution over the groups; 0 loads all groups equally.
    #[garde(range(min = 0.0, max = 5.0))]
    pub skew: f64,
    /// Minimum and maximum share of the expiry for which a client waits.
    #[garde(custom(ordered))]
    pub patience: [f64; 2],
    #[garde(range(min = 0, max = 100))]
    pub retries: u32,
    #[garde(custom(ordered))]
    pub back_off_ms: [f64; 2],
    #[garde(length(min = 1, max = 100), dive)]
    pub kinds: Vec<OfKind>,
}

impl Default for Load {
    fn default() -> Self {
        let lookup = OfKind { reads: Reads::Bounded, part: 6.0, ..OfKind::default() };
        let browse = OfKind {
            name: "browse".to_owned(),
            part: 2.0,
            sla_ms: 400,
            expiry_ms: 1500,
            late_value: 0.2,
            ..OfKind::default()
        };
        let commit = OfKind {
            name: "commit".to_owned(),
            part: 2.0,
            reads: Reads::Write,
            runs: Runs::Referenced,
            sla_ms: 600,
            expiry_ms: 2000,
            value: 6.0,
            late_value: 0.3,
            ..OfKind::default()
        };
        Load {
            per_second: 300.0,
            series: Vec::new(),
            skew: 0.0,
            patience: [0.4, 1.0],
            retries: 2,
            back_off_ms: [50.0, 200.0],
            kinds: vec![lookup, browse, commit],
        }
    }
}

/// Kind of fault. `by` is the factor by which something gets slower, later or more, or the share that fails.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Befalls {
    Killed,
    Hung,
    Slow,
    Errors,
    Drained,
    Replaced,
    CutFromFronts,
    CutFromPeers,
    Lags,
    LosesAnswers,
    LiesIdle,
    Moved,
    ZoneCut,
    ListSilent,
    ListLate,
    ListWrong,
    FrontStands,
    FrontKilled,
    Surge,
}

/// Target of a fault: a member or zone by its number, or members of a group by the group's number.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Of {
    Member,
    Primary,
    Replicas,
    Zone,
    All,
    /// `share` of all members, selected at random from the seed.
    Some,
}

/// A fault that is injected at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Befallen {
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub at_s: f64,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub lasts_s: f64,
    #[garde(skip)]
    pub what: Befalls,
    #[garde(skip)]
    #[serde(default)]
    pub of: Option<Of>,
    /// Number of the member, group, zone or front, counted from 0.
    #[garde(skip)]
    #[serde(default)]
    pub number: usize,
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default)]
    pub share: Option<f64>,
    #[garde(inner(range(min = 0.0, max = 10_000.0)))]
    #[serde(default)]
    pub by: Option<f64>,
}

/// Results that a run is expected to reach.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// Value answered in time divided by value requested, over the whole run; `worst_window` is the same
    /// ratio in the worst five seconds.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    pub served: Option<f64>,
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    pub worst_window: Option<f64>,
    /// Seconds from the end of the last fault until service is back at its level before the faults.
    #[garde(inner(range(min = 0.0, max = 86_400.0)))]
    pub recovered_s: Option<f64>,
}

/// A complete scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    #[garde(length(min = 1, max = 120))]
    pub title: String,
    /// Description in one or two sentences.
    #[garde(skip)]
    pub about: String,
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub lasts_s: f64,
    #[garde(dive)]
    pub fleet: Fleet,
    #[garde(dive)]
    pub load: Load,
    #[garde(dive)]
    pub troubles: Vec<Befallen>,
    #[garde(dive)]
    pub expect: Expect,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            title: "A calm day".to_owned(),
            about: String::new(),
            lasts_s: 20.0,
            fleet: Fleet::default(),
            load: Load::default(),
            troubles: Vec::new(),
            expect: Expect::default(),
        }
    }
}

fn ordered(range: &[f64; 2], _: &()) -> garde::Result {
    let [least, most] = *range;
    if least < 0.0 || least > most || !most.is_finite() || most > 1e9 {
        return Err(garde::Error::new("expected a minimum and a maximum, in this order"));
    }
    Ok(())
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

fn range([least, most]: [f64; 2]) -> (Duration, Duration) {
    (ms(least), ms(most))
}

/// Parses and validates a scenario; every error is reported with its line and field.
pub fn read(text: &str) -> Result<Scenario, Vec<Fault>> {
    let scenario: Scenario = juniperdock_operator_config::read_as(text)?;
    let faults = scenario.validate_consistency();
    if !faults.is_empty() {
        return Err(faults.into_iter().map(|(field, why)| fault(text, &field, why)).collect());
    }
    Ok(scenario)
}

impl Scenario {
    /// Validates constraints between fields; returns the field and the reason for each violation.
    fn validate_consistency(&self) -> Vec<(String, String)> {
        let (fleet, mut faults) = (&self.fleet, Vec::new());
        let members = fleet.groups * fleet.members;
        if members > 20_000 {
            faults.push((
                "fleet.members".to_owned(),
                format!("expected at most 20000 members in all, found {members}"),
            ));
        }
        for (i, kind) in self.load.kinds.iter().enumerate() {
            if self.load.kinds[..i].iter().any(|other| other.name == kind.name) {
                faults.push((
                    format!("load.kinds[{i}].name"),
                    format!("{:?} is defined more than once", kind.name),
                ));
            }
            if kind.reads == Reads::Write && kind.runs == Runs::Repeatable {
                continue;
            }
            if kind.reads != Reads::Write && kind.runs != Runs::Repeatable {
                faults.push((format!("load.kinds[{i}].runs"), "expected repeatable for a read".to_owned()));
            }
        }
        if self.load.kinds.iter().map(|kind| kind.part).sum::<f64>() <= 0.0 {
            faults.push(("load.kinds".to_owned(), "expected at least one part greater than 0".to_owned()));
        }
        for (i, trouble) in self.troubles.iter().enumerate() {
            let mut report = |name: &str, why: String| faults.push((format!("troubles[{i}].{name}"), why));
            if trouble.at_s + trouble.lasts_s > self.lasts_s {
                report(
                    "at_s",
                    format!(
                        "the fault ends {} s after the end of the scenario",
                        trouble.at_s + trouble.lasts_s - self.lasts_s
                    ),
                );
            }
            let fleet_wide = matches!(trouble.what, Befalls::ListSilent | Befalls::ListLate | Befalls::Surge);
            let by_number =
                matches!(trouble.what, Befalls::ZoneCut | Befalls::FrontStands | Befalls::FrontKilled);
            let (most, what) = match (trouble.what, trouble.of) {
                _ if fleet_wide => (usize::MAX, ""),
                (Befalls::ZoneCut, _) => (fleet.zones, "zones"),
                (Befalls::FrontStands | Befalls::FrontKilled, _) => (fleet.fronts, "fronts"),
                (_, None) => {
                    report("what", "expected of: member, primary, replicas, zone, all or some".to_owned());
                    continue;
                }
                (_, Some(Of::Member)) => (members, "members"),
                (_, Some(Of::Primary | Of::Replicas)) => (fleet.groups, "groups"),
                (_, Some(Of::Zone)) => (fleet.zones, "zones"),
                (_, Some(Of::All | Of::Some)) => (usize::MAX, ""),
            };
            if trouble.number >= most {
                report(
                    "number",
                    format!(
                        "expected a number below {most} ({what} are counted from 0), found {}",
                        trouble.number
                    ),
                );
            }
            if trouble.of == Some(Of::Some) && !fleet_wide && !by_number && trouble.share.is_none() {
                report("of", "expected a value for share".to_owned());
            }
            let needs = matches!(
                trouble.what,
                Befalls::Slow
                    | Befalls::Errors
                    | Befalls::Lags
                    | Befalls::LosesAnswers
                    | Befalls::ListLate
                    | Befalls::Surge
            );
            if needs && trouble.by.is_none() {
                report("what", "expected a value for by".to_owned());
            }
            let share = matches!(trouble.what, Befalls::Errors | Befalls::LosesAnswers);
            if trouble.by.is_some_and(|by| share && by > 1.0 || !share && by <= 0.0) {
                report("by", "expected a share of at most 1, or a number greater than 0".to_owned());
            }
        }
        faults
    }

    /// Parameters of the emulator for this scenario and seed.
    pub fn shape(&self, seed: u64) -> Shape {
        let fleet = &self.fleet;
        let kinds = self.load.kinds.iter().map(|kind| Kind {
            name: kind.name.clone(),
            part: kind.part,
            work: range(kind.work_ms),
            terms: self.txn_type(kind),
            expiry: Duration::from_millis(kind.expiry_ms),
        });
        let members = (0..fleet.groups).flat_map(|group| {
            (0..fleet.members).map(move |i| Node { group, zone: (group + i) % fleet.zones })
        });
        Shape {
            seed,
            lasts: Duration::from_secs_f64(self.lasts_s),
            kinds: kinds.collect(),
            fronts: (0..fleet.fronts).map(|front| front % fleet.zones).collect(),
            members: members.collect(),
            near: ms(fleet.near_ms),
            far: ms(fleet.far_ms),
            cores: fleet.cores,
            slots: fleet.slots,
            waiting: fleet.waiting,
            thrash: fleet.thrash,
            connections: fleet.connections,
            handshake: ms(fleet.handshake_ms),
            idle: Duration::from_secs(15),
            connect: Duration::from_millis(250),
            probe: ms(fleet.probe_ms),
            report_every: Duration::from_millis(fleet.report_every_ms),
            list_late: range(fleet.list_late_ms),
            log: Log {
                ship: ms(fleet.ship_ms),
                apply: ms(fleet.apply_ms),
                blocks: ms(fleet.blocks_ms),
                synchronous: fleet.synchronous,
                copy: Duration::from_millis(fleet.copy_ms),
                marks: Duration::from_millis(fleet.marks_ms),
            },
            election: Election {
                noticed: range(fleet.noticed_ms),
                elected: range(fleet.elected_ms),
                handed: range(fleet.handed_ms),
                learns: (ms(30.0), ms(250.0)),
            },
            cold: self.cold(),
            drain_grace: Duration::from_secs(1),
            answer_grace: Duration::from_millis(50),
            crowd: ClientLoad {
                per_second: self.load.per_second,
                series: self.load.series.clone(),
                skew: self.load.skew,
                patience: (self.load.patience[0], self.load.patience[1]),
                retries: self.load.retries,
                back_off: range(self.load.back_off_ms),
            },
            troubles: self.troubles.iter().map(Befallen::trouble).collect(),
        }
    }

    /// Parameters of a member's cold start.
    pub fn cold(&self) -> ColdStart {
        ColdStart {
            share: self.fleet.cold_share,
            warm_up: Duration::from_millis(self.fleet.warm_up_ms),
            multiple: self.fleet.falls_at,
            window: Duration::from_millis(self.fleet.falls_after_ms),
        }
    }

    fn txn_type(&self, kind: &OfKind) -> TxnType {
        let window = Duration::from_millis(self.fleet.marks_ms);
        TxnType {
            sla: Duration::from_millis(kind.sla_ms),
            value: kind.value,
            late_value: kind.late_value,
            effect: match kind.runs {
                Runs::Repeatable => Effect::Repeatable,
                Runs::Referenced => Effect::Referenced { window, scope: Scope::Group },
                Runs::OnceOnly => Effect::OnceOnly,
            },
            consistency: match kind.reads {
                Reads::Write => Consistency::Write,
                Reads::Bounded => Consistency::Bounded(Duration::from_millis(kind.bound_ms)),
                Reads::Loose => Consistency::Loose,
            },
        }
    }

    /// Time at which the last fault ends, in seconds; `None` without faults.
    pub fn last_fault_end_s(&self) -> Option<f64> {
        self.troubles.iter().map(|t| t.at_s + t.lasts_s).max_by(f64::total_cmp)
    }
}

impl Befallen {
    fn trouble(&self) -> ScheduledFault {
        let whom = match self.of.unwrap_or(Of::All) {
            Of::Member => Targets::Member(self.number),
            Of::Primary => Targets::Primary(self.number),
            Of::Replicas => Targets::Replicas(self.number),
            Of::Zone => Targets::Zone(self.number),
            Of::All => Targets::All,
            Of::Some => Targets::Some(self.share.unwrap_or(1.0)),
        };
        let by = self.by.unwrap_or(1.0);
        let member = |ill| What::Member(whom, ill);
        let what = match self.what {
            Befalls::Killed => member(MemberFault::Killed),
            Befalls::Hung => member(MemberFault::Hung),
            Befalls::Slow => member(MemberFault::Slow(by)),
            Befalls::Errors => member(MemberFault::Errors(by)),
            Befalls::Drained => member(MemberFault::Drained),
            Befalls::Replaced => member(MemberFault::Replaced),
            Befalls::CutFromFronts => member(MemberFault::CutFromFronts),
            Befalls::CutFromPeers => member(MemberFault::CutFromPeers),
            Befalls::Lags => member(MemberFault::Lags(by)),
            Befalls::LosesAnswers => member(MemberFault::Loses(by)),
            Befalls::LiesIdle => member(MemberFault::LiesIdle),
            Befalls::Moved => member(MemberFault::Moved),
            Befalls::ZoneCut => What::ZoneCut(self.number),
            Befalls::ListSilent => What::ListSilent,
            Befalls::ListLate => What::ListLate(Duration::from_secs_f64(by)),
            Befalls::ListWrong => What::ListWrong(whom),
            Befalls::FrontStands => What::FrontStands(self.number),
            Befalls::FrontKilled => What::FrontKilled(self.number),
            Befalls::Surge => What::Surge(by),
        };
        let (from, lasts) = (Duration::from_secs_f64(self.at_s), Duration::from_secs_f64(self.lasts_s));
        ScheduledFault { from, lasts, what }
    }
}

macro_rules! built_in_scenarios {
    ($($name:literal),* $(,)?) => {
        /// Scenarios that are compiled into the laboratory: name and text.
        pub const BUILT_IN_SCENARIOS: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".json5")))),*];
    };
}

built_in_scenarios![
    "calm",
    "launch-evening",
    "rolling-redeploy",
    "primary-killed",
    "replicas-lag",
    "zone-cut",
    "mass-restart",
    "half-gone-and-cold",
    "wrong-list",
    "slow-dependency",
    "retry-storm",
    "gray-failure",
    "flapping-member",
    "hot-group",
    "late-reports",
    "front-standstill",
    "everything",
];

/// Returns the built-in scenario of this name, or reads the file of this name.
pub fn find(name: &str) -> Result<Scenario, String> {
    let text = match BUILT_IN_SCENARIOS.iter().find(|(known, _)| *known == name) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(name)
            .map_err(|e| format!("{name}: {e}; `scenarios` lists the built-in ones"))?,
    };
    read(&text).map_err(|faults| {
        let messages: Vec<String> = faults.iter().map(|fault| format!("{name}: {fault}")).collect();
        messages.join("\n")
    })
}
