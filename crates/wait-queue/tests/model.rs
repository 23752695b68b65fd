//! Compares the queue with a plain list, on random sequences of operations.

use juniperdock_wait_queue::{Heap, QueueFull, QueueKey, WaitLimits, WaitQueue, WaitingTxn};
use proptest::prelude::*;
use std::time::Duration;

const KINDS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Put {
        txn: usize,
        group: usize,
        kind: usize,
        retried: bool,
        submitted: bool,
        ago: u64,
        soft_deadline: u64,
        hard_deadline: u64,
        bytes: usize,
    },
    Remove(usize),
    Due(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let put = (
        (0..60usize, 0..4usize, 0..KINDS, any::<bool>(), any::<bool>()),
        (0..200u64, 0..3000u64, 0..3000u64, 0..200usize),
    )
        .prop_map(
            |((txn, group, kind, retried, submitted), (ago, soft_deadline, hard_deadline, bytes))| {
                Step::Put { txn, group, kind, retried, submitted, ago, soft_deadline, hard_deadline, bytes }
            },
        );
    prop_oneof![6 => put, 2 => (0..60usize).prop_map(Step::Remove), 1 => (0..400u64).prop_map(Step::Due)]
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const LIMITS: WaitLimits = WaitLimits { per_group: 12, total: 30, bytes_per_group: 1500, total_bytes: 3500 };

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_queue_matches_a_plain_list(steps in proptest::collection::vec(step(), 1..250)) {
        let (mut queue, mut reference, mut now) = (WaitQueue::new(KINDS, LIMITS), Vec::<WaitingTxn>::new(), 1000u64);
        let takes = [ms(0), ms(50), ms(400)];
        for step in steps {
            now += 1;
            match step {
                Step::Put { txn, group, kind, retried, submitted, ago, soft_deadline, hard_deadline, bytes } => {
                    let (arrived, soft_deadline, hard_deadline) =
                        (ms(now - ago), ms(now + soft_deadline), ms(now + hard_deadline));
                    let wait =
                        WaitingTxn { txn, group, kind, retried, submitted, arrived, soft_deadline, hard_deadline, bytes };
                    let of_group = || reference.iter().filter(|other| other.group == group);
                    let full = of_group().count() >= LIMITS.per_group
                        || of_group().map(|w| w.bytes).sum::<usize>() + bytes > LIMITS.bytes_per_group;
                    let all = reference.len() >= LIMITS.total
                        || reference.iter().map(|w| w.bytes).sum::<usize>() + bytes > LIMITS.total_bytes;
                    let expected =
                        if full { Err(QueueFull::Group) } else if all { Err(QueueFull::Total) } else { Ok(()) };
                    prop_assert_eq!(queue.insert(wait), expected);
                    if expected.is_ok() {
                        reference.retain(|other| other.txn != txn);
                        reference.push(wait);
                    }
                }
                Step::Remove(txn) => {
                    let there = reference.iter().position(|other| other.txn == txn).map(|at| reference.remove(at));
                    prop_assert_eq!(queue.remove(txn), there);
                }
                Step::Due(later) => {
                    now += later;
                    let over =
                        |w: &WaitingTxn| w.hard_deadline <= ms(now) || w.soft_deadline <= ms(now) + takes[w.kind];
                    let mut due = Vec::new();
                    while let Some(txn) = queue.next_expired(ms(now), |kind| takes[kind]) {
                        due.push(txn);
                        queue.remove(txn);
                    }
                    due.sort_unstable();
                    let mut expected: Vec<_> = reference.iter().filter(|w| over(w)).map(|w| w.txn).collect();
                    expected.sort_unstable();
                    prop_assert_eq!(due, expected);
                    reference.retain(|w| !over(w));
                }
            }
            prop_assert_eq!(
                (queue.total(), queue.bytes()),
                (reference.len(), reference.iter().map(|w| w.bytes).sum::<usize>())
            );
            let of_group = |group| reference.iter().filter(|w| w.group == group).count();
            for group in 0..4 {
                prop_assert_eq!(queue.len(group), of_group(group));
                for n in 0..KINDS * 4 {
                    let key = QueueKey { kind: n / 4, retried: n & 2 > 0, submitted: n & 1 > 0 };
                    let mine = reference.iter().filter(|w| (w.group, w.key()) == (group, key)).count();
                    let walk: Vec<_> =
                        std::iter::successors(queue.newest(key, group), |&txn| queue.older(txn)).collect();
                    let times: Vec<_> = walk.iter().map(|&txn| queue.get(txn).map(|w| w.arrived)).collect();
                    prop_assert!(times.is_sorted_by(|a, b| a >= b), "newest first");
                    prop_assert_eq!(queue.oldest(key, group), walk.last().copied());
                    prop_assert_eq!((walk.len(), queue.len_of_key(key, group)), (mine, mine));
                }
            }
            let most = (0..4).map(of_group).max().unwrap_or(0);
            prop_assert_eq!(queue.fullest().map_or(0, of_group), most);
        }
    }

    #[test]
    fn the_heap_matches_a_sorted_map(steps in proptest::collection::vec((0..40u32, 0..90u64, 0..3u8), 1..300)) {
        let (mut heap, mut reference) = (Heap::default(), std::collections::BTreeMap::new());
        for (index, key, what) in steps {
            match what {
                0 => prop_assert_eq!(heap.remove(index), reference.remove(&index).is_some()),
                _ => {
                    heap.set(index, key);
                    reference.insert(index, key);
                }
            }
            let least = reference.iter().map(|(&index, &key)| (key, index)).min();
            prop_assert_eq!((heap.first(), heap.len()), (least, reference.len()));
        }
    }
}

#[test]
fn one_group_without_a_primary_does_not_use_up_the_total() {
    let most = WaitLimits { per_group: 50, total: 80, bytes_per_group: usize::MAX, total_bytes: usize::MAX };
    let mut queue = WaitQueue::new(1, most);
    let wait = |txn: usize, group| {
        let (arrived, soft_deadline, hard_deadline) = (ms(txn as u64), ms(9000), ms(9000));
        WaitingTxn {
            txn,
            group,
            kind: 0,
            retried: false,
            submitted: false,
            arrived,
            soft_deadline,
            hard_deadline,
            bytes: 10,
        }
    };
    let put = (0..60).filter(|&txn| queue.insert(wait(txn, 7)).is_ok()).count();
    assert_eq!((put, queue.insert(wait(60, 7))), (50, Err(QueueFull::Group)));
    assert!((70..100).all(|txn| queue.insert(wait(txn, txn)).is_ok()), "the other groups are accepted");
    assert_eq!((queue.insert(wait(100, 100)), queue.fullest()), (Err(QueueFull::Total), Some(7)));
    // When the total is reached, a txn of the fullest group is removed.
    assert!(queue.remove(0).is_some() && queue.insert(wait(100, 100)).is_ok());
}
