//! A hierarchical timer wheel: scheduling, cancelling and finding due timers take a few steps each, however many there
//! are.
//!
//! Time is divided into ticks. Each level has 64 slots; a slot of the lowest level is one tick, a slot of any other
//! level is as long as the whole level below. A timer is placed in the lowest level that still distinguishes its tick
//! from the present one, and moves down a level each time the present tick reaches its slot. It is due at the end of
//! its tick, never before its time. Slots are linked lists through the entries, so that a timer can be removed from
//! anywhere.
//!
//! ```
//! use juniperdock_timer_wheel::TimerWheel;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let mut wheel = TimerWheel::new(ms(1));
//! let late = wheel.schedule(ms(500), "late");
//! wheel.schedule(ms(20), "soon");
//! assert_eq!(wheel.next_due(), Some(ms(20)));
//! assert_eq!(wheel.pop_due(ms(19)), None);
//! assert_eq!(wheel.pop_due(ms(20)), Some("soon"));
//! assert_eq!((wheel.cancel(late), wheel.cancel(late), wheel.len()), (Some("late"), None, 0));
//! ```

use std::time::Duration;

/// Slots of a level, and the number of bits of a tick that select one.
const SLOTS: usize = 64;
const BITS: u32 = 6;
/// With ticks of 250 microseconds the levels cover 74 hours; later timers wait in the last slot.
const LEVELS: usize = 5;
const NONE: u32 = u32::MAX;

/// Identifies a scheduled timer. The key of a timer that has fired or was cancelled is no longer valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    /// The tick at whose end it is due.
    tick: u64,
    slot: u32,
    newer: u32,
    older: u32,
    generation: u32,
    value: Option<T>,
}

/// Timers ordered by their time.
#[derive(Debug)]
pub struct TimerWheel<T> {
    tick: Duration,
    /// The last tick that has passed.
    now: u64,
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    heads: Vec<u32>,
    /// Bit set of the occupied slots, for each level.
    occupied: [u64; LEVELS],
    /// Timers that are due and not yet returned.
    due: Vec<u32>,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel with ticks of this length.
    pub fn new(tick: Duration) -> TimerWheel<T> {
        TimerWheel {
            tick: tick.max(Duration::from_nanos(1)),
            now: 0,
            entries: Vec::new(),
            free: Vec::new(),
            heads: vec![NONE; SLOTS * LEVELS],
            occupied: [0; LEVELS],
            due: Vec::new(),
            len: 0,
        }
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Schedules a timer. It is due once its time has come, at most one tick later; a time in the past is due at once.
    pub fn schedule(&mut self, at: Duration, value: T) -> TimerKey {
        let tick = at.as_nanos().div_ceil(self.tick.as_nanos());
        let tick = u64::try_from(tick).unwrap_or(u64::MAX).max(self.now + 1);
        let index = self.free.pop().unwrap_or_else(|| {
            let (newer, older) = (NONE, NONE);
            self.entries.push(Entry { tick: 0, slot: NONE, newer, older, generation: 0, value: None });
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        (entry.tick, entry.value) = (tick, Some(value));
        let generation = entry.generation;
        self.len += 1;
        self.place(index);
        TimerKey { index, generation }
    }

    /// Cancels a timer; `None` if it has fired or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry =
            self.entries.get(key.index as usize).filter(|entry| entry.generation == key.generation)?;
        entry.value.as_ref()?;
        if entry.slot == NONE {
            self.due.retain(|&due| due != key.index);
        } else {
            self.unlink(key.index);
        }
        self.release(key.index)
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(index);
        self.len -= 1;
        entry.value.take()
    }

    /// Links an entry into the slot for its tick, as seen from the present tick.
    fn place(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick;
        // The highest bit in which its tick differs from the present one gives the level.
        let differs = 63 - (tick ^ self.now).max(1).leading_zeros();
        let level = ((differs / BITS) as usize).min(LEVELS - 1);
        let reach = BITS * LEVELS as u32;
        let beyond = differs >= reach;
        let at = if beyond { SLOTS - 1 } else { (tick >> (BITS * level as u32)) as usize % SLOTS };
        let slot = level * SLOTS + at;
        let head = std::mem::replace(&mut self.heads[slot], index);
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.newer, entry.older) = (slot as u32, NONE, head);
        if head != NONE {
            self.entries[head as usize].newer = index;
        }
        self.occupied[level] |= 1 << at;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { slot, newer, older, .. } = self.entries[index as usize];
        match self.entries.get_mut(newer as usize) {
            Some(newer) => newer.older = older,
            None => self.heads[slot as usize] = older,
        }
        if let Some(older) = self.entries.get_mut(older as usize) {
            older.newer = newer;
        }
        if self.heads[slot as usize] == NONE {
            self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
        }
        self.entries[index as usize].slot = NONE;
    }

    /// The next tick at which a slot has to be emptied: its timers are due, or move down a level.
    fn next_tick(&self) -> Option<u64> {
        let level = |level: usize| {
            let (shift, occupied) = (BITS * level as u32, self.occupied[level]);
            if occupied == 0 {
                return None;
            }
            // Slots lie ahead of the present one; in the highest level, those before it belong to the next round.
            let here = (self.now >> shift) as u32 % SLOTS as u32;
            let ahead = occupied.rotate_right(here).trailing_zeros();
            let ahead = if ahead == 0 { SLOTS as u64 } else { u64::from(ahead) };
            Some(((self.now >> shift) + ahead) << shift)
        };
        (0..LEVELS).filter_map(level).min()
    }

    /// The earliest time at which a timer may be due; `pop_due` may find none then.
    pub fn next_due(&self) -> Option<Duration> {
        let tick = if self.due.is_empty() { self.next_tick()? } else { self.now };
        let nanos = u128::from(tick) * self.tick.as_nanos();
        Some(u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos))
    }

    /// Returns a timer that is due; those of earlier ticks come first.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let until = u64::try_from(now.as_nanos() / self.tick.as_nanos()).unwrap_or(u64::MAX);
        while self.due.is_empty() {
            let Some(tick) = self.next_tick().filter(|&tick| tick <= until) else {
                self.now = self.now.max(until);
                return None;
            };
            self.now = tick;
            self.empty_slots();
        }
        let index = self.due.pop()?;
        self.release(index)
    }

    /// Empties the slots that the present tick has reached: timers are due, or move down to the level where they belong
    /// now.
    fn empty_slots(&mut self) {
        for level in (0..LEVELS).rev() {
            let shift = BITS * level as u32;
            if self.now & ((1 << shift) - 1) != 0 {
                continue;
            }
            let at = (self.now >> shift) as usize % SLOTS;
            let mut next = self.heads[level * SLOTS + at];
            while next != NONE {
                let index = next;
                next = self.entries[index as usize].older;
                self.unlink(index);
                if self.entries[index as usize].tick <= self.now {
                    self.due.push(index);
                } else {
                    self.place(index);
                }
            }
        }
    }
}
