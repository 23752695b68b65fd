//! Audits the ownership of fleet tasks in a recorded history: who owned each task, whether two fronts owned one at
//! the same time, whether an effect of an older term was applied after one of a newer term, and whether writes were
//! held too long. Like the other auditors it reads only the history.

use super::audit::{HistoryView, front, micros};
use super::history::Line;
use super::{Figures as Fleet, figures};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Log times have millisecond resolution, and a process reads its clock slightly before it writes the line.
const LOG_TIME_TOLERANCE: Duration = Duration::from_millis(5);
/// The time after which a planned change is over at each front, whichever process died: 2 s for outstanding txns, 5 s
/// for a successor, and the delay until a busy machine has written the log line.
const MAX_HOLD: Duration = Duration::from_millis(9000);

/// The interval in which a front owned a task under one term.
#[derive(Clone, Debug, PartialEq)]
struct Span {
    duty: String,
    term: u64,
    front: usize,
    from: Duration,
    to: Duration,
}

fn log<'a>(line: &'a Line, what: &str) -> Option<&'a Value> {
    (line.what == "log" && line.more["log"]["msg"] == what).then_some(&line.more["log"])
}

/// The intervals in which each front certainly owned a task: from its log line until the latest expiry that it
/// reported, cut short if it gave the task back, lost it, or its process ended.
fn spans(view: &HistoryView) -> Vec<Span> {
    let mut all: Vec<Span> = Vec::new();
    let mut open: BTreeMap<(usize, String), usize> = BTreeMap::new();
    for line in view.lines {
        let at = line.at;
        let by = front(line);
        if let Some(log) = log(line, "duty taken") {
            let (duty, term) = (log["duty"].as_str().unwrap_or_default().to_owned(), log["term"].as_u64());
            // Ownership continues under a higher term when the others knew of a higher one.
            if let Some(before) = open.insert((by, duty.clone()), all.len()) {
                all[before].to = all[before].to.min(at);
            }
            all.push(Span { duty, term: term.unwrap_or_default(), front: by, from: at, to: at });
        }
        for ends in ["duty given back", "duty lost"] {
            if let Some(log) = log(line, ends) {
                let key = (by, log["duty"].as_str().unwrap_or_default().to_owned());
                if let Some(span) = open.remove(&key) {
                    let span = &mut all[span];
                    span.to = if ends == "duty lost" { span.to } else { at.max(span.from) };
                }
            }
        }
        if line.what == "duties" {
            for status in line.more["duties"].as_array().into_iter().flatten() {
                let key = (by, status["duty"].as_str().unwrap_or_default().to_owned());
                let until = micros(&line.more["asked"])
                    + Duration::from_millis(status["until_ms"].as_u64().unwrap_or(0));
                if status["mine"] == true
                    && let Some(&span) = open.get(&key)
                    && status["term"].as_u64() == Some(all[span].term)
                {
                    all[span].to = all[span].to.max(until);
                }
            }
        }
        // A process that has ended owns nothing.
        let killed = line.what == "mishap" && line.more["mishap"]["what"] == "front_killed";
        if killed || line.what == "start" {
            let whom =
                if killed { line.more["mishap"]["front"].as_u64().unwrap_or_default() as usize } else { by };
            let owned: Vec<_> = open.keys().filter(|key| key.0 == whom).cloned().collect();
            for key in owned {
                if let Some(span) = open.remove(&key) {
                    all[span].to = all[span].to.min(at);
                }
            }
        }
    }
    all.sort_by(|a, b| (&a.duty, a.from).cmp(&(&b.duty, b.from)));
    all
}

/// No task has two owners at the same time.
pub(super) fn check_single_owner(view: &HistoryView) -> Vec<(Duration, String)> {
    let spans = spans(view);
    let mut found = Vec::new();
    for (i, one) in spans.iter().enumerate() {
        let others = spans[i + 1..].iter().take_while(|other| other.duty == one.duty);
        for other in
            others.filter(|other| other.front != one.front && other.from + LOG_TIME_TOLERANCE < one.to)
        {
            let (a, b, ms) = (one.front, other.front, (one.to - other.from).as_millis());
            found.push((other.from, format!("fronts {a} and {b} both own {}, for {ms} ms", one.duty)));
        }
    }
    found
}

/// No front applies an effect of an older term after one of a newer term.
pub(super) fn check_term_order(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut newest: BTreeMap<(usize, String), u64> = BTreeMap::new();
    let mut found = Vec::new();
    for line in view.lines {
        let Some(log) = log(line, "effects of a term") else { continue };
        let duty = log["duty"].as_str().unwrap_or_default().to_owned();
        let term = log["term"].as_u64().unwrap_or_default();
        let newest_term = newest.entry((front(line), duty.clone())).or_default();
        if term < *newest_term {
            found.push((line.at, format!("front {} carries out {duty} of an older term", front(line))));
        }
        *newest_term = term.max(*newest_term);
    }
    found
}

/// A hold ends by itself at each front, whichever process has died.
pub(super) fn check_hold_duration(view: &HistoryView) -> Vec<(Duration, String)> {
    let mut since: BTreeMap<(usize, u64), Duration> = BTreeMap::new();
    let mut found = Vec::new();
    let mut ended = |at: Duration, key: (usize, u64), from: Duration| {
        if at > from + MAX_HOLD && !view.excused(key.0, from, at) {
            let span = (at - from).as_secs_f64();
            found.push((at, format!("front {} held the writes of group {} for {span:.1} s", key.0, key.1)));
        }
    };
    for line in view.lines {
        if line.what == "start" || line.what == "told to end" {
            since.retain(|key, _| key.0 != front(line));
        }
        let Some(log) = log(line, "primary").filter(|log| log["why"] == "Planned") else { continue };
        let (key, plan) = (
            (front(line), log["group"].as_u64().unwrap_or_default()),
            log["plan"].as_str().unwrap_or_default(),
        );
        if plan.contains("Emptying") {
            since.insert(key, line.at);
        } else if let Some(from) = since.remove(&key) {
            ended(line.at, key, from);
        }
    }
    for (key, from) in since {
        ended(view.end(), key, from);
    }
    found
}

// Injected violations.

/// Another front logs that it has taken a task that is already owned.
pub(super) fn inject_second_owner(lines: &mut Vec<Line>) -> bool {
    let spans = spans(&HistoryView::new(lines));
    let long = spans.iter().max_by_key(|span| span.to.saturating_sub(span.from)).cloned();
    let Some(span) = long.or_else(|| {
        // No task was owned in this history, so both owners are injected.
        let at = lines.get(lines.len() / 2).map_or(Duration::ZERO, |line| line.at);
        let (duty, to) = ("care 0".to_owned(), at + Duration::from_secs(2));
        Some(Span { duty, term: 1, front: 0, from: at, to })
    }) else {
        return false;
    };
    let taken = |front: usize, at: Duration| {
        let log = json!({ "msg": "duty taken", "duty": span.duty, "term": span.term });
        Line { at, what: "log".to_owned(), more: json!({ "front": front, "log": log }) }
    };
    let status = |front: usize, at: Duration, left: Duration| {
        let duty = json!({ "duty": span.duty, "term": span.term, "mine": true, "until_ms": left.as_millis() as u64 });
        let more = json!({ "front": front, "asked": at.as_micros() as u64, "duties": [duty] });
        Line { at, what: "duties".to_owned(), more }
    };
    let middle = span.from + (span.to - span.from) / 2;
    let mut injected = vec![taken(span.front + 1, middle), status(span.front + 1, middle, span.to - middle)];
    if !spans.contains(&span) {
        injected.extend([taken(span.front, span.from), status(span.front, span.from, span.to - span.from)]);
    }
    for line in injected {
        let place = lines.partition_point(|other| other.at <= line.at);
        lines.insert(place, line);
    }
    true
}

/// Appends an effect of a very old term after one of a newer term.
pub(super) fn inject_older_term(lines: &mut Vec<Line>) -> bool {
    let at = lines.last().map_or(Duration::ZERO, |line| line.at);
    for term in [9u64, 1] {
        let log = json!({ "msg": "effects of a term", "duty": "move 999", "term": term });
        lines.push(Line { at, what: "log".to_owned(), more: json!({ "front": 0, "log": log }) });
    }
    true
}

/// Adds a hold that starts early and never ends.
pub(super) fn inject_endless_hold(lines: &mut Vec<Line>) -> bool {
    let view = HistoryView::new(lines);
    let undisturbed_front =
        |at: Duration| (0..view.fronts).find(|&f| !view.excused(f, at, at + 2 * MAX_HOLD));
    let place =
        (0..lines.len()).step_by(97).find_map(|i| undisturbed_front(lines[i].at).map(|front| (i, front)));
    // If every front was disturbed, the hold is attributed to one outside the fleet.
    let (place, front) = place.unwrap_or((0, view.fronts));
    let at = lines.get(place).map_or(Duration::ZERO, |line| line.at);
    let log = |plan: &str| json!({ "msg": "primary", "why": "Planned", "group": 999, "plan": plan });
    let line = |at, plan: &str| Line {
        at,
        what: "log".to_owned(),
        more: json!({ "front": front, "log": log(plan) }),
    };
    let (begins, ends) = (line(at, "Order Emptying"), line(at + 2 * MAX_HOLD, "Order Done"));
    lines.insert(place, begins);
    let place = lines.partition_point(|other| other.at <= ends.at);
    lines.insert(place, ends);
    true
}

/// Sums, over all processes, the counters printed at exit: probes sent, probes spared, and txns.
pub fn probes(lines: &[Line]) -> [u64; 3] {
    let mut sums = [0; 3];
    for line in lines.iter().filter(|line| line.what == "said") {
        for (name, count) in line.text("text").split_whitespace().filter_map(|word| word.split_once('=')) {
            if let Some(at) = ["probes", "probes_spared", "txns"].iter().position(|counter| *counter == name)
            {
                sums[at] += count.parse().unwrap_or(0);
            }
        }
    }
    sums
}

/// Figures of a history about ownership.
#[derive(Debug, Default)]
pub struct Figures {
    pub fleet: Fleet,
    /// Ownership changes, including renewals by the same front.
    pub changes: usize,
    pub stale_sent: usize,
    pub stale_applied: usize,
    pub two_at_once: usize,
    pub moves: usize,
    pub moves_undone: usize,
    pub held_past_limit: usize,
    pub cold_over_budget: usize,
    pub gap_p99_ms: f64,
}

pub fn changes(lines: &[Line]) -> Figures {
    let view = HistoryView::new(lines);
    let fleet = figures(lines);
    let count = |name: &str| fleet.found.iter().filter(|found| found.auditor == name).count();
    let spans = spans(&view);
    let mut gaps = Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("good bounds");
    let mut changes = 0;
    for pair in
        spans.windows(2).filter(|pair| pair[0].duty == pair[1].duty && pair[0].duty.starts_with("care"))
    {
        changes += 1;
        // Measured from when the previous owner was stopped or killed, otherwise from the end of its ownership.
        let lost = view.faults.iter().filter(|(fault, ..)| {
            let what = fault["what"].as_str().unwrap_or_default();
            ["front_stopped", "front_killed"].contains(&what) && fault["front"] == json!(pair[0].front)
        });
        let lost =
            lost.map(|(_, from, _)| *from).filter(|&at| at >= pair[0].from && at <= pair[1].from).min();
        let from = lost.unwrap_or(pair[0].to);
        gaps.saturating_record(pair[1].from.saturating_sub(from).as_millis().max(1) as u64);
    }
    let messages = |what: &'static str| lines.iter().filter_map(move |line| log(line, what));
    let ended: Vec<&str> = messages("move ended").filter_map(|log| log["outcome"].as_str()).collect();
    Figures {
        changes,
        stale_sent: messages("stale effect refused").count(),
        stale_applied: count("terms"),
        two_at_once: count("owners"),
        moves: ended.len(),
        moves_undone: ended.iter().filter(|outcome| **outcome != "Done").count(),
        held_past_limit: count("holds"),
        cold_over_budget: count("cold"),
        gap_p99_ms: if gaps.is_empty() { 0.0 } else { gaps.value_at_percentile(99.0) as f64 },
        fleet,
    }
}

impl Figures {
    /// True if no violation was found and the run had enough changes to be meaningful.
    pub fn holds(&self, changes: usize) -> bool {
        self.fleet.holds() && self.changes >= changes && self.stale_sent > 0 && self.moves > self.moves_undone
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{}", self.fleet)?;
        write!(
            f,
            "owner: processes={} changes={} stale_effects_sent={} stale_effects_applied={} two_at_once={} moves={} \
             moves_undone={} held_past_limit={} cold_over_budget={} lost={} doubled={} gap_p99_ms={:.0} auditors={}/{}",
            self.fleet.processes,
            self.changes,
            self.stale_sent,
            self.stale_applied,
            self.two_at_once,
            self.moves,
            self.moves_undone,
            self.held_past_limit,
            self.cold_over_budget,
            self.fleet.lost,
            self.fleet.doubled,
            self.gap_p99_ms,
            self.fleet.auditors,
            super::audit::AUDITORS.len()
        )
    }
}
