//! The owner's part: one front's claim on one duty.

use crate::{counted, majority};
use std::time::Duration;

/// Terms are told apart by their lowest bits: no two fronts ever ask under the same one.
const PLACES: u32 = 16;

/// No term that was asked for before a life began is above this: terms begin at lives, and rise more slowly.
pub(crate) fn floor(life: u32) -> u64 {
    u64::from(life) << PLACES
}

/// One front's claim on one duty: a round of questions at a time, and what came of the rounds so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    front: u16,
    /// The highest term that was heard of, refused to this front or given up by it: the next one is above it.
    above: u64,
    /// The term and number of the round that is out, when it began, and who has granted.
    asking: u64,
    round: u32,
    asked: Duration,
    granted: Vec<u16>,
    /// The term that a majority has granted, and until when it counts.
    held: Option<(u64, Duration)>,
}

impl Claim {
    /// Terms begin above a front's own life, so that they rise even when nobody remembers any.
    pub fn new(front: u16, life: u32) -> Claim {
        let above = floor(life);
        let (granted, held) = (Vec::new(), None);
        Claim { front, above, asking: 0, round: 0, asked: Duration::ZERO, granted, held }
    }

    /// Begins a round: gives the term that goes out with the questions. Time counts from here, before any is
    /// written. `round`: a number that no question of this process had before, of whatever claim: an answer to an
    /// earlier claim under the same term would count from too late a time.
    pub fn ask(&mut self, now: Duration, round: u32) -> u64 {
        self.lapse(now);
        if self.asking <= self.above {
            self.asking = ((self.above >> PLACES) + 1) << PLACES | u64::from(self.front);
        }
        (self.round, self.asked) = (round, now);
        self.granted.clear();
        self.asking
    }

    /// One of the tier has granted a round; true if this front holds a term that it did not hold before.
    pub fn granted(
        &mut self,
        now: Duration,
        from: u16,
        term: u64,
        round: u32,
        tier: usize,
        lasts: Duration,
    ) -> bool {
        // What comes of an earlier round would count from too late a time.
        if (term, round) != (self.asking, self.round) || round == 0 || self.granted.contains(&from) {
            return false;
        }
        self.granted.push(from);
        self.granted.sort_unstable();
        let until = self.asked + counted(lasts);
        if self.granted.len() < majority(tier) || until <= now {
            return false;
        }
        let before = self.held(now).map(|(term, _)| term);
        self.held = Some((term, until));
        before != Some(term)
    }

    /// Somebody knows a term that is not below this front's: it goes above it.
    pub fn told(&mut self, newest: u64) {
        self.above = self.above.max(newest.min(u64::MAX >> 1));
    }

    /// The term that it holds now, and until when.
    pub fn held(&self, now: Duration) -> Option<(u64, Duration)> {
        self.held.filter(|&(_, until)| now < until)
    }

    /// Notes that its time has run out; gives the term that it held. That one is never asked for again.
    pub fn lapse(&mut self, now: Duration) -> Option<u64> {
        let (term, _) = self.held.take_if(|(_, until)| *until <= now)?;
        self.above = self.above.max(term);
        Some(term)
    }

    /// Holds it no more, by its own will, and asks no more; gives the term to be given back.
    pub fn give(&mut self) -> u64 {
        self.held = None;
        self.granted.clear();
        // Grants of the round that is out come too late.
        self.round = 0;
        self.above = self.above.max(self.asking);
        self.asking
    }

    /// When the round that is out began.
    pub fn asked(&self) -> Duration {
        self.asked
    }

    /// Whether any has granted the round that is out.
    pub fn partly(&self) -> bool {
        !self.granted.is_empty()
    }
}
