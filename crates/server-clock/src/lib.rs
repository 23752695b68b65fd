//! Estimates the servers' time. The age of data is the difference between that time and a position. A process reads its
//! wall clock once, at its start, and then counts with the monotonic clock; but the wall clock may be wrong. Positions
//! of a primary are at the present, so a position in the future proves that this process is behind, unless that
//! server's own clock is ahead; positions of other servers tell the two cases apart. The estimate is only ever raised,
//! so bounds on the age of data get stricter, never looser (like the physical part of a hybrid logical clock). No I/O.

use std::collections::HashMap;
use std::time::Duration;

/// Positions are given in whole milliseconds, and clocks of one machine may differ by as much.
pub const TOLERANCE: Duration = Duration::from_millis(1);
/// Servers agree if they are ahead by amounts that differ by no more than this.
const MAX_DISAGREEMENT: Duration = Duration::from_secs(5);
/// For this long after a primary reported a position in the past, this process is known not to be behind.
const CONFIRMED_FOR: Duration = Duration::from_secs(10);
/// A single server is believed only if it has reported the same for this long and no other server has contradicted it.
const MIN_SINGLE_SERVER_TIME: Duration = Duration::from_millis(100);
/// A clock that is ahead by less makes servers seem slightly warmer than they are, which the reserve of cold budgets
/// covers.
const MIN_AHEAD: Duration = Duration::from_secs(1);

/// One position as a server reported it. All times are on the monotonic clock since the start of the process; the
/// position is converted to it with the present estimate of the servers' time.
#[derive(Clone, Copy, Debug)]
pub struct PositionSample {
    pub server: usize,
    /// It may be later than `now`.
    pub position: Duration,
    /// The server reports that it is a primary.
    pub primary: bool,
    /// When the request was sent; a primary's position is no older than that.
    pub asked: Duration,
    pub now: Duration,
}

/// What a position proves about this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in the past: nothing is wrong.
    Plausible,
    /// This process is behind by this much: positions are earlier by this much than they were converted to.
    Behind(Duration),
    /// It is in the future, and other servers contradict it: most likely the server's clock is wrong.
    Implausible,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    /// By how much this process is behind, if the server is right.
    behind: Duration,
    first: Duration,
}

/// Tracks what servers have reported about the time.
#[derive(Debug, Default)]
pub struct ServerClock {
    claims: HashMap<usize, Claim>,
    /// When a primary last reported a position in the past.
    confirmed: Option<Duration>,
    /// A lower bound of how far this process is ahead of the servers, from the closest of recent answers of primaries.
    ahead: Option<(Duration, Duration)>,
}

impl ServerClock {
    /// Judges a position. After `Behind` the caller must convert positions to times earlier by that much before the
    /// next call.
    pub fn judge(&mut self, sample: PositionSample) -> Verdict {
        if sample.position <= sample.now + TOLERANCE {
            self.claims.remove(&sample.server);
            if sample.primary {
                self.confirmed = Some(sample.now);
                self.update_ahead(sample);
            }
            return Verdict::Plausible;
        }
        // The servers' time went on while the answer was in transit.
        let behind = sample.position - sample.now + sample.now.saturating_sub(sample.asked);
        let claim = self.claims.entry(sample.server).or_insert(Claim { behind, first: sample.now });
        claim.behind = behind;
        let claim = *claim;
        let confirmed = self.is_confirmed(sample.now);
        let others = self.claims.iter().filter(|(server, _)| **server != sample.server);
        let agreed =
            others.map(|(_, claim)| claim.behind).filter(|other| other.abs_diff(behind) <= MAX_DISAGREEMENT);
        let largest = agreed.fold(None, |most: Option<Duration>, other| most.max(Some(other)));
        let is_only_claim = self.claims.len() == 1 && claim.first + MIN_SINGLE_SERVER_TIME <= sample.now;
        match largest {
            _ if confirmed => Verdict::Implausible,
            Some(largest) => self.behind(behind.max(largest)),
            None if is_only_claim => self.behind(behind),
            None => Verdict::Implausible,
        }
    }

    /// A lower bound of how far this process's clock is ahead of the servers'; 0 if that is less than a second.
    pub fn ahead(&self) -> Duration {
        self.ahead.map(|(ahead, _)| ahead).filter(|ahead| *ahead >= MIN_AHEAD).unwrap_or_default()
    }

    /// Whether a primary has shown of late that this process is not behind the servers.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.confirmed.is_some_and(|at| now < at + CONFIRMED_FOR)
    }

    /// Takes a lower bound over from another process of this machine that goes by the same estimate.
    pub fn adopt_ahead(&mut self, now: Duration, ahead: Duration) {
        self.ahead = (!ahead.is_zero()).then_some((ahead, now));
    }

    fn behind(&mut self, by: Duration) -> Verdict {
        self.claims.clear();
        self.ahead = None;
        Verdict::Behind(by)
    }

    /// A primary's position was the present at some time between the request and now. The closest of the recent ones
    /// counts, since a report may have been delayed.
    fn update_ahead(&mut self, sample: PositionSample) {
        let ahead = sample.asked.saturating_sub(sample.position);
        let recent = self.ahead.filter(|(_, at)| sample.now < *at + CONFIRMED_FOR);
        if recent.is_none_or(|(closest, _)| ahead <= closest) {
            self.ahead = Some((ahead, sample.now));
        }
    }
}
