//! Audits a recorded history: the rules that hold across all processes, and the fronts' views of each other. The
//! history is the only input; no code of the program under test is used.

use super::history::Line;
use super::owners;
use super::pauses::Pauses;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// All fronts have to agree on the membership within this time after the last fault ends.
pub const AGREEMENT_DEADLINE: Duration = Duration::from_secs(5);
/// The longest time for which a partitioned minority may still report a majority.
const ISOLATION_DETECTION: Duration = Duration::from_secs(8);
/// The maximum length of a datagram between fronts, in bytes.
const MAX_DATAGRAM_BYTES: u64 = 256;
/// The time that a message between processes may take to arrive. An observation counts as known to its receiver only
/// after this.
const PROPAGATION_DELAY: Duration = Duration::from_millis(100);
/// A front whose process was disturbed is excused for this long afterwards.
const RECOVERY_TIME: Duration = Duration::from_millis(2500);
/// An incarnation that exceeds the highest real one by more than this can only come from a forged datagram.
const FORGED_INCARNATION_GAP: u64 = 1000;

/// One violation found by an auditor.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    pub auditor: &'static str,
    pub at_s: f64,
    pub what: String,
}

/// All auditors. Each comes with an injected violation that it has to detect.
pub const AUDITORS: [Auditor; 14] = [
    Auditor { name: "answers", check: check_answers, inject: inject_missing_answer },
    Auditor { name: "effects", check: check_effects, inject: inject_double_effect },
    Auditor { name: "truth", check: check_outcomes, inject: |lines| inject_false_decline(lines) },
    Auditor { name: "one at a time", check: check_single_submission, inject: inject_double_submission },
    Auditor { name: "drains", check: check_drains, inject: inject_submission_to_draining },
    Auditor { name: "cold", check: check_cold_load, inject: inject_cold_overload },
    Auditor { name: "stale", check: check_stale_reads, inject: |lines| inject_stale_read(lines) },
    Auditor {
        name: "forged",
        check: check_forged_incarnations,
        inject: |lines| inject_forged_incarnation(lines),
    },
    Auditor { name: "size", check: check_datagram_size, inject: |lines| inject_long_datagram(lines) },
    Auditor { name: "views", check: check_membership_views, inject: |lines| inject_incomplete_view(lines) },
    Auditor { name: "majority", check: check_majority, inject: inject_false_majority },
    Auditor { name: "owners", check: owners::check_single_owner, inject: owners::inject_second_owner },
    Auditor { name: "terms", check: owners::check_term_order, inject: owners::inject_older_term },
    Auditor { name: "holds", check: owners::check_hold_duration, inject: owners::inject_endless_hold },
];

pub struct Auditor {
    pub name: &'static str,
    check: fn(&HistoryView) -> Vec<(Duration, String)>,
    /// Injects a violation into a valid history; false if the history has no suitable line.
    inject: fn(&mut Vec<Line>) -> bool,
}

impl Auditor {
    pub fn findings(&self, lines: &[Line]) -> Vec<Finding> {
        let found = (self.check)(&HistoryView::new(lines));
        let one =
            |(at, what): (Duration, String)| Finding { auditor: self.name, at_s: at.as_secs_f64(), what };
        found.into_iter().map(one).collect()
    }

    /// Whether the auditor reports more violations once its own is injected.
    pub fn detects_injected_violation(&self, lines: &[Line]) -> bool {
        let before = self.findings(lines).len();
        let mut modified = lines.to_vec();
        (self.inject)(&mut modified) && self.findings(&modified).len() > before
    }
}

/// A history with the settings, faults and disturbances extracted from it.
pub(super) struct HistoryView<'a> {
    pub(super) lines: &'a [Line],
    settings: &'a Value,
    pub(super) fronts: usize,
    /// By front: the intervals in which its process was disturbed, including the time to recover.
    disturbances: Vec<Vec<(Duration, Duration)>>,
    /// Faults in the order of their numbers: description, start, end.
    pub(super) faults: Vec<(Value, Duration, Duration)>,
    /// The kind of each txn.
    kinds: HashMap<u64, usize>,
    pauses: Pauses,
}

pub(super) fn micros(value: &Value) -> Duration {
    Duration::from_micros(value.as_u64().unwrap_or_default())
}

impl<'a> HistoryView<'a> {
    pub(super) fn new(lines: &'a [Line]) -> HistoryView<'a> {
        static NONE: Value = Value::Null;
        let settings = lines.iter().find(|line| line.what == "setting").map_or(&NONE, |line| &line.more);
        let fronts = settings["fronts"].as_u64().unwrap_or_default() as usize;
        let mut faults: BTreeMap<u64, (Value, Duration, Duration)> = BTreeMap::new();
        let mut kinds = HashMap::new();
        for line in lines {
            let number = line.number("number").unwrap_or_default();
            match line.what.as_str() {
                "mishap" => {
                    faults.insert(number, (line.more["mishap"].clone(), line.at, Duration::MAX));
                }
                "healed" => {
                    faults.entry(number).and_modify(|m| m.2 = line.at);
                }
                "txn" => {
                    let kind = line.number("kind").unwrap_or_default() as usize;
                    kinds.insert(line.number("txn").unwrap_or_default(), kind);
                }
                _ => {}
            }
        }
        let faults: Vec<_> = faults.into_values().collect();
        let mut disturbances = vec![Vec::new(); fronts];
        for (fault, from, to) in &faults {
            let process = ["front_killed", "front_ended", "front_stopped", "front_slow", "upgraded"];
            let front = fault["front"].as_u64().map(|front| front as usize).filter(|&front| front < fronts);
            if let Some(front) =
                front.filter(|_| process.contains(&fault["what"].as_str().unwrap_or_default()))
            {
                disturbances[front].push((*from, to.saturating_add(RECOVERY_TIME)));
            }
        }
        // A process that is still starting, or has received SIGTERM, is excused.
        for line in lines.iter().filter(|line| line.what == "start" || line.what == "told to end") {
            let front = line.number("front").unwrap_or_default() as usize;
            if front < fronts {
                disturbances[front].push((line.at, line.at + RECOVERY_TIME));
            }
        }
        HistoryView { lines, settings, fronts, disturbances, faults, kinds, pauses: Pauses::read(lines) }
    }

    pub(super) fn lines_of(&self, what: &'a str) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(move |line| line.what == what)
    }

    pub(super) fn kind(&self, txn: u64) -> &Value {
        let kind = self.kinds.get(&txn).copied().unwrap_or(usize::MAX);
        self.settings["kinds"].get(kind).unwrap_or(&Value::Null)
    }

    /// Whether the front's process was disturbed during the interval.
    pub(super) fn excused(&self, front: usize, from: Duration, to: Duration) -> bool {
        self.disturbances
            .get(front)
            .is_some_and(|intervals| intervals.iter().any(|&(a, b)| a <= to && from <= b))
    }

    /// The earliest time at which a process may have sent what the recording process read at this time.
    fn earliest_sent(&self, read_at: Duration) -> Duration {
        self.pauses.earliest_sent(read_at, PROPAGATION_DELAY)
    }

    /// The end of the run; the time of the last line if the history is incomplete.
    pub(super) fn end(&self) -> Duration {
        self.lines_of("over")
            .map(|line| line.at)
            .next()
            .unwrap_or_else(|| self.lines.last().map_or(Duration::ZERO, |l| l.at))
    }
}

pub(super) fn front(line: &Line) -> usize {
    line.number("front").unwrap_or_default() as usize
}

pub(super) fn txn(line: &Line) -> u64 {
    line.number("txn").unwrap_or_default()
}

/// Rule 1: each client gets exactly one answer, unless its front's process was disturbed in the meantime.
pub(super) fn check_answers(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut asked: HashMap<u64, (Duration, usize, Duration)> = HashMap::new();
    let mut answered: HashMap<u64, (Duration, bool, u32)> = HashMap::new();
    for line in view.lines {
        match line.what.as_str() {
            "asked" => {
                asked.insert(txn(line), (line.at, front(line), micros(&line.more["left"])));
            }
            "answered" => {
                let has_outcome = line.text("told") != "nothing";
                let entry = answered.entry(txn(line)).or_insert((line.at, has_outcome, 0));
                entry.2 += 1;
                entry.1 |= has_outcome;
            }
            _ => {}
        }
    }
    let (slack, end) = (micros(&view.settings["slack"]), view.end());
    let mut found = Vec::new();
    let mut all: Vec<_> = asked.into_iter().collect();
    all.sort_unstable();
    for (txn, (at, front, left)) in all {
        let due = at + left + slack;
        if due > end || view.excused(front, at, due) {
            continue;
        }
        match answered.get(&txn) {
            Some((_, true, 1)) => {}
            Some((_, true, times)) => {
                found.push((at, format!("front {front} answers txn {txn} {times} times")))
            }
            _ => found.push((at, format!("front {front} leaves txn {txn} without an answer"))),
        }
    }
    found
}

/// Rule 2: no txn takes effect twice.
fn check_effects(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut ran: HashMap<u64, i64> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let by = match line.what.as_str() {
            "ran" => 1,
            "undone" => -1,
            _ => continue,
        };
        let times = ran.entry(txn(line)).or_default();
        *times += by;
        if *times > 1 {
            found.push((line.at, format!("txn {} took effect {times} times", txn(line))));
        }
    }
    found
}

/// Rule 2: a txn reported as declined has not run and does not run later; one reported as committed has run.
fn check_outcomes(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut ran: HashMap<u64, i64> = HashMap::new();
    for line in view.lines {
        match line.what.as_str() {
            "ran" => *ran.entry(txn(line)).or_default() += 1,
            "undone" => *ran.entry(txn(line)).or_default() -= 1,
            _ => {}
        }
    }
    let mut found = Vec::new();
    for line in view.lines_of("answered") {
        let kind = view.kind(txn(line));
        if kind["write"].as_bool() != Some(true) {
            continue;
        }
        // A referenced txn whose reference the group already had may be answered for an earlier txn with that
        // reference.
        let once = kind["repeatable"].as_bool() == Some(false) && kind["name"] == "order";
        let times = ran.get(&txn(line)).copied().unwrap_or(0);
        match line.text("told") {
            "declined" if times > 0 => {
                found.push((line.at, format!("txn {} is declined and has run", txn(line))));
            }
            // SQLSTATE 40000 means that the txn has not run.
            "unknown" if times > 0 && line.text("code") == "40000" => {
                found.push((line.at, format!("txn {} is rolled back and has run", txn(line))));
            }
            "committed" if times < 1 && once => {
                found.push((line.at, format!("txn {} is committed and has not run", txn(line))));
            }
            _ => {}
        }
    }
    found
}

/// Rules 1 and 2: at most one submission of a txn at a time, and none after its answer. A member may learn that a
/// front has given up an attempt shortly after the next attempt has arrived.
fn check_single_submission(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut spans: BTreeMap<u64, Vec<(Duration, Duration, u64)>> = BTreeMap::new();
    let mut answered: HashMap<u64, Duration> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let (txn, member) = (txn(line), line.number("member").unwrap_or_default());
        match line.what.as_str() {
            "submitted" => {
                spans.entry(txn).or_default().push((line.at, Duration::MAX, member));
                if answered.get(&txn).is_some_and(|&at| view.earliest_sent(line.at) > at) {
                    found.push((line.at, format!("front {} sends txn {txn} after its answer", front(line))));
                }
            }
            "ended" => {
                let mut its = spans.entry(txn).or_default().iter_mut();
                let open = its.find(|span| span.2 == member && span.1 == Duration::MAX);
                open.into_iter().for_each(|span| span.1 = line.at);
            }
            "answered" if line.text("told") != "nothing" => {
                answered.entry(txn).or_insert(line.at);
            }
            _ => {}
        }
    }
    for (txn, spans) in spans {
        for pair in spans.windows(2).filter(|pair| view.earliest_sent(pair[0].1) > pair[1].0) {
            found.push((pair[1].0, format!("txn {txn} is out twice")));
        }
    }
    found
}

/// Rule 3: nothing new is sent to a draining or removed member after the grace period, which starts when that front
/// received the list entry.
fn check_drains(view: &HistoryView) -> Vec<(Duration, String)> {
    let grace = micros(&view.settings["drain_grace"]);
    let mut drained: HashMap<(usize, u64), Duration> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let key = (front(line), line.number("member").unwrap_or_default());
        match line.what.as_str() {
            "listed" if line.text("state") == "up" => {
                drained.remove(&key);
            }
            "listed" => {
                drained.entry(key).or_insert(line.at);
            }
            // A stopped process may not have read the entry yet, and what it had already written still arrives.
            "submitted"
                if drained.get(&key).is_some_and(|&at| view.earliest_sent(line.at) > at + grace)
                    && !view.excused(key.0, view.earliest_sent(line.at).saturating_sub(grace), line.at) =>
            {
                let what = format!("front {} sends to member {}, which is to get none", key.0, key.1);
                found.push((line.at, what));
            }
            _ => {}
        }
    }
    found
}

/// Rule 4: no cold member gets more work than it can take, summed over all processes.
fn check_cold_load(view: &HistoryView) -> Vec<(Duration, String)> {
    let (window, multiple) =
        (micros(&view.settings["window"]), view.settings["multiple"].as_f64().unwrap_or(f64::MAX));
    let mut received: HashMap<u64, Vec<(Duration, f64)>> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines_of("pressed") {
        let member = line.number("member").unwrap_or_default();
        let work = line.more["work"].as_f64().unwrap_or_default();
        let can = line.more["can"].as_f64().unwrap_or_default();
        let all = received.entry(member).or_default();
        all.push((line.at, work));
        all.retain(|&(at, _)| at + window >= line.at);
        let sum: f64 = all.iter().map(|w| w.1).sum();
        if sum > multiple * can {
            found.push((
                line.at,
                format!("member {member} is sent {sum:.3} s of work, it bears {:.3}", multiple * can),
            ));
        }
    }
    found
}

/// Rule 5: no read is served from data older than its bound, unless the member has not yet reported that it is a
/// replica.
fn check_stale_reads(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut replica: HashMap<(usize, u64), (Duration, u64)> = HashMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let key = (front(line), line.number("member").unwrap_or_default());
        match line.what.as_str() {
            "replica" => {
                replica.insert(key, (line.at, line.number("epoch").unwrap_or_default()));
            }
            "submitted" => {
                let (Some(bound), Some(age)) = (view.kind(txn(line))["bound"].as_u64(), line.number("age"))
                else {
                    continue;
                };
                let leads = line.more["leads"].as_bool() == Some(true);
                let epoch = line.number("epoch");
                let known_replica = replica
                    .get(&key)
                    .is_some_and(|&(at, of)| Some(of) == epoch && view.earliest_sent(line.at) > at);
                // A request that waited in a socket while its front was stopped was written in time.
                let excused =
                    leads || epoch.is_some() && !known_replica || view.excused(key.0, line.at, line.at);
                let on_its_way = line.at - view.earliest_sent(line.at);
                if age > bound + on_its_way.as_micros() as u64 && !excused {
                    found.push((
                        line.at,
                        format!("front {} reads data {} ms old at member {}", key.0, age / 1000, key.1),
                    ));
                }
            }
            _ => {}
        }
    }
    found
}

/// No front accepts an incarnation that no process has had.
fn check_forged_incarnations(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut latest = vec![0u64; view.fronts];
    let statuses: Vec<&Line> = view.lines_of("status").collect();
    for line in &statuses {
        let own = line.more["status"]["incarnation"].as_u64().unwrap_or_default();
        if let Some(latest) = latest.get_mut(front(line)) {
            *latest = (*latest).max(own);
        }
    }
    let mut found = Vec::new();
    for line in statuses {
        for peer in line.more["status"]["fronts"].as_array().into_iter().flatten() {
            let index = peer["index"].as_u64().unwrap_or_default() as usize;
            let incarnation = peer["incarnation"].as_u64().unwrap_or_default();
            if latest
                .get(index)
                .is_some_and(|&latest| latest > 0 && incarnation > latest + FORGED_INCARNATION_GAP)
            {
                found.push((
                    line.at,
                    format!("front {} believes in life {incarnation} of front {index}", front(line)),
                ));
            }
        }
    }
    found
}

/// No datagram is longer than the platform allows.
fn check_datagram_size(view: &HistoryView) -> Vec<(Duration, String)> {
    let longest = |line: &&Line| line.number("longest").is_some_and(|longest| longest > MAX_DATAGRAM_BYTES);
    let too_long = view.lines_of("over").filter(longest);
    too_long.map(|line| (line.at, format!("a datagram of {} bytes", line.more["longest"]))).collect()
}

/// When the last front began to report all fronts present and a majority, with no change until the end; none if any
/// front does not. Derived from the status lines.
fn agreement_time(view: &HistoryView) -> Option<Duration> {
    let healed = micros(&view.settings["healed"]);
    let all: Vec<u64> = (0..view.fronts as u64).collect();
    let mut agreed_since: Vec<Option<Duration>> = vec![None; view.fronts];
    let ends = view.lines_of("told to end").map(|line| line.at).min().unwrap_or(Duration::MAX);
    for line in view.lines_of("status") {
        let asked = micros(&line.more["asked"]);
        if asked < healed || line.at > ends {
            continue;
        }
        let status = &line.more["status"];
        let present: Vec<u64> =
            status["present"].as_array().into_iter().flatten().filter_map(Value::as_u64).collect();
        let well = status["standing"] == "whole" && present == all;
        if let Some(agreed_since) = agreed_since.get_mut(front(line)) {
            *agreed_since = if well { agreed_since.or(Some(line.at)) } else { None };
        }
    }
    agreed_since.into_iter().try_fold(Duration::ZERO, |latest, at| Some(latest.max(at?)))
}

fn check_membership_views(view: &HistoryView) -> Vec<(Duration, String)> {
    if view.settings["fellows"].as_bool() != Some(true) {
        return Vec::new();
    }
    let healed = micros(&view.settings["healed"]);
    match agreement_time(view) {
        Some(at) if at <= healed + AGREEMENT_DEADLINE => Vec::new(),
        Some(at) => {
            vec![(at, format!("all agree only {:.1} s after the last mishap", (at - healed).as_secs_f64()))]
        }
        None => vec![(healed, "the fronts do not agree who is there".to_owned())],
    }
}

/// No minority reports a majority after the time allowed to detect the partition.
fn check_majority(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut found = Vec::new();
    for line in view.lines_of("status").filter(|line| line.more["status"]["standing"] == "whole") {
        let asked = micros(&line.more["asked"]);
        for (fault, from, to) in &view.faults {
            let side: BTreeSet<usize> = fault["side"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_u64)
                .map(|f| f as usize)
                .collect();
            let cut = fault["what"] == "apart" && asked > *from + ISOLATION_DETECTION && line.at < *to;
            let mine = if side.contains(&front(line)) { side.len() } else { view.fronts - side.len() };
            if cut && 2 * mine <= view.fronts && !view.excused(front(line), *from, line.at) {
                found.push((
                    line.at,
                    format!("front {} is one of {mine} and takes itself for the whole", front(line)),
                ));
            }
        }
    }
    found
}

/// Figures derived from a history.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub processes: usize,
    pub faults: usize,
    pub kinds: usize,
    pub txns: usize,
    pub committed: usize,
    pub lost: usize,
    pub doubled: usize,
    pub stale: usize,
    pub rules_broken: usize,
    pub detect_p50_ms: f64,
    pub detect_p99_ms: f64,
    pub detected: u64,
    pub false_suspicions: usize,
    pub settle_ms: Option<u64>,
    pub datagram_max: u64,
    pub forged_accepted: usize,
    pub refused: u64,
    /// The total processor time of the last process of each front.
    pub cpu_ms: u64,
    pub auditors: usize,
    /// Auditors that did not detect the violation injected for them.
    pub blind: Vec<&'static str>,
    pub found: Vec<Finding>,
    /// Datagrams refused by all fronts, by reason, from each front's last status.
    pub why_refused: BTreeMap<String, u64>,
}

pub fn figures(lines: &[Line]) -> Figures {
    let view = HistoryView::new(lines);
    let mut seen = Figures { processes: view.fronts, faults: view.faults.len(), ..Figures::default() };
    let kinds: BTreeSet<&str> = view.faults.iter().filter_map(|m| m.0["what"].as_str()).collect();
    (seen.kinds, seen.txns) = (kinds.len(), view.lines_of("asked").count());
    seen.committed = view.lines_of("answered").filter(|line| line.text("told") == "committed").count();
    for auditor in &AUDITORS {
        let found = auditor.findings(lines);
        match auditor.name {
            "answers" => seen.lost = found.len(),
            "effects" | "one at a time" => seen.doubled += found.len(),
            "stale" => seen.stale = found.len(),
            "forged" => seen.forged_accepted = found.len(),
            _ => {}
        }
        let rules = ["answers", "effects", "truth", "one at a time", "drains", "cold", "stale"];
        seen.rules_broken += if rules.contains(&auditor.name) { found.len() } else { 0 };
        if auditor.detects_injected_violation(lines) {
            seen.auditors += 1
        } else {
            seen.blind.push(auditor.name)
        }
        seen.found.extend(found);
    }
    // Failure detection: from the moment a front became unreachable until each other front declared it down.
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("good bounds");
    for line in view.lines_of("log").filter(|line| line.more["log"]["msg"] == "fellow down") {
        let (by, whom) = (front(line), line.more["log"]["front"].as_u64().unwrap_or_default() as usize);
        let gone = view.faults.iter().find(|(fault, from, to)| {
            let what = fault["what"].as_str().unwrap_or_default();
            let expected = ["front_killed", "front_stopped", "unheard"].contains(&what)
                && fault["front"] == json!(whom)
                || what == "apart" && on_side(fault, whom) != on_side(fault, by);
            expected && line.at >= *from && line.at <= to.saturating_add(RECOVERY_TIME)
        });
        match gone {
            Some((fault, from, _)) if fault["what"] != "apart" => {
                times.saturating_record((line.at - *from).as_millis().max(1) as u64);
            }
            Some(_) => {}
            // A front that leaves is reported down at once. One that was disturbed otherwise, or reported by a
            // disturbed front, is not counted as a false suspicion.
            None if view.excused(whom, line.at, line.at) || view.excused(by, line.at, line.at) => {}
            None => seen.false_suspicions += 1,
        }
    }
    seen.detected = times.len();
    if !times.is_empty() {
        seen.detect_p50_ms = times.value_at_percentile(50.0) as f64;
        seen.detect_p99_ms = times.value_at_percentile(99.0) as f64;
    }
    let healed = micros(&view.settings["healed"]);
    seen.settle_ms = agreement_time(&view).map(|at| at.saturating_sub(healed).as_millis() as u64);
    seen.datagram_max =
        view.lines_of("over").filter_map(|line| line.number("longest")).max().unwrap_or_default();
    let mut last: BTreeMap<usize, &Value> = BTreeMap::new();
    for line in view.lines_of("status") {
        last.insert(front(line), &line.more["status"]["refused"]);
    }
    for (why, count) in last.values().filter_map(|refused| refused.as_object()).flatten() {
        *seen.why_refused.entry(why.clone()).or_default() += count.as_u64().unwrap_or_default();
    }
    seen.cpu_ms = view.lines_of("told to end").filter_map(|line| line.number("cpu_ms")).sum();
    seen.refused = seen.why_refused.values().sum();
    seen
}

fn on_side(fault: &Value, front: usize) -> bool {
    fault["side"].as_array().is_some_and(|side| side.contains(&json!(front)))
}

impl Figures {
    /// True if no violation was found and every auditor detected its injected violation.
    pub fn holds(&self) -> bool {
        self.found.is_empty() && self.auditors == AUDITORS.len() && self.committed > 0
    }
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for found in self.found.iter().take(20) {
            writeln!(f, "{} at {:.3} s: {}", found.auditor, found.at_s, found.what)?;
        }
        self.blind.iter().try_for_each(|name| writeln!(f, "the auditor of {name} is blind"))?;
        let settle = self.settle_ms.map_or("-".to_owned(), |ms| ms.to_string());
        write!(
            f,
            "fleet: processes={} faults={} kinds={} txns={} lost={} doubled={} stale={} rules_broken={} \
             detect_p99_ms={:.0} false_suspicions={} settle_ms={settle} datagram_max={} forged_accepted={} auditors={}/{}",
            self.processes,
            self.faults,
            self.kinds,
            self.txns,
            self.lost,
            self.doubled,
            self.stale,
            self.rules_broken,
            self.detect_p99_ms,
            self.false_suspicions,
            self.datagram_max,
            self.forged_accepted,
            self.auditors,
            AUDITORS.len()
        )
    }
}

// Injected violations.

/// The middle one of the matching lines, so that the change lies well inside the run.
fn middle_line(lines: &[Line], what: &str, matches: impl Fn(&HistoryView, &Line) -> bool) -> Option<usize> {
    let view = HistoryView::new(lines);
    let matching: Vec<usize> =
        (0..lines.len()).filter(|&i| lines[i].what == what && matches(&view, &lines[i])).collect();
    matching.get(matching.len() / 2).copied()
}

fn inject_missing_answer(lines: &mut Vec<Line>) -> bool {
    let at = middle_line(lines, "answered", |view, line| {
        line.text("told") == "committed"
            && !view.excused(
                front(line),
                line.at.saturating_sub(2 * RECOVERY_TIME),
                line.at + 2 * RECOVERY_TIME,
            )
            && line.at + 2 * RECOVERY_TIME < view.end()
    });
    at.map(|at| lines.remove(at)).is_some()
}

/// Duplicates a submission and delays the end of the first.
fn inject_double_submission(lines: &mut Vec<Line>) -> bool {
    let Some(at) = middle_line(lines, "submitted", |_, _| true) else { return false };
    let copy = lines[at].clone();
    let ends_it = |line: &Line| line.what == "ended" && txn(line) == txn(&copy) && line.at >= copy.at;
    if let Some(end) = lines.iter().position(ends_it) {
        let mut end = lines.remove(end);
        end.at += 3 * PROPAGATION_DELAY;
        let place = lines.partition_point(|line| line.at <= end.at);
        lines.insert(place, end);
    }
    lines.insert(at + 1, copy);
    true
}

fn inject_double_effect(lines: &mut Vec<Line>) -> bool {
    let at = middle_line(lines, "ran", |_, _| true);
    if let Some(at) = at {
        let duplicate = lines[at].clone();
        lines.insert(at + 1, duplicate);
    }
    at.is_some()
}

/// Reports a write that has run as declined.
fn inject_false_decline(lines: &mut [Line]) -> bool {
    let ran: BTreeSet<u64> = lines.iter().filter(|line| line.what == "ran").map(txn).collect();
    let at = middle_line(lines, "answered", |_, line| {
        line.text("told") == "committed" && ran.contains(&txn(line))
    });
    if let Some(at) = at {
        lines[at].more["told"] = "declined".into();
    }
    at.is_some()
}

/// Lists a member as stopped to a front long before the front submits to it.
fn inject_submission_to_draining(lines: &mut Vec<Line>) -> bool {
    let grace = Duration::from_secs(2);
    let Some(at) = middle_line(lines, "submitted", |view, line| {
        !view.excused(front(line), line.at.saturating_sub(2 * grace), line.at)
    }) else {
        return false;
    };
    let listed_at = lines[at].at.saturating_sub(grace);
    let more =
        json!({ "front": lines[at].more["front"], "member": lines[at].more["member"], "state": "stopped" });
    let (from, member) = (front(&lines[at]), lines[at].number("member"));
    // Removes the other list entries of this member.
    let listed =
        |line: &Line| line.what == "listed" && front(line) == from && line.number("member") == member;
    lines.retain(|line| !listed(line));
    let place = lines.partition_point(|line| line.at <= listed_at);
    lines.insert(place, Line { at: listed_at, what: "listed".to_owned(), more });
    true
}

/// Sends a freshly started member far more work than it can take.
fn inject_cold_overload(lines: &mut Vec<Line>) -> bool {
    let place = lines.len() / 2;
    let at = lines.get(place).map_or(Duration::ZERO, |line| line.at);
    let more = json!({ "member": 0, "work": 1e9, "can": 0.1 });
    lines.insert(place, Line { at, what: "pressed".to_owned(), more });
    true
}

fn inject_stale_read(lines: &mut [Line]) -> bool {
    let at = middle_line(lines, "submitted", |view, line| {
        let bounded = view.kind(txn(line))["bound"].as_u64().is_some();
        let calm = !view.excused(front(line), line.at, line.at);
        bounded && calm && line.more["leads"] == false && line.more["epoch"].is_null()
    });
    if let Some(at) = at {
        lines[at].more["age"] = 60_000_000u64.into();
    }
    at.is_some()
}

fn inject_forged_incarnation(lines: &mut [Line]) -> bool {
    let at = middle_line(lines, "status", |_, line| {
        line.more["status"]["fronts"].as_array().is_some_and(|f| f.len() > 1)
    });
    if let Some(at) = at {
        let index =
            (front(&lines[at]) + 1) % lines[at].more["status"]["fronts"].as_array().map_or(1, Vec::len);
        // Above every real incarnation of the front, which may have started while its clock was ahead.
        let own = |line: &Line| line.more["status"]["incarnation"].as_u64().filter(|_| front(line) == index);
        let latest = HistoryView::new(lines).lines_of("status").filter_map(own).max().unwrap_or_default();
        lines[at].more["status"]["fronts"][index]["incarnation"] =
            (latest.max(1 << 20) + 5 * FORGED_INCARNATION_GAP).into();
        let latest = HistoryView::new(lines).lines_of("status").filter(|line| front(line) == index).count();
        return latest > 0;
    }
    false
}

fn inject_long_datagram(lines: &mut [Line]) -> bool {
    let at = lines.iter().position(|line| line.what == "over");
    if let Some(at) = at {
        lines[at].more["longest"] = (MAX_DATAGRAM_BYTES + 1).into();
    }
    at.is_some()
}

/// Removes one peer from every view of front 0.
fn inject_incomplete_view(lines: &mut [Line]) -> bool {
    let mut any = false;
    for line in lines.iter_mut().filter(|line| line.what == "status" && front(line) == 0) {
        if let Some(present) = line.more["status"]["present"].as_array_mut() {
            any |= present.pop().is_some();
        }
    }
    any
}

/// Adds a long partition that isolates a front which reports a majority.
fn inject_false_majority(lines: &mut Vec<Line>) -> bool {
    let Some(at) = middle_line(lines, "status", |_, line| line.more["status"]["standing"] == "whole") else {
        return false;
    };
    let (front, when) = (lines[at].more["front"].clone(), micros(&lines[at].more["asked"]));
    let from = when.saturating_sub(2 * ISOLATION_DETECTION);
    let fault = json!({ "what": "apart", "side": [front] });
    let line = |at, what: &str| Line {
        at,
        what: what.to_owned(),
        more: json!({ "number": u64::MAX, "mishap": fault }),
    };
    let (begins, ends) = (line(from, "mishap"), line(lines[at].at + ISOLATION_DETECTION, "healed"));
    // Removes every other disturbance of that front.
    lines.retain(|line| !(line.what == "start" && line.more["front"] == front));
    lines.retain(|line| !(line.what == "mishap" && line.more["mishap"]["front"] == front));
    for line in [begins, ends] {
        let place = lines.partition_point(|other| other.at <= line.at);
        lines.insert(place, line);
    }
    true
}
