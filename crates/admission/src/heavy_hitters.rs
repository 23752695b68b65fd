//! The most frequent callers among any number, in bounded memory: the space-saving sketch, with decaying counts.
//!
//! It keeps a fixed number of callers. A new caller replaces the one with the lowest count and takes over that count
//! as its possible error. A caller with more than 1 part in that number of the total is always kept, and a count less
//! its error never exceeds the true count. Counts decay with a half-life: instead of lowering all counts, later ones
//! weigh more.
//!
//! ```
//! use juniperdock_admission::HeavyHitters;
//! use std::time::Duration;
//!
//! let mut sketch = HeavyHitters::new(4, Duration::from_secs(1));
//! for i in 0..1000 {
//!     sketch.add(Duration::from_millis(i), if i % 2 == 0 { 7 } else { 1000 + i }, 1.0);
//! }
//! let now = Duration::from_secs(1);
//! let bound = sketch.lower_bound(now, 7);
//! assert!(bound > 0.3 * sketch.total(now) && bound <= 0.51 * sketch.total(now), "{bound}");
//! assert!(sketch.lower_bound(now, 1999) < 2.0);
//! ```

use std::collections::HashMap;
use std::time::Duration;

/// Counts are rescaled once weights have grown for this many half-lives.
const MAX_HALF_LIVES: f64 = 40.0;

#[derive(Clone, Copy, Debug)]
struct Slot {
    caller: u64,
    count: f64,
    error: f64,
    /// Its index in the heap.
    heap_index: u32,
}

/// A space-saving sketch with decaying counts.
#[derive(Clone, Debug)]
pub struct HeavyHitters {
    half_life: Duration,
    capacity: usize,
    /// The time at which the weight is 1.
    reference_time: Duration,
    total: f64,
    slots: Vec<Slot>,
    /// Slots by count, the lowest first.
    heap: Vec<u32>,
    slot_of: HashMap<u64, u32>,
}

impl HeavyHitters {
    /// Keeps up to `capacity` callers.
    pub fn new(capacity: usize, half_life: Duration) -> HeavyHitters {
        let (slots, heap, slot_of) = (Vec::new(), Vec::new(), HashMap::new());
        HeavyHitters {
            half_life: half_life.max(Duration::from_millis(1)),
            capacity: capacity.max(1),
            reference_time: Duration::ZERO,
            total: 0.0,
            slots,
            heap,
            slot_of,
        }
    }

    /// The weight of a count at that time.
    fn weight(&self, now: Duration) -> f64 {
        (now.saturating_sub(self.reference_time).as_secs_f64() / self.half_life.as_secs_f64()).exp2()
    }

    /// Counts a caller; returns the slot in which it is kept.
    pub fn add(&mut self, now: Duration, caller: u64, amount: f64) -> usize {
        if now.saturating_sub(self.reference_time).as_secs_f64()
            > MAX_HALF_LIVES * self.half_life.as_secs_f64()
        {
            let by = 1.0 / self.weight(now);
            self.slots
                .iter_mut()
                .for_each(|slot| (slot.count, slot.error) = (slot.count * by, slot.error * by));
            (self.total, self.reference_time) = (self.total * by, now);
        }
        let amount = amount * self.weight(now);
        self.total += amount;
        let at = match self.slot_of.get(&caller) {
            Some(&at) => at,
            None if self.slots.len() < self.capacity => {
                let at = self.slots.len() as u32;
                self.slots.push(Slot { caller, count: 0.0, error: 0.0, heap_index: at });
                self.heap.push(at);
                self.slot_of.insert(caller, at);
                self.sift_up(at as usize);
                at
            }
            None => {
                let at = self.heap[0];
                let slot = &mut self.slots[at as usize];
                self.slot_of.remove(&slot.caller);
                (slot.caller, slot.error) = (caller, slot.count);
                self.slot_of.insert(caller, at);
                at
            }
        };
        self.slots[at as usize].count += amount;
        self.sift_down(self.slots[at as usize].heap_index as usize);
        at as usize
    }

    /// Lower bound on a caller's decayed count; 0 for one that is not kept.
    pub fn lower_bound(&self, now: Duration, caller: u64) -> f64 {
        let slot = self.slot_of.get(&caller).map(|&at| self.slots[at as usize]);
        slot.map_or(0.0, |slot| (slot.count - slot.error) / self.weight(now))
    }

    /// Upper bound on a caller's decayed count.
    pub fn upper_bound(&self, now: Duration, caller: u64) -> f64 {
        let slot = self.slot_of.get(&caller).map(|&at| self.slots[at as usize].count);
        let least = if self.slots.len() < self.capacity {
            0.0
        } else {
            self.heap.first().map_or(0.0, |&at| self.slots[at as usize].count)
        };
        slot.unwrap_or(least) / self.weight(now)
    }

    /// The decayed count of all callers.
    pub fn total(&self, now: Duration) -> f64 {
        self.total / self.weight(now)
    }

    /// The rate per second that a decayed count stands for.
    pub fn per_second(&self, count: f64) -> f64 {
        count * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    /// The callers that are kept with the lower bounds of their counts, slot by slot.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (u64, f64)> + '_ {
        let weight = self.weight(now);
        self.slots.iter().map(move |slot| (slot.caller, (slot.count - slot.error) / weight))
    }

    /// Approximate memory use in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Slot>()
            + self.heap.capacity() * 4
            + self.slot_of.capacity() * (size_of::<(u64, u32)>() + 1)
    }

    fn count(&self, heap_index: usize) -> f64 {
        self.slots[self.heap[heap_index] as usize].count
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.slots[self.heap[a] as usize].heap_index = a as u32;
        self.slots[self.heap[b] as usize].heap_index = b as u32;
    }

    fn sift_up(&mut self, mut heap_index: usize) {
        while heap_index > 0 && self.count(heap_index) < self.count((heap_index - 1) / 2) {
            self.swap(heap_index, (heap_index - 1) / 2);
            heap_index = (heap_index - 1) / 2;
        }
    }

    fn sift_down(&mut self, mut heap_index: usize) {
        loop {
            let least =
                [2 * heap_index + 1, 2 * heap_index + 2].into_iter().filter(|&child| child < self.heap.len());
            let least = least.min_by(|&a, &b| self.count(a).total_cmp(&self.count(b)));
            match least.filter(|&child| self.count(child) < self.count(heap_index)) {
                Some(child) => self.swap(heap_index, child),
                None => return,
            }
            heap_index = least.unwrap_or(heap_index);
        }
    }
}
