//! Admission control: decides by a few rules which txns are declined under overload.

use crate::adaptive_limit::AdaptiveLimit;
use crate::fair_share::FairShare;
use juniperdock_router::sliding_sum::SlidingSum;
use oorandom::Rand64;
use std::time::Duration;

/// Window over which the arrivals of each type are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Low-value txns are declined too once messages are this many times older than the lateness limit.
const VERY_LATE_FACTOR: u32 = 3;
/// When a txn declined for its value may be retried, as a share of its SLA time.
const RETRY_SLA_SHARE: f64 = 0.5;

/// The decision on a txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Admitted,
    /// Its caller exceeds its fair share. It may be retried after that time.
    OverShare(Duration),
    /// Its value per work is lower than that of others that fill the capacity. It may be retried after that time.
    LowValue(Duration),
}

/// The state of admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionStatus {
    /// Txns per second that arrive, and that may be admitted; no limit while there is no overload.
    pub offered: f64,
    pub limit: Option<f64>,
    pub share: Option<f64>,
    pub behind: Duration,
    pub declined_over_share: u64,
    pub declined_low_value: u64,
}

#[derive(Clone, Debug)]
struct TxnKind {
    value_per_work: f64,
    sla: Duration,
    arrivals: SlidingSum,
}

/// Decides which txns a front admits.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    late_after: Duration,
    fair: FairShare,
    rate: AdaptiveLimit,
    kinds: Vec<TxnKind>,
    rng: Rand64,
    declined: [u64; 2],
}

impl AdmissionControl {
    /// `late_after`: a message older than that shows that the front is behind. `callers`: how many are tracked.
    /// `kinds`: for each txn type its value per work, and its SLA time.
    pub fn new(
        seed: u64,
        late_after: Duration,
        callers: usize,
        kinds: &[(f64, Duration)],
    ) -> AdmissionControl {
        let kind = |&(value_per_work, sla): &(f64, Duration)| TxnKind {
            value_per_work,
            sla,
            arrivals: SlidingSum::new(RATE_WINDOW, 10),
        };
        let kinds = kinds.iter().map(kind).collect();
        AdmissionControl {
            late_after,
            fair: FairShare::new(callers),
            rate: AdaptiveLimit::new(late_after),
            kinds,
            rng: Rand64::new(seed.into()),
            declined: [0; 2],
        }
    }

    /// The front has handled a message that had waited for `age`.
    pub fn message_handled(&mut self, now: Duration, age: Duration) {
        self.rate.message_handled(now, age);
    }

    /// An admitted txn has its answer.
    pub fn txn_answered(&mut self, now: Duration) {
        self.rate.txn_answered(now);
    }

    /// Decides on an arriving txn; `retried` if its client reports that it was declined before.
    pub fn request(&mut self, now: Duration, caller: u64, kind: usize, retried: bool) -> Verdict {
        let limit = self.rate.limit(now);
        self.kinds[kind].arrivals.add(now, 1.0);
        let verdict = match self.fair.request(now, caller, retried, limit) {
            Err(wait) => Verdict::OverShare(wait),
            Ok(()) => self.check_value(now, kind, limit).map_or(Verdict::Admitted, Verdict::LowValue),
        };
        match verdict {
            Verdict::Admitted => self.rate.txn_admitted(now),
            Verdict::OverShare(_) => self.declined[0] += 1,
            Verdict::LowValue(_) => self.declined[1] += 1,
        }
        verdict
    }

    /// Far behind: only the capacity is admitted, the highest value per work first.
    fn check_value(&mut self, now: Duration, kind: usize, limit: Option<f64>) -> Option<Duration> {
        let limit = limit.filter(|_| self.rate.behind(now) > self.late_after * VERY_LATE_FACTOR)?;
        let value_per_work = self.kinds[kind].value_per_work;
        let mut above = 0.0;
        for other in &mut self.kinds {
            if other.value_per_work > value_per_work {
                above += other.arrivals.sum(now);
            }
        }
        let own_rate = self.kinds[kind].arrivals.sum(now).max(1.0);
        let part = ((limit * RATE_WINDOW.as_secs_f64() - above) / own_rate).clamp(0.0, 1.0);
        let declined = self.rng.rand_float() >= part;
        declined.then(|| self.kinds[kind].sla.mul_f64(RETRY_SLA_SHARE * (1.0 + self.rng.rand_float())))
    }

    /// The current state.
    pub fn status(&mut self, now: Duration) -> AdmissionStatus {
        AdmissionStatus {
            offered: self.fair.rate(now),
            limit: self.rate.limit(now),
            share: self.fair.share(),
            behind: self.rate.behind(now),
            declined_over_share: self.declined[0],
            declined_low_value: self.declined[1],
        }
    }
}
