//! A priority queue of future events, ordered by time; events at the same time keep the order in which they were set.
//!
//! This is a calendar queue: the near future is divided into days of equal length, each an unsorted vector that is
//! sorted once its day comes; later events wait in one heap. Setting and taking an event take a constant number of
//! steps for near events, however many are pending, as long as each day holds few of them.
//!
//! ```
//! use juniperdock_emulator::Calendar;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let mut calendar = Calendar::new(Duration::from_micros(250), 64);
//! calendar.set(ms(9), "b");
//! calendar.set(ms(9), "c");
//! calendar.set(ms(2), "a");
//! calendar.set(ms(9000), "d");
//! let taken: Vec<_> = std::iter::from_fn(|| calendar.take()).map(|(_, what)| what).collect();
//! assert_eq!(taken, ["a", "b", "c", "d"]);
//! ```

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Debug)]
struct Entry<T> {
    /// Time, in nanoseconds.
    at: u64,
    sequence: u64,
    event: T,
}

impl<T> Entry<T> {
    fn order(&self) -> (u64, u64) {
        (self.at, self.sequence)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

/// A calendar queue of events.
#[derive(Debug)]
pub struct Calendar<T> {
    /// Length of a day, in nanoseconds.
    length: u64,
    /// The day whose events are being taken. `sorted` holds its events, the latest first; `inserted` holds those set
    /// since it began.
    current_day: u64,
    sorted: Vec<Entry<T>>,
    inserted: BinaryHeap<Reverse<Entry<T>>>,
    days: Vec<Vec<Entry<T>>>,
    /// One bit for each of `days`: set if it holds events.
    occupied: Vec<u64>,
    overflow: BinaryHeap<Reverse<Entry<T>>>,
    sequence: u64,
    len: usize,
}

impl<T> Calendar<T> {
    /// Creates a calendar whose near range has `days` days of this length, rounded up to a multiple of 64 days.
    pub fn new(length: Duration, days: usize) -> Calendar<T> {
        let words = days.div_ceil(64).max(1);
        Calendar {
            length: (length.as_nanos() as u64).max(1),
            current_day: 0,
            sorted: Vec::new(),
            inserted: BinaryHeap::new(),
            days: (0..64 * words).map(|_| Vec::new()).collect(),
            occupied: vec![0; words],
            overflow: BinaryHeap::new(),
            sequence: 0,
            len: 0,
        }
    }

    /// Number of pending events.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an event. One in the past is taken next, in its order of time.
    pub fn set(&mut self, at: Duration, event: T) {
        let at = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
        self.sequence += 1;
        self.len += 1;
        self.insert(Entry { at, sequence: self.sequence, event });
    }

    fn insert(&mut self, entry: Entry<T>) {
        let day = entry.at / self.length;
        if day <= self.current_day {
            self.inserted.push(Reverse(entry));
        } else if day - self.current_day < self.days.len() as u64 {
            let at = (day % self.days.len() as u64) as usize;
            self.days[at].push(entry);
            self.occupied[at / 64] |= 1 << (at % 64);
        } else {
            self.overflow.push(Reverse(entry));
        }
    }

    /// Time of the next event.
    pub fn next_at(&mut self) -> Option<Duration> {
        self.advance_to_next();
        let sorted = self.sorted.last().map(|entry| entry.at);
        let inserted = self.inserted.peek().map(|entry| entry.0.at);
        sorted.into_iter().chain(inserted).min().map(Duration::from_nanos)
    }

    /// Removes and returns the next event.
    pub fn take(&mut self) -> Option<(Duration, T)> {
        self.advance_to_next();
        let inserted = match (self.sorted.last(), self.inserted.peek()) {
            (Some(sorted), Some(inserted)) => inserted.0.order() < sorted.order(),
            (None, inserted) => inserted.is_some(),
            (Some(_), None) => false,
        };
        let entry =
            if inserted { self.inserted.pop().map(|inserted| inserted.0) } else { self.sorted.pop() }?;
        self.len -= 1;
        Some((Duration::from_nanos(entry.at), entry.event))
    }

    /// Moves to the next day that holds events, if the current one holds none.
    fn advance_to_next(&mut self) {
        while self.sorted.is_empty() && self.inserted.is_empty() && self.len > 0 {
            let next = self.next_day();
            let overflow = self.overflow.peek().map(|entry| entry.0.at / self.length);
            self.current_day = next.into_iter().chain(overflow).min().unwrap_or(self.current_day);
            let at = (self.current_day % self.days.len() as u64) as usize;
            if next == Some(self.current_day) {
                std::mem::swap(&mut self.sorted, &mut self.days[at]);
                self.occupied[at / 64] &= !(1 << (at % 64));
                self.sorted.sort_unstable_by_key(|entry| Reverse(entry.order()));
            }
            // Events that are now in the near range move from the heap to their days.
            let reach = self.current_day + self.days.len() as u64;
            while self.overflow.peek().is_some_and(|entry| entry.0.at / self.length < reach) {
                if let Some(Reverse(entry)) = self.overflow.pop() {
                    self.insert(entry);
                }
            }
        }
    }

    /// The next day of the near range that holds events.
    fn next_day(&self) -> Option<u64> {
        let (days, words) = (self.days.len() as u64, self.occupied.len());
        let first = ((self.current_day + 1) % days) as usize;
        let found = (0..=words).find_map(|step| {
            let word = (first / 64 + step) % words;
            let mut occupied = self.occupied[word];
            if step == 0 {
                occupied &= u64::MAX << (first % 64);
            } else if step == words {
                occupied &= !(u64::MAX << (first % 64));
            }
            (occupied != 0).then(|| word * 64 + occupied.trailing_zeros() as usize)
        })?;
        let ahead = (found as u64 + days - first as u64) % days;
        Some(self.current_day + 1 + ahead)
    }
}
