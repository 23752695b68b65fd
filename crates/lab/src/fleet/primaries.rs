//! Audits primary changes in a recorded history: the cost of each change, and whether every outcome reported to a
//! client was true. Like the auditors it reads only the history.

use super::audit::{HistoryView, front, micros, txn};
use super::history::Line;
use super::{FaultKind, Figures as Fleet, figures};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// The minimum number of changes for a meaningful run.
const MIN_CHANGES: usize = 8;
/// A txn outlasts a change if at least this much time is left when the successor is elected.
const MIN_TIME_LEFT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
pub struct Figures {
    pub writes: usize,
    pub committed: usize,
    pub declined: usize,
    pub unknown: usize,
    /// Committed writes that are missing in the group, and txns that were never answered.
    pub lost: usize,
    /// Writes that took effect more than once, or had two submissions outstanding.
    pub doubled: usize,
    /// Writes reported as declined or rolled back that have run.
    pub untruthful: usize,
    pub stale: usize,
    pub changes: usize,
    reads: usize,
    reads_served: usize,
    kinds: BTreeMap<String, KindFigures>,
    fleet: Fleet,
}

#[derive(Debug, Default)]
struct KindFigures {
    struck: usize,
    writes: usize,
    committed: usize,
    unknown: usize,
    /// Writes whose expiry outlasted the change, and how many of these were committed.
    outlasted: usize,
    outlasted_committed: usize,
    leaderless: Vec<Duration>,
}

fn median(spans: &[Duration]) -> u128 {
    let mut spans = spans.to_vec();
    spans.sort_unstable();
    spans.get(spans.len() / 2).copied().unwrap_or_default().as_millis()
}

/// One loss of a primary: the group, the kind of fault, when it began, and when a successor was elected.
struct PrimaryLoss<'a> {
    group: u64,
    kind: &'a str,
    lost: Duration,
    elected: Option<Duration>,
}

/// Evaluates a history in which no client retries.
pub fn changes(lines: &[Line]) -> Figures {
    let (view, fleet) = (HistoryView::new(lines), figures(lines));
    let mut summary =
        Figures { stale: fleet.stale, doubled: fleet.doubled, lost: fleet.lost, ..Figures::default() };
    summary.untruthful = fleet.found.iter().filter(|found| found.auditor == "truth").count();
    let elections: Vec<(u64, Duration)> = view
        .lines_of("primary")
        .map(|line| (line.number("group").unwrap_or_default(), line.at))
        .filter(|(_, at)| *at > Duration::ZERO)
        .collect();
    summary.changes = elections.len();
    let loss_of = |(fault, from, to): &'_ (serde_json::Value, Duration, Duration)| {
        let group = fault["number"].as_u64().unwrap_or_default();
        let its = |&&(g, at): &&(u64, Duration)| g == group && at >= *from && at <= *to;
        let elected = elections.iter().find(its).map(|e| e.1);
        (group, fault["what"].as_str().unwrap_or_default().to_owned(), *from, elected)
    };
    // Only faults of a primary: in other faults, the number has another meaning.
    let of_group = |fault: &serde_json::Value| {
        serde_json::from_value(fault["what"].clone()).is_ok_and(|what| FaultKind::PRIMARY.contains(&what))
    };
    let losses = view.faults.iter().filter(|(fault, ..)| of_group(fault));
    let losses: Vec<_> = losses.map(loss_of).collect();
    let losses: Vec<PrimaryLoss> = losses
        .iter()
        .map(|(group, kind, lost, elected)| PrimaryLoss {
            group: *group,
            kind,
            lost: *lost,
            elected: *elected,
        })
        .collect();
    for loss in &losses {
        let of = summary.kinds.entry(loss.kind.to_owned()).or_default();
        of.struck += 1;
        of.leaderless.extend(loss.elected.map(|elected| elected.saturating_sub(loss.lost)));
    }
    let groups: HashMap<u64, u64> =
        view.lines_of("txn").map(|line| (txn(line), line.number("group").unwrap_or_default())).collect();
    let asked: HashMap<u64, (Duration, Duration)> =
        view.lines_of("asked").map(|line| (txn(line), (line.at, micros(&line.more["left"])))).collect();
    let mut ran: HashMap<u64, i64> = HashMap::new();
    for line in lines {
        match line.what.as_str() {
            "ran" => *ran.entry(txn(line)).or_default() += 1,
            "undone" => *ran.entry(txn(line)).or_default() -= 1,
            _ => {}
        }
    }
    for line in view.lines_of("answered").filter(|line| front(line) == 0) {
        let outcome = line.text("told");
        if view.kind(txn(line))["write"].as_bool() != Some(true) {
            summary.reads += 1;
            summary.reads_served += usize::from(outcome == "committed");
            continue;
        }
        summary.writes += 1;
        match outcome {
            "committed" => {
                summary.committed += 1;
                // Once-only txns are checked by the auditor. Referenced ones are checked here, as no client retries.
                let marked = view.kind(txn(line))["name"] == "mark";
                summary.lost += usize::from(marked && ran.get(&txn(line)).copied().unwrap_or(0) < 1);
            }
            "declined" => summary.declined += 1,
            "unknown" => summary.unknown += 1,
            _ => {}
        }
        let Some(&(from, left)) = asked.get(&txn(line)) else { continue };
        let group = groups.get(&txn(line)).copied().unwrap_or(u64::MAX);
        let met = losses.iter().rev().find(|loss| {
            let over = loss.elected.unwrap_or(loss.lost + Duration::from_millis(500));
            loss.group == group && loss.lost < line.at && from < over
        });
        if let Some(loss) = met
            && let Some(of) = summary.kinds.get_mut(loss.kind)
        {
            of.writes += 1;
            of.committed += usize::from(outcome == "committed");
            of.unknown += usize::from(outcome == "unknown");
            if loss.elected.is_some_and(|elected| elected + MIN_TIME_LEFT < from + left) {
                of.outlasted += 1;
                of.outlasted_committed += usize::from(outcome == "committed");
            }
        }
    }
    summary.fleet = fleet;
    summary
}

impl Figures {
    pub fn holds(&self) -> bool {
        self.lost + self.doubled + self.untruthful + self.stale == 0
            && self.fleet.found.is_empty()
            && self.changes >= MIN_CHANGES
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for found in self.fleet.found.iter().take(20) {
            writeln!(f, "{} at {:.3} s: {}", found.auditor, found.at_s, found.what)?;
        }
        writeln!(f, "reads: {} of {} served", self.reads_served, self.reads)?;
        let head = ["struck", "writes", "committed", "unknown", "outlasting it", "vacant ms"];
        writeln!(
            f,
            "{:<16} {:>6} {:>7} {:>9} {:>8} {:>16} {:>9}",
            "change", head[0], head[1], head[2], head[3], head[4], head[5]
        )?;
        for (kind, of) in &self.kinds {
            let outlasting = format!("{} of {}", of.outlasted_committed, of.outlasted);
            let (struck, writes, committed) = (of.struck, of.writes, of.committed);
            writeln!(
                f,
                "{kind:<16} {struck:>6} {writes:>7} {committed:>9} {:>8} {outlasting:>16} {:>9}",
                of.unknown,
                median(&of.leaderless)
            )?;
        }
        write!(
            f,
            "primary: writes={} committed={} declined={} unknown={} lost={} doubled={} untruthful={} stale={} changes={}",
            self.writes,
            self.committed,
            self.declined,
            self.unknown,
            self.lost,
            self.doubled,
            self.untruthful,
            self.stale,
            self.changes
        )
    }
}
