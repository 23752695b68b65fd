//! Which front requests which lease: rendezvous hashing (Thaler and Ravishankar, 1998). All fronts that see the same
//! fronts compute the same order, and a front that leaves moves only its own tasks.

use crate::TaskId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(task: TaskId, front: usize) -> u64 {
    xxh3_64_with_seed(&(front as u64).to_le_bytes(), task.wrapping_add(1))
}

/// The front that should request the lease of a task, of those present.
///
/// ```
/// use juniperdock_lease::preferred_owner;
/// let before = preferred_owner(4, &[0, 1, 2, 3]).unwrap();
/// let others: Vec<usize> = (0..4).filter(|&front| front != before).collect();
/// assert!(preferred_owner(4, &others).is_some_and(|after| after != before));
/// assert!((0..100).filter(|&task| preferred_owner(task, &[0, 1, 2, 3]) == Some(2)).count() > 12);
/// ```
pub fn preferred_owner(task: TaskId, present: &[usize]) -> Option<usize> {
    present.iter().copied().max_by_key(|&front| (weight(task, front), front))
}

/// The preferred owner and those next in order, up to `count`.
pub fn preferred_owners(task: TaskId, present: &[usize], count: usize) -> Vec<usize> {
    let mut all = present.to_vec();
    all.sort_unstable_by_key(|&front| std::cmp::Reverse((weight(task, front), front)));
    all.truncate(count);
    all
}

/// The shard that a name belongs to, the same at all fronts.
pub fn shard(name: &str, shards: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0) % shards.max(1)
}
