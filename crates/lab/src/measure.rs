//! Results of a run: value per second, latency, txns held by members, and the fronts' view of the primaries.

use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use juniperdock_emulator::{CallOutcome, FinalAnswer, Kind, Out, Violation};
use juniperdock_membership::{Connectivity, Membership};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Length in seconds of the sliding window for the worst share of served value.
const WORST_WINDOW_S: usize = 5;
/// Service has recovered when it reaches this share of its earlier level over `RECOVERY_WINDOW_S` seconds.
const RECOVERED_SHARE: f64 = 0.95;
const RECOVERY_WINDOW_S: usize = 3;

/// Counts of one second; a wish (a txn including its retries) counts in the second in which it began.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub wishes: u32,
    pub in_time: u32,
    pub late: u32,
    pub declined: u32,
    pub unknown: u32,
    pub unanswered: u32,
    pub value: f64,
    pub got: f64,
    /// Percentiles of the time to a committed answer, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Declines sent by fronts, counted per attempt.
    pub declines: u32,
}

/// A sample of the state of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateSample {
    pub at_s: f64,
    /// Txns held by each member.
    pub held: Vec<u16>,
    /// By group: 0 the first front's view matches the actual primary, 1 there is no primary, 2 the front has no
    /// primary, 3 the front's view names a different member.
    pub primaries: Vec<u8>,
    /// Txns that wait at the fronts, over all fronts.
    pub open: usize,
}

/// Connectivity of the fronts at the end of a run, and the traffic of the membership protocol.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipSummary {
    pub whole: usize,
    pub part: usize,
    pub alone: usize,
    pub datagrams: u64,
    pub bytes: u64,
}

impl MembershipSummary {
    /// Sums up the membership state of the given fronts.
    pub fn of<'a>(fronts: impl Iterator<Item = &'a Membership>) -> MembershipSummary {
        let mut sum = MembershipSummary::default();
        for front in fronts {
            match front.connectivity().0 {
                Connectivity::Majority => sum.whole += 1,
                Connectivity::Minority => sum.part += 1,
                Connectivity::Isolated => sum.alone += 1,
            }
            sum.datagrams += front.datagrams_out;
            sum.bytes += front.bytes_out;
        }
        sum
    }
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub title: String,
    pub seed: u64,
    /// Name of the policy that made the routing decisions.
    pub by: String,
    /// True for a run in simulated time, false for a run on sockets.
    pub simulated: bool,
    pub wishes: u64,
    pub tries: u64,
    pub value: f64,
    pub got: f64,
    pub served: f64,
    pub worst_window: f64,
    /// Seconds from the end of the last fault until service was back at its level before the first one; `None` if it
    /// never was.
    pub recovered_s: Option<f64>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub declined: u64,
    pub unknown: u64,
    /// Wishes whose last attempt had no answer when the client stopped waiting.
    pub unanswered: u64,
    /// Attempts, including retried ones, that were answered within the grace period after the client stopped waiting.
    #[serde(default)]
    pub in_grace: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fellows: Option<MembershipSummary>,
    pub late: u64,
    pub rules_broken: [usize; 5],
    pub broken: Vec<String>,
    pub trace: String,
    pub events: u64,
    pub wall_s: f64,
    pub seconds: Vec<Second>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub moments: Vec<StateSample>,
}

/// Collects counts during a run.
pub struct Measure {
    kinds: Vec<Kind>,
    seconds: Vec<Second>,
    by_second: Vec<Histogram<u32>>,
    all: Histogram<u64>,
    tries: u64,
    pub moments: Vec<StateSample>,
}

fn histogram<C: hdrhistogram::Counter>() -> Histogram<C> {
    Histogram::new_with_bounds(1, 120_000_000, 2).expect("the histogram bounds are valid")
}

fn percentile<C: hdrhistogram::Counter>(of: &Histogram<C>, percent: f64) -> f64 {
    if of.is_empty() { 0.0 } else { of.value_at_percentile(percent) as f64 / 1000.0 }
}

impl Measure {
    /// Prepares counters for a run of length `lasts`.
    pub fn new(kinds: Vec<Kind>, lasts: Duration) -> Measure {
        let n = lasts.as_secs_f64().ceil().max(1.0) as usize;
        let by_second = (0..n).map(|_| histogram()).collect();
        Measure {
            kinds,
            seconds: vec![Second::default(); n],
            by_second,
            all: histogram(),
            tries: 0,
            moments: Vec::new(),
        }
    }

    /// Counts an event of the emulator.
    pub fn record(&mut self, now: Duration, out: &Out) {
        let last = self.seconds.len() - 1;
        match *out {
            Out::Done { kind, begun, took, how, .. } => {
                let at = (begun.as_secs() as usize).min(last);
                let (second, terms) = (&mut self.seconds[at], &self.kinds[kind].terms);
                second.wishes += 1;
                second.value += terms.value;
                match how {
                    CallOutcome::InTime => {
                        second.in_time += 1;
                        second.got += terms.value;
                    }
                    CallOutcome::Late => {
                        second.late += 1;
                        second.got += terms.value * terms.late_value;
                    }
                    CallOutcome::Declined => second.declined += 1,
                    CallOutcome::Unknown => second.unknown += 1,
                    CallOutcome::Unanswered => second.unanswered += 1,
                }
                if matches!(how, CallOutcome::InTime | CallOutcome::Late) {
                    let micros = (took.as_micros() as u64).clamp(1, 120_000_000);
                    self.by_second[at].saturating_record(micros);
                    self.all.saturating_record(micros);
                }
            }
            Out::Answered { told, .. } => {
                self.tries += 1;
                let at = (now.as_secs() as usize).min(last);
                self.seconds[at].declines += u32::from(told == FinalAnswer::Declined);
            }
            _ => {}
        }
    }

    /// Computes the figures of the run.
    pub fn outcome(
        mut self,
        scenario: &Scenario,
        seed: u64,
        by: &str,
        simulated: bool,
        rules: [usize; 5],
        broken: &[Violation],
    ) -> Outcome {
        for (second, of) in self.seconds.iter_mut().zip(&self.by_second) {
            (second.p50_ms, second.p99_ms) = (percentile(of, 50.0), percentile(of, 99.0));
        }
        let sum = |of: fn(&Second) -> u32| self.seconds.iter().map(|s| u64::from(of(s))).sum::<u64>();
        let (value, got) = self.seconds.iter().fold((0.0, 0.0), |(v, g), s| (v + s.value, g + s.got));
        let share = |of: &[Second]| {
            let (value, got) = of.iter().fold((0.0, 0.0), |(v, g), s| (v + s.value, g + s.got));
            if value > 0.0 { got / value } else { 1.0 }
        };
        let window = WORST_WINDOW_S.min(self.seconds.len());
        let worst_window = self.seconds.windows(window).map(share).fold(1.0, f64::min);
        let recovered_s = scenario.last_fault_end_s().and_then(|last_fault_end| {
            let first = scenario.troubles.iter().map(|t| t.at_s).fold(f64::MAX, f64::min) as usize;
            let before = share(&self.seconds[..first.clamp(1, self.seconds.len())]);
            let from = (last_fault_end as usize).min(self.seconds.len());
            let recovered = |of: &[Second]| share(of) >= RECOVERED_SHARE * before;
            let at = self.seconds[from..]
                .windows(RECOVERY_WINDOW_S.min(self.seconds.len() - from).max(1))
                .position(recovered);
            at.map(|at| (from + at) as f64 - last_fault_end.floor())
        });
        Outcome {
            title: scenario.title.clone(),
            seed,
            by: by.to_owned(),
            simulated,
            wishes: sum(|s| s.wishes),
            tries: self.tries,
            value,
            got,
            served: if value > 0.0 { got / value } else { 1.0 },
            worst_window,
            recovered_s,
            p50_ms: percentile(&self.all, 50.0),
            p99_ms: percentile(&self.all, 99.0),
            declined: sum(|s| s.declined),
            unknown: sum(|s| s.unknown),
            unanswered: sum(|s| s.unanswered),
            in_grace: 0,
            fellows: None,
            late: sum(|s| s.late),
            rules_broken: rules,
            broken: broken
                .iter()
                .map(|b| format!("rule {} at {:.3} s: {}", b.rule, b.at.as_secs_f64(), b.what))
                .collect(),
            trace: String::new(),
            events: 0,
            wall_s: 0.0,
            seconds: self.seconds,
            moments: self.moments,
        }
    }
}

impl Outcome {
    /// Whether no rule was violated.
    pub fn rules_kept(&self) -> bool {
        self.rules_broken.iter().all(|&n| n == 0)
    }

    /// The scenario's expectations that were not met.
    pub fn unmet_expectations(&self, scenario: &Scenario) -> Vec<String> {
        let expect = &scenario.expect;
        let mut misses = Vec::new();
        if !self.rules_kept() {
            misses.push(format!("rules broken: {:?}", self.rules_broken));
        }
        let mut check_minimum = |name: &str, found: f64, expected: Option<f64>| {
            if let Some(expected) = expected.filter(|&expected| found < expected) {
                misses.push(format!("{name} {found:.3}, expected {expected:.3} at least"));
            }
        };
        check_minimum("served", self.served, expect.served);
        check_minimum("worst window", self.worst_window, expect.worst_window);
        if let Some(expected) = expect.recovered_s {
            match self.recovered_s {
                Some(found) if found <= expected => {}
                found => misses.push(format!("recovered after {found:?} s, expected {expected} s at most")),
            }
        }
        misses
    }
}
