//! Who asks for which duty: rendezvous hashing (Thaler and Ravishankar, 1998). All that see the same fronts come to
//! the same order, and a front that goes moves only what was its own.

use crate::TaskId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(duty: TaskId, front: usize) -> u64 {
    xxh3_64_with_seed(&(front as u64).to_le_bytes(), duty.wrapping_add(1))
}

/// Who of those present is to ask for a duty.
///
/// ```
/// use juniperdock_lease::first;
/// let before = first(4, &[0, 1, 2, 3]).unwrap();
/// let others: Vec<usize> = (0..4).filter(|&front| front != before).collect();
/// assert!(first(4, &others).is_some_and(|after| after != before));
/// assert!((0..100).filter(|&duty| first(duty, &[0, 1, 2, 3]) == Some(2)).count() > 12);
/// ```
pub fn first(duty: TaskId, present: &[usize]) -> Option<usize> {
    present.iter().copied().max_by_key(|&front| (weight(duty, front), front))
}

/// The first of them and those after it, as many as are wanted.
pub fn order(duty: TaskId, present: &[usize], most: usize) -> Vec<usize> {
    let mut all = present.to_vec();
    all.sort_unstable_by_key(|&front| std::cmp::Reverse((weight(duty, front), front)));
    all.truncate(most);
    all
}

/// The part of so many that a name belongs to: the same at all fronts.
pub fn shard(name: &str, shards: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0) % shards.max(1)
}
