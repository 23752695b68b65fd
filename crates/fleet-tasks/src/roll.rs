//! A rolling upgrade of the fleet, a few fronts at a time. The owner of the duty goes by the rules here, and tells all
//! fronts how far it has come with each step, so that the next owner goes on when this one is rolled itself or dies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A front that is not back after this has failed.
const BACK: Duration = Duration::from_secs(20);
/// So many txns show how a front serves; without them it is waited for this long.
const TXNS: u64 = 20;
const SEEN: Duration = Duration::from_secs(2);
/// All are told again so often.
const AGAIN: Duration = Duration::from_millis(300);
/// The most fronts at a time, and bytes of a program's path: a state has to fit into one datagram.
pub const AT_ONCE: usize = 4;
pub const PATH: usize = 48;

/// Why it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    CalledOff,
    /// That front did not come back in time.
    Missing(u16),
    /// It could not be upgraded, and goes on with the old process.
    Failed(u16),
    /// It is back, and answers less than half of its txns with success.
    Falls(u16),
}

impl End {
    fn code(self) -> (u8, u16) {
        match self {
            End::Done => (1, 0),
            End::CalledOff => (2, 0),
            End::Missing(front) => (3, front),
            End::Failed(front) => (4, front),
            End::Falls(front) => (5, front),
        }
    }

    fn of(code: (u8, u16)) -> Option<Option<End>> {
        Some(match code {
            (0, _) => None,
            (1, _) => Some(End::Done),
            (2, _) => Some(End::CalledOff),
            (3, front) => Some(End::Missing(front)),
            (4, front) => Some(End::Failed(front)),
            (5, front) => Some(End::Falls(front)),
            _ => return None,
        })
    }
}

/// What all fronts know of a roll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roll {
    /// Later rolls have higher numbers.
    pub number: u64,
    /// Counts its steps.
    pub step: u32,
    pub program: Option<String>,
    pub at_once: usize,
    /// Fronts that are through.
    pub back: BTreeSet<u16>,
    /// Those under way, with their lives before.
    pub under: BTreeMap<u16, u32>,
    pub end: Option<End>,
}

/// What the owner sees of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sees {
    pub life: u32,
    /// It hears a majority itself.
    pub whole: bool,
}

/// A front's word on itself: txns that its process has committed, and has not; the roll in which it failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serves {
    pub committed: u64,
    pub failed: u64,
    pub undone: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// All are to be told the state.
    Tell,
    /// A front is to be upgraded, if it still is in that life.
    Upgrade(u16, u32),
    Ended(End),
}

impl Roll {
    pub fn new(number: u64, program: Option<&str>, at_once: usize) -> Result<Roll, String> {
        if program.is_some_and(|program| program.len() > PATH) {
            return Err(format!("expected a program's path of at most {PATH} bytes"));
        }
        if !(1..=AT_ONCE).contains(&at_once) {
            return Err(format!("expected 1 to {AT_ONCE} fronts at once, found {at_once}"));
        }
        Ok(Roll { number, program: program.map(str::to_owned), at_once, ..Roll::default() })
    }

    /// The same roll, numbered above the newest one that is known. Its number by a wall clock, which may have been stepped
    /// back, is a hint only.
    #[must_use]
    pub fn numbered_after(mut self, newest: &Roll) -> Roll {
        self.number = self.number.max(newest.number.saturating_add(1));
        self
    }

    /// Whether it is the one of two that is to be followed.
    pub fn later(&self, other: &Roll) -> bool {
        (self.number, self.step) > (other.number, other.step)
    }

    pub fn going(&self) -> bool {
        self.number > 0 && self.end.is_none()
    }

    /// In as many bytes as fit into a datagram for tiers of up to 512 fronts.
    pub fn bytes(&self) -> Vec<u8> {
        let places = self.back.last().map_or(0, |&last| usize::from(last) / 8 + 1);
        let mut back = vec![0u8; places];
        self.back.iter().for_each(|&front| back[usize::from(front) / 8] |= 1 << (front % 8));
        let under: Vec<(u16, u32)> = self.under.iter().map(|(&front, &life)| (front, life)).collect();
        let end = self.end.map_or((0, 0), End::code);
        let at_once = self.at_once as u8;
        postcard::to_allocvec(&(self.number, self.step, at_once, &self.program, back, under, end))
            .unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Roll> {
        type Written = (u64, u32, u8, Option<String>, Vec<u8>, Vec<(u16, u32)>, (u8, u16));
        let ((number, step, at_once, program, bits, under, end), _) =
            postcard::take_from_bytes::<Written>(bytes).ok()?;
        let set = |front: &u16| bits[usize::from(*front) / 8] & 1 << (front % 8) != 0;
        let back = (0..bits.len() as u16 * 8).filter(set).collect();
        let (at_once, under) =
            (usize::from(at_once).clamp(1, AT_ONCE), under.into_iter().take(AT_ONCE).collect());
        Some(Roll { number, step, program, at_once, back, under, end: End::of(end)? })
    }
}

/// The owner's part: what it has seen since it owns the duty.
#[derive(Clone, Debug, Default)]
pub struct Rolling {
    since: BTreeMap<u16, Duration>,
    returned: BTreeMap<u16, Duration>,
    serves: BTreeMap<u16, Serves>,
    said: Option<Duration>,
}

impl Rolling {
    pub fn told(&mut self, front: u16, serves: Serves) {
        self.serves.insert(front, serves);
    }

    /// The first rule that holds. `sees`: the fronts that are there; `me`: this one, which goes last.
    pub fn rule(&mut self, now: Duration, me: u16, roll: &mut Roll, sees: &BTreeMap<u16, Sees>) -> Vec<Step> {
        if !roll.going() {
            return Vec::new();
        }
        for (&front, &life) in &roll.under {
            let began = *self.since.entry(front).or_insert(now);
            // One whose new process did not come up goes on in the old life.
            if self.serves.get(&front).is_some_and(|serves| serves.undone == roll.number) {
                return Self::end(roll, End::Failed(front));
            }
            let back = sees.get(&front).filter(|sees| sees.life > life && sees.whole);
            if back.is_none() {
                self.returned.remove(&front);
                if now > began + BACK {
                    return Self::end(roll, End::Missing(front));
                }
                continue;
            }
            let returned = *self.returned.entry(front).or_insert(now);
            // What it said of itself before it went counts no more.
            if returned == now {
                self.serves.remove(&front);
            }
            let Some(serves) = self.serves.get(&front).copied() else {
                if now > began + BACK {
                    return Self::end(roll, End::Missing(front));
                }
                continue;
            };
            let enough = serves.committed + serves.failed >= TXNS;
            if enough && serves.failed > serves.committed {
                return Self::end(roll, End::Falls(front));
            }
            if enough || now >= returned + SEEN {
                roll.under.remove(&front);
                roll.back.insert(front);
                roll.step += 1;
                self.said = Some(now);
                return vec![Step::Tell];
            }
        }
        let waits = |front: &&u16| !roll.back.contains(front) && !roll.under.contains_key(front);
        let mut next: Vec<u16> = sees.keys().filter(waits).copied().collect();
        next.sort_by_key(|&front| (front == me, front));
        if roll.under.len() < roll.at_once
            && let Some(&front) = next.first()
            // Whoever owns the duty goes when no other is under way: the next owner finds less to wait for.
            && (front != me || roll.under.is_empty())
        {
            let life = sees[&front].life;
            roll.under.insert(front, life);
            roll.step += 1;
            (self.said, _) = (Some(now), self.since.insert(front, now));
            return vec![Step::Tell, Step::Upgrade(front, life)];
        }
        if next.is_empty() && roll.under.is_empty() {
            return Self::end(roll, End::Done);
        }
        if self.said.is_none_or(|said| now >= said + AGAIN) {
            self.said = Some(now);
            // Those that have not gone yet may not have heard of it.
            let still =
                roll.under.iter().filter(|(front, life)| sees.get(front).is_some_and(|s| s.life == **life));
            let again = still.map(|(&front, &life)| Step::Upgrade(front, life));
            return [Step::Tell].into_iter().chain(again).collect();
        }
        Vec::new()
    }

    fn end(roll: &mut Roll, end: End) -> Vec<Step> {
        (roll.end, roll.step) = (Some(end), roll.step + 1);
        vec![Step::Tell, Step::Ended(end)]
    }

    /// It is to go no further; those under way end as they end.
    pub fn call_off(roll: &mut Roll) -> Vec<Step> {
        if roll.going() { Self::end(roll, End::CalledOff) } else { Vec::new() }
    }
}
