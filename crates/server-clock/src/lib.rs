//! What time it is at the servers. The age of data is the difference between that and a position; a process takes it from
//! its wall clock once, at its start, and counts on with the monotonic clock. A wall clock may have been stepped. A primary
//! sits at the present: a position that lies in the future proves that this process is behind, unless its server's own
//! clock is ahead. What tells the two apart is what other servers say. The estimate is only ever raised, so bounds on the
//! age of data get stricter, never looser (as the physical part of a hybrid logical clock does). No I/O.

use std::collections::HashMap;
use std::time::Duration;

/// Positions are told in whole milliseconds, and clocks of one machine may differ by as much.
pub const TOLERANCE: Duration = Duration::from_millis(1);
/// Servers that are ahead by about as much as each other agree.
const AGREEMENT: Duration = Duration::from_secs(5);
/// A primary that told a position of the past so recently proves that this process is not behind.
const CONFIRMED_FOR: Duration = Duration::from_secs(10);
/// A single server is believed only once it has said so for this long, and nobody has said anything else.
const ALONE_AFTER: Duration = Duration::from_millis(100);
/// A clock that is ahead by less makes servers seem a little warmer than they are: within what cold budgets leave.
const AHEAD_FROM: Duration = Duration::from_secs(1);

/// One position, as a server told it. Times are of the monotonic clock, since this process's start; the position lies there by what is known of the servers' time.
#[derive(Clone, Copy, Debug)]
pub struct PositionSample {
    pub server: usize,
    /// It may lie after `now`.
    pub position: Duration,
    /// The server says that it is a primary.
    pub primary: bool,
    /// When it was asked; the position is no older than that at a primary.
    pub asked: Duration,
    pub now: Duration,
}

/// What a position says of this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It lies in the past: nothing is wrong.
    Plausible,
    /// This process is behind by so much: positions lie that much earlier than it dated them.
    Behind(Duration),
    /// It lies in the future, and others speak against it: its server is wrong, as far as can be told.
    Implausible,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    /// By how much this process is behind, if the server is right.
    behind: Duration,
    first: Duration,
}

/// Keeps what servers have said of the time.
#[derive(Debug, Default)]
pub struct ServerClock {
    claims: HashMap<usize, Claim>,
    /// When a primary last told a position of the past.
    confirmed: Option<Duration>,
    /// By how much this process is ahead of the servers at least, by the nearest of recent answers of primaries.
    ahead: Option<(Duration, Duration)>,
}

impl ServerClock {
    /// Judges a position. After `Behind` the caller has to date positions that much earlier before it asks again.
    pub fn judge(&mut self, sample: PositionSample) -> Verdict {
        if sample.position <= sample.now + TOLERANCE {
            self.claims.remove(&sample.server);
            if sample.primary {
                self.confirmed = Some(sample.now);
                self.note_ahead(sample);
            }
            return Verdict::Plausible;
        }
        // While the answer was on its way time went on there, too.
        let behind = sample.position - sample.now + sample.now.saturating_sub(sample.asked);
        let claim = self.claims.entry(sample.server).or_insert(Claim { behind, first: sample.now });
        claim.behind = behind;
        let claim = *claim;
        let confirmed = self.confirmed.is_some_and(|at| sample.now < at + CONFIRMED_FOR);
        let others = self.claims.iter().filter(|(server, _)| **server != sample.server);
        let agreed =
            others.map(|(_, claim)| claim.behind).filter(|other| other.abs_diff(behind) <= AGREEMENT);
        let largest = agreed.fold(None, |most: Option<Duration>, other| most.max(Some(other)));
        let alone = self.claims.len() == 1 && claim.first + ALONE_AFTER <= sample.now;
        match largest {
            _ if confirmed => Verdict::Implausible,
            Some(largest) => self.behind(behind.max(largest)),
            None if alone => self.behind(behind),
            None => Verdict::Implausible,
        }
    }

    /// How much later than at the servers it is here, at least; 0 for less than a second.
    pub fn ahead(&self) -> Duration {
        self.ahead.map(|(ahead, _)| ahead).filter(|ahead| *ahead >= AHEAD_FROM).unwrap_or_default()
    }

    fn behind(&mut self, by: Duration) -> Verdict {
        self.claims.clear();
        self.ahead = None;
        Verdict::Behind(by)
    }

    /// A primary's position was the present when it was told, between the question and now. The nearest of what was
    /// told of late counts: a report may have lain there for a while.
    fn note_ahead(&mut self, sample: PositionSample) {
        let ahead = sample.asked.saturating_sub(sample.position);
        let recent = self.ahead.filter(|(_, at)| sample.now < *at + CONFIRMED_FOR);
        if recent.is_none_or(|(nearest, _)| ahead <= nearest) {
            self.ahead = Some((ahead, sample.now));
        }
    }
}
