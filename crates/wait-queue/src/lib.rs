//! Txns that wait for a member, by group, by value and by the time at which they are given up. No I/O, and no
//! decisions: the caller chooses the order of types and which txn is removed when a limit is reached.
//!
//! Each group has one queue for each [`QueueKey`], newest first. A key is a txn type; first tries of clients are kept
//! apart from retries, and txns that have been submitted before from those that have not, because the former are few
//! and return in any order. A queue is a linked list through the entries, so that inserting, removing from anywhere and
//! reading either end take constant time, however many wait. Heaps over all entries find those that have expired: one
//! for each type by its *soft* deadline, which takes the type's recent answer time into account, and one by the *hard*
//! deadline.
//!
//! ```
//! use juniperdock_wait_queue::{QueueKey, WaitLimits, WaitQueue, WaitingTxn};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let limits = WaitLimits { per_group: 10, total: 100, bytes_per_group: 1000, total_bytes: 10_000 };
//! let mut queue = WaitQueue::new(2, limits);
//! let wait = |txn, kind| WaitingTxn {
//!     txn, group: 4, kind, retried: false, submitted: false, arrived: ms(txn as u64), soft_deadline: ms(500),
//!     hard_deadline: ms(900), bytes: 40,
//! };
//! queue.insert(wait(0, 1)).unwrap();
//! queue.insert(wait(1, 1)).unwrap();
//! assert_eq!(queue.newest(QueueKey { kind: 1, retried: false, submitted: false }, 4), Some(1));
//! // Type 1 recently took 100 ms, so a txn with a soft deadline of 500 ms has expired from 400 ms on.
//! let takes = |kind| [ms(0), ms(100)][kind];
//! assert_eq!(queue.next_expired(ms(399), takes), None);
//! assert_eq!(queue.next_expired(ms(400), takes), Some(0));
//! ```

mod heap;

pub use heap::Heap;
use std::collections::BTreeMap;
use std::time::Duration;

const NONE: u32 = u32::MAX;

/// A txn that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingTxn {
    pub txn: usize,
    pub group: usize,
    /// Its txn type.
    pub kind: usize,
    /// Its client has tried before.
    pub retried: bool,
    /// It has been submitted to a member before.
    pub submitted: bool,
    pub arrived: Duration,
    /// The time by which its answer has to arrive to be of any value.
    pub soft_deadline: Duration,
    /// The time at which it is given up, however fast members are.
    pub hard_deadline: Duration,
    pub bytes: usize,
}

/// Limits on what may wait. Those of one group keep it from using up the total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    pub per_group: usize,
    pub total: usize,
    pub bytes_per_group: usize,
    pub total_bytes: usize,
}

/// The limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueFull {
    Group,
    Total,
}

#[derive(Clone, Debug)]
struct Entry {
    wait: WaitingTxn,
    /// The index of its group's queues in the pool, and its neighbours in its queue.
    pool: u32,
    newer: u32,
    older: u32,
}

#[derive(Clone, Copy, Debug)]
struct Queue {
    newest: u32,
    oldest: u32,
    len: u32,
}

const EMPTY: Queue = Queue { newest: NONE, oldest: NONE, len: 0 };

/// Txns with the same key share a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueKey {
    pub kind: usize,
    pub retried: bool,
    pub submitted: bool,
}

impl QueueKey {
    const PER_KIND: usize = 4;

    fn index(self) -> usize {
        self.kind * Self::PER_KIND + usize::from(self.retried) * 2 + usize::from(self.submitted)
    }
}

impl WaitingTxn {
    /// The queue in which it waits.
    pub fn key(&self) -> QueueKey {
        QueueKey { kind: self.kind, retried: self.retried, submitted: self.submitted }
    }
}

/// The queues of a group, one for each key.
#[derive(Clone, Debug)]
struct GroupQueues {
    group: usize,
    by_key: Box<[Queue]>,
    len: usize,
    bytes: usize,
}

/// The queues of all groups. Txns and groups are small indices; groups without a waiting txn take no memory.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    kinds: usize,
    limits: WaitLimits,
    entries: Vec<Option<Entry>>,
    pool: Vec<GroupQueues>,
    /// Unused entries of the pool, and the entry of each group.
    free: Vec<u32>,
    of_group: BTreeMap<usize, u32>,
    soft: Vec<Heap>,
    hard: Heap,
    /// Groups by the number of waiting txns.
    fullest: Heap,
    len: usize,
    bytes: usize,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl WaitQueue {
    /// An empty queue for `kinds` txn types.
    pub fn new(kinds: usize, limits: WaitLimits) -> WaitQueue {
        WaitQueue {
            kinds,
            limits,
            entries: Vec::new(),
            pool: Vec::new(),
            free: Vec::new(),
            of_group: BTreeMap::new(),
            soft: vec![Heap::default(); kinds],
            hard: Heap::default(),
            fullest: Heap::default(),
            len: 0,
            bytes: 0,
        }
    }

    /// Changes the limits; txns that wait already stay.
    pub fn set_limits(&mut self, limits: WaitLimits) {
        self.limits = limits;
    }

    fn queues(&self, group: usize) -> Option<&GroupQueues> {
        self.of_group.get(&group).map(|&at| &self.pool[at as usize])
    }

    /// Whether one more txn of this size may wait in a group.
    pub fn check_limits(&self, group: usize, bytes: usize) -> Result<(), QueueFull> {
        let (len, of_group) = self.queues(group).map_or((0, 0), |queues| (queues.len, queues.bytes));
        if len >= self.limits.per_group || of_group + bytes > self.limits.bytes_per_group {
            return Err(QueueFull::Group);
        }
        if self.len >= self.limits.total || self.bytes + bytes > self.limits.total_bytes {
            return Err(QueueFull::Total);
        }
        Ok(())
    }

    /// Inserts a txn by its arrival time. It is not checked for expiry. On an error, which names the limit that was
    /// reached, nothing has changed.
    pub fn insert(&mut self, wait: WaitingTxn) -> Result<(), QueueFull> {
        self.check_limits(wait.group, wait.bytes)?;
        self.remove(wait.txn);
        let at = self.slot_of(wait.group);
        let key = wait.key().index();
        let queue = self.pool[at as usize].by_key[key];
        // A new txn is the newest of its queue; one that was submitted before is inserted by its arrival time, searched
        // for from the newest end.
        let (mut newer, mut older) = (NONE, queue.newest);
        while let Some(next) = self.entry(older).filter(|next| next.wait.arrived > wait.arrived) {
            (newer, older) = (older, next.older);
        }
        let txn = wait.txn;
        if self.entries.len() <= txn {
            self.entries.resize_with(txn + 1, || None);
        }
        self.entries[txn] = Some(Entry { wait, pool: at, newer, older });
        self.link(at, key, newer, txn as u32, true);
        self.link(at, key, older, txn as u32, false);
        let queues = &mut self.pool[at as usize];
        queues.by_key[key].len += 1;
        queues.len += 1;
        queues.bytes += wait.bytes;
        self.len += 1;
        self.bytes += wait.bytes;
        self.update_fullest(at);
        self.soft[wait.kind].set(txn as u32, micros(wait.soft_deadline));
        self.hard.set(txn as u32, micros(wait.hard_deadline));
        Ok(())
    }

    /// Makes `to` the older or newer neighbour of `of`, or the end of the queue if `of` is none.
    fn link(&mut self, at: u32, key: usize, of: u32, to: u32, older: bool) {
        let link = match self.entries.get_mut(of as usize).and_then(Option::as_mut) {
            Some(entry) if older => &mut entry.older,
            Some(entry) => &mut entry.newer,
            None if older => &mut self.pool[at as usize].by_key[key].newest,
            None => &mut self.pool[at as usize].by_key[key].oldest,
        };
        *link = to;
    }

    fn slot_of(&mut self, group: usize) -> u32 {
        if let Some(&at) = self.of_group.get(&group) {
            return at;
        }
        let at = self.free.pop().unwrap_or_else(|| {
            let by_key = vec![EMPTY; self.kinds * QueueKey::PER_KIND].into_boxed_slice();
            self.pool.push(GroupQueues { group, by_key, len: 0, bytes: 0 });
            self.pool.len() as u32 - 1
        });
        self.pool[at as usize].group = group;
        self.of_group.insert(group, at);
        at
    }

    /// Updates the group's place in `fullest`; a group without a waiting txn frees its entry of the pool.
    fn update_fullest(&mut self, at: u32) {
        let queues = &self.pool[at as usize];
        if queues.len > 0 {
            self.fullest.set(at, u64::MAX - queues.len as u64);
            return;
        }
        self.fullest.remove(at);
        self.of_group.remove(&queues.group);
        self.free.push(at);
    }

    /// Removes a txn from anywhere in its queue and returns it.
    pub fn remove(&mut self, txn: usize) -> Option<WaitingTxn> {
        let entry = self.entries.get_mut(txn)?.take()?;
        let Entry { wait, pool, newer, older } = entry;
        let key = wait.key().index();
        self.link(pool, key, newer, older, true);
        self.link(pool, key, older, newer, false);
        let queues = &mut self.pool[pool as usize];
        queues.by_key[key].len -= 1;
        queues.len -= 1;
        queues.bytes -= wait.bytes;
        self.len -= 1;
        self.bytes -= wait.bytes;
        self.update_fullest(pool);
        self.soft[wait.kind].remove(txn as u32);
        self.hard.remove(txn as u32);
        Some(wait)
    }

    /// Changes the deadlines of a waiting txn.
    pub fn set_deadlines(&mut self, txn: usize, soft: Duration, hard: Duration) {
        if let Some(Some(entry)) = self.entries.get_mut(txn) {
            (entry.wait.soft_deadline, entry.wait.hard_deadline) = (soft, hard);
            self.soft[entry.wait.kind].set(txn as u32, micros(soft));
            self.hard.set(txn as u32, micros(hard));
        }
    }

    fn entry(&self, txn: u32) -> Option<&Entry> {
        self.entries.get(txn as usize)?.as_ref()
    }

    /// The entry of a waiting txn.
    pub fn get(&self, txn: usize) -> Option<&WaitingTxn> {
        self.entries.get(txn)?.as_ref().map(|entry| &entry.wait)
    }

    /// The number of txns that wait in a group.
    pub fn len(&self, group: usize) -> usize {
        self.queues(group).map_or(0, |queues| queues.len)
    }

    pub fn is_empty(&self, group: usize) -> bool {
        self.len(group) == 0
    }

    /// The number of all waiting txns.
    pub fn total(&self) -> usize {
        self.len
    }

    /// The size of all waiting txns in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of txns with this key that wait in a group.
    pub fn len_of_key(&self, key: QueueKey, group: usize) -> usize {
        self.queues(group).map_or(0, |queues| queues.by_key[key.index()].len as usize)
    }

    /// The newest txn with this key in a group.
    pub fn newest(&self, key: QueueKey, group: usize) -> Option<usize> {
        self.end(key, group, |queue| queue.newest)
    }

    /// The oldest txn with this key in a group.
    pub fn oldest(&self, key: QueueKey, group: usize) -> Option<usize> {
        self.end(key, group, |queue| queue.oldest)
    }

    fn end(&self, key: QueueKey, group: usize, of: impl Fn(&Queue) -> u32) -> Option<usize> {
        let end = of(&self.queues(group)?.by_key[key.index()]);
        (end != NONE).then_some(end as usize)
    }

    /// The next older txn in the same queue.
    pub fn older(&self, txn: usize) -> Option<usize> {
        let older = self.entry(txn as u32)?.older;
        (older != NONE).then_some(older as usize)
    }

    /// A txn that has passed its hard deadline, or its soft deadline less the time that its type takes (`takes`, by
    /// type). It stays in the queue until it is removed.
    pub fn next_expired(&self, now: Duration, takes: impl Fn(usize) -> Duration) -> Option<usize> {
        let over = |heap: &Heap, lead: Duration| {
            let (key, txn) = heap.first()?;
            (key <= micros(now.saturating_add(lead))).then_some(txn as usize)
        };
        over(&self.hard, Duration::ZERO)
            .or_else(|| self.soft.iter().enumerate().find_map(|(kind, heap)| over(heap, takes(kind))))
    }

    /// The group with the most waiting txns.
    pub fn fullest(&self) -> Option<usize> {
        self.fullest.first().map(|(_, at)| self.pool[at as usize].group)
    }
}
