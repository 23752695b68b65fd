//! Arrival times of a connection's bytes, kept while they are unread in its buffer.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of different times that are kept. Bytes that arrive after that get the last of them, which is too early:
/// a deadline counted from it ends too soon, never too late.
const MAX_TIMES: usize = 64;

/// The time by which all bytes up to a position in the stream had arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    up_to: u64,
    at: Duration,
}

/// Arrival times by position in the stream.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    received: u64,
    taken: u64,
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records the arrival of further bytes.
    pub fn received(&mut self, bytes: usize, at: Duration) {
        if bytes == 0 {
            return;
        }
        self.received += bytes as u64;
        let full = self.arrivals.len() >= MAX_TIMES;
        match self.arrivals.back_mut() {
            Some(last) if full || last.at >= at => last.up_to = self.received,
            _ => self.arrivals.push_back(Arrival { up_to: self.received, at }),
        }
    }

    /// When the last of this many bytes at the head of the buffer arrived; `None` if that is not known.
    pub fn arrival_of_next(&self, bytes: usize) -> Option<Duration> {
        let end = self.taken + bytes as u64;
        self.arrivals.iter().find(|arrival| arrival.up_to >= end).map(|arrival| arrival.at)
    }

    /// Records that this many bytes at the head have left the buffer.
    pub fn consume(&mut self, bytes: usize) {
        self.taken += bytes as u64;
        while self.arrivals.front().is_some_and(|arrival| arrival.up_to <= self.taken) {
            self.arrivals.pop_front();
        }
    }
}
