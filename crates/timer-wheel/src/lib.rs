//! A hierarchical timing wheel: alarms are set, cancelled and found due in a few steps each, however many
//! there are.
//!
//! Time is cut into ticks. Each level has 64 slots; a slot of the lowest level is one tick, one of the next
//! as long as the whole level below. An alarm lies in the lowest level that still tells its tick from those
//! before it, and sinks a level each time the level below comes round to it. It is due at the end of its
//! tick, never before its time. Slots are lists through the entries, so that an alarm is taken out from
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

/// Slots of a level, and the bits of a tick that choose one.
const SLOTS: usize = 64;
const BITS: u32 = 6;
/// With ticks of a quarter of a millisecond they reach for 74 hours; what is later waits in the last slot.
const LEVELS: usize = 5;
const NONE: u32 = u32::MAX;

/// Names an alarm that was set. One that has rung or was cancelled names nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    /// The tick at whose end it is due, or the next free entry.
    tick: u64,
    slot: u32,
    newer: u32,
    older: u32,
    generation: u32,
    value: Option<T>,
}

/// Alarms by their time.
#[derive(Debug)]
pub struct TimerWheel<T> {
    tick: Duration,
    /// All ticks up to this one are over.
    now: u64,
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    heads: Vec<u32>,
    /// Which slots of a level hold anything.
    occupied: [u64; LEVELS],
    /// Taken from the wheel, and not given out yet.
    due: Vec<u32>,
    len: usize,
}

impl<T> TimerWheel<T> {
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

    /// Alarms that are set.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets an alarm: due once that time has come, at the latest a tick after. A time that is over is due at
    /// once.
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

    /// Takes an alarm out; `None` if it has rung or was cancelled before.
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

    /// Puts an entry into the slot where its tick belongs, seen from now.
    fn place(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick;
        // The highest bit in which its tick differs from now says how far up it lies.
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

    /// The next tick at which a slot has to be looked at: its alarms are due, or sink.
    fn next_tick(&self) -> Option<u64> {
        let level = |level: usize| {
            let (shift, occupied) = (BITS * level as u32, self.occupied[level]);
            if occupied == 0 {
                return None;
            }
            // Slots lie behind the present one, those before it in the next round of a level that has no
            // level above.
            let here = (self.now >> shift) as u32 % SLOTS as u32;
            let ahead = occupied.rotate_right(here).trailing_zeros();
            let ahead = if ahead == 0 { SLOTS as u64 } else { u64::from(ahead) };
            Some(((self.now >> shift) + ahead) << shift)
        };
        (0..LEVELS).filter_map(level).min()
    }

    /// The earliest time at which an alarm may be due; it may turn out to be none.
    pub fn next_due(&self) -> Option<Duration> {
        let tick = if self.due.is_empty() { self.next_tick()? } else { self.now };
        let nanos = u128::from(tick) * self.tick.as_nanos();
        Some(u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos))
    }

    /// One that is due; those of earlier ticks come first.
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

    /// Empties the slots that the present tick has come to: alarms are due, or sink to where they belong now.
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
