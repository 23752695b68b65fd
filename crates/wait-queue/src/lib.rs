//! Txns that wait for a member: by group, by value, by the time at which they are given up. No input or
//! output, and no choice: the caller says in which order types go, and who gives way.
//!
//! Each group has a queue for each *rank* (a txn type, first tries and later tries of clients apart, and what
//! has been sent before apart: those are few and come back in any order), newest first. A queue is a list
//! through the entries themselves, so that an entry is put in, taken out from anywhere and found at either
//! end in a few steps, however many wait. Two heaps of all entries find those whose time is over: one by a
//! *soft* time, which moves with how long the type takes of late (one heap a type), one by a *hard* time.
//!
//! ```
//! use juniperdock_wait_queue::{WaitQueue, WaitLimits, QueueKey, WaitingTxn};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let limits = WaitLimits { per_group: 10, total: 100, bytes_per_group: 1000, total_bytes: 10_000 };
//! let mut queue = WaitQueue::new(2, limits);
//! let wait = |txn, kind| WaitingTxn {
//!     txn, group: 4, kind, retried: false, submitted: false, arrived: ms(txn as u64),
//!     soft_deadline: ms(500), hard_deadline: ms(900), bytes: 40,
//! };
//! queue.insert(wait(0, 1)).unwrap();
//! queue.insert(wait(1, 1)).unwrap();
//! assert_eq!(queue.newest(QueueKey { kind: 1, retried: false, submitted: false }, 4), Some(1));
//! // Type 1 takes 100 ms of late: what has to end by 500 ms is hopeless from 400 ms on.
//! let takes = |kind| [ms(0), ms(100)][kind];
//! assert_eq!(queue.next_expired(ms(399), takes), None);
//! assert_eq!(queue.next_expired(ms(400), takes), Some(0));
//! ```

mod heap;

pub use heap::Heap;
use std::collections::BTreeMap;
use std::time::Duration;

const NONE: u32 = u32::MAX;

/// What waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingTxn {
    pub txn: usize,
    pub group: usize,
    /// Its txn type.
    pub kind: usize,
    /// Its client has tried before.
    pub retried: bool,
    /// It has been sent before.
    pub submitted: bool,
    pub arrived: Duration,
    /// When its answer has to be there to be worth anything.
    pub soft_deadline: Duration,
    /// When it is given up, however quick members are.
    pub hard_deadline: Duration,
    pub bytes: usize,
}

/// How much may wait. The limits of one group keep it from taking all there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    pub per_group: usize,
    pub total: usize,
    pub bytes_per_group: usize,
    pub total_bytes: usize,
}

/// Which limit leaves no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueFull {
    Group,
    Total,
}

#[derive(Clone, Debug)]
struct Entry {
    wait: WaitingTxn,
    /// Its queue in the pool, and its neighbours there: newer and older.
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

/// What shares a queue.
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
    pub fn key(&self) -> QueueKey {
        QueueKey { kind: self.kind, retried: self.retried, submitted: self.submitted }
    }
}

/// A group's queues, one for each rank.
#[derive(Clone, Debug)]
struct GroupQueues {
    group: usize,
    of: Box<[Queue]>,
    len: usize,
    bytes: usize,
}

/// The store. Txns and groups are small indices; groups without a waiting txn take no memory.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    kinds: usize,
    limits: WaitLimits,
    entries: Vec<Option<Entry>>,
    pool: Vec<GroupQueues>,
    /// Places in the pool that are free, and which one a group has.
    free: Vec<u32>,
    of_group: BTreeMap<usize, u32>,
    soft: Vec<Heap>,
    hard: Heap,
    /// Groups by how much waits there.
    fullest: Heap,
    len: usize,
    bytes: usize,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl WaitQueue {
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

    /// Other limits from now on; what waits already stays.
    pub fn set_limits(&mut self, limits: WaitLimits) {
        self.limits = limits;
    }

    fn queues(&self, group: usize) -> Option<&GroupQueues> {
        self.of_group.get(&group).map(|&at| &self.pool[at as usize])
    }

    /// Whether one more of that size may wait in a group.
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

    /// Puts a txn in, newest of its rank or where its arrival belongs; it is not given up yet for its time.
    /// The error says which limit leaves no room; then nothing has changed.
    pub fn insert(&mut self, wait: WaitingTxn) -> Result<(), QueueFull> {
        self.check_limits(wait.group, wait.bytes)?;
        self.remove(wait.txn);
        let at = self.slot_of(wait.group);
        let key = wait.key().index();
        let queue = self.pool[at as usize].of[key];
        // What is new is the newest; one that was sent before looks for its place from that end, among its
        // like.
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
        queues.of[key].len += 1;
        queues.len += 1;
        queues.bytes += wait.bytes;
        self.len += 1;
        self.bytes += wait.bytes;
        self.update_fullest(at);
        self.soft[wait.kind].set(txn as u32, micros(wait.soft_deadline));
        self.hard.set(txn as u32, micros(wait.hard_deadline));
        Ok(())
    }

    /// Makes `to` the neighbour of `of` on its older or newer side, or the end of the queue.
    fn link(&mut self, at: u32, key: usize, of: u32, to: u32, older: bool) {
        let link = match self.entries.get_mut(of as usize).and_then(Option::as_mut) {
            Some(entry) if older => &mut entry.older,
            Some(entry) => &mut entry.newer,
            None if older => &mut self.pool[at as usize].of[key].newest,
            None => &mut self.pool[at as usize].of[key].oldest,
        };
        *link = to;
    }

    fn slot_of(&mut self, group: usize) -> u32 {
        if let Some(&at) = self.of_group.get(&group) {
            return at;
        }
        let at = self.free.pop().unwrap_or_else(|| {
            let of = vec![EMPTY; self.kinds * QueueKey::PER_KIND].into_boxed_slice();
            self.pool.push(GroupQueues { group, of, len: 0, bytes: 0 });
            self.pool.len() as u32 - 1
        });
        self.pool[at as usize].group = group;
        self.of_group.insert(group, at);
        at
    }

    /// Notes how full a group is; one without a txn gives its place back.
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

    /// Takes a txn out, wherever it stands; gives what waited.
    pub fn remove(&mut self, txn: usize) -> Option<WaitingTxn> {
        let entry = self.entries.get_mut(txn)?.take()?;
        let Entry { wait, pool, newer, older } = entry;
        let key = wait.key().index();
        self.link(pool, key, newer, older, true);
        self.link(pool, key, older, newer, false);
        let queues = &mut self.pool[pool as usize];
        queues.of[key].len -= 1;
        queues.len -= 1;
        queues.bytes -= wait.bytes;
        self.len -= 1;
        self.bytes -= wait.bytes;
        self.update_fullest(pool);
        self.soft[wait.kind].remove(txn as u32);
        self.hard.remove(txn as u32);
        Some(wait)
    }

    /// Gives a txn that waits other times.
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

    pub fn get(&self, txn: usize) -> Option<&WaitingTxn> {
        self.entries.get(txn)?.as_ref().map(|entry| &entry.wait)
    }

    /// How many wait in a group, in all, or of a rank.
    pub fn len(&self, group: usize) -> usize {
        self.queues(group).map_or(0, |queues| queues.len)
    }

    pub fn is_empty(&self, group: usize) -> bool {
        self.len(group) == 0
    }

    pub fn total(&self) -> usize {
        self.len
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many of a rank wait in a group.
    pub fn len_of_key(&self, key: QueueKey, group: usize) -> usize {
        self.queues(group).map_or(0, |queues| queues.of[key.index()].len as usize)
    }

    pub fn newest(&self, key: QueueKey, group: usize) -> Option<usize> {
        self.end(key, group, |queue| queue.newest)
    }

    pub fn oldest(&self, key: QueueKey, group: usize) -> Option<usize> {
        self.end(key, group, |queue| queue.oldest)
    }

    fn end(&self, key: QueueKey, group: usize, of: impl Fn(&Queue) -> u32) -> Option<usize> {
        let end = of(&self.queues(group)?.of[key.index()]);
        (end != NONE).then_some(end as usize)
    }

    /// The next older one of the same rank.
    pub fn older(&self, txn: usize) -> Option<usize> {
        let older = self.entry(txn as u32)?.older;
        (older != NONE).then_some(older as usize)
    }

    /// One whose time is over: its hard time, or its soft time less what its type takes (`takes`, by type).
    /// It stays until it is removed.
    pub fn next_expired(&self, now: Duration, takes: impl Fn(usize) -> Duration) -> Option<usize> {
        let over = |heap: &Heap, lead: Duration| {
            let (key, txn) = heap.first()?;
            (key <= micros(now.saturating_add(lead))).then_some(txn as usize)
        };
        over(&self.hard, Duration::ZERO)
            .or_else(|| self.soft.iter().enumerate().find_map(|(kind, heap)| over(heap, takes(kind))))
    }

    /// The group where most wait.
    pub fn fullest(&self) -> Option<usize> {
        self.fullest.first().map(|(_, at)| self.pool[at as usize].group)
    }
}
