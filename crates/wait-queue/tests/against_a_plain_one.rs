//! The store beside a plain list, on random histories: both must always say the same.

use juniperdock_wait_queue::{Heap, Held, Most, NoRoom, Rank, Wait};
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
        tried: bool,
        ago: u64,
        soft: u64,
        hard: u64,
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
        .prop_map(|((txn, group, kind, retried, tried), (ago, soft, hard, bytes))| Step::Put {
            txn,
            group,
            kind,
            retried,
            tried,
            ago,
            soft,
            hard,
            bytes,
        });
    prop_oneof![6 => put, 2 => (0..60usize).prop_map(Step::Remove), 1 => (0..400u64).prop_map(Step::Due)]
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const MOST: Most = Most { of_group: 12, of_all: 30, bytes_of_group: 1500, bytes_of_all: 3500 };

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn both_hold_the_same(steps in proptest::collection::vec(step(), 1..250)) {
        let (mut held, mut plain, mut now) = (Held::new(KINDS, MOST), Vec::<Wait>::new(), 1000u64);
        let takes = [ms(0), ms(50), ms(400)];
        for step in steps {
            now += 1;
            match step {
                Step::Put { txn, group, kind, retried, tried, ago, soft, hard, bytes } => {
                    let (arrived, soft, hard) = (ms(now - ago), ms(now + soft), ms(now + hard));
                    let wait = Wait { txn, group, kind, retried, tried, arrived, soft, hard, bytes };
                    let of_group = || plain.iter().filter(|other| other.group == group);
                    let full = of_group().count() >= MOST.of_group
                        || of_group().map(|w| w.bytes).sum::<usize>() + bytes > MOST.bytes_of_group;
                    let all = plain.len() >= MOST.of_all
                        || plain.iter().map(|w| w.bytes).sum::<usize>() + bytes > MOST.bytes_of_all;
                    let expected = if full { Err(NoRoom::OfGroup) } else if all { Err(NoRoom::OfAll) } else { Ok(()) };
                    prop_assert_eq!(held.put(wait), expected);
                    if expected.is_ok() {
                        plain.retain(|other| other.txn != txn);
                        plain.push(wait);
                    }
                }
                Step::Remove(txn) => {
                    let there = plain.iter().position(|other| other.txn == txn).map(|at| plain.remove(at));
                    prop_assert_eq!(held.remove(txn), there);
                }
                Step::Due(later) => {
                    now += later;
                    let over = |w: &Wait| w.hard <= ms(now) || w.soft <= ms(now) + takes[w.kind];
                    let mut due = Vec::new();
                    while let Some(txn) = held.due(ms(now), |kind| takes[kind]) {
                        due.push(txn);
                        held.remove(txn);
                    }
                    due.sort_unstable();
                    let mut expected: Vec<_> = plain.iter().filter(|w| over(w)).map(|w| w.txn).collect();
                    expected.sort_unstable();
                    prop_assert_eq!(due, expected);
                    plain.retain(|w| !over(w));
                }
            }
            prop_assert_eq!((held.total(), held.bytes()), (plain.len(), plain.iter().map(|w| w.bytes).sum::<usize>()));
            let of_group = |group| plain.iter().filter(|w| w.group == group).count();
            for group in 0..4 {
                prop_assert_eq!(held.len(group), of_group(group));
                for n in 0..KINDS * 4 {
                    let rank = Rank { kind: n / 4, retried: n & 2 > 0, tried: n & 1 > 0 };
                    let mine = plain.iter().filter(|w| (w.group, w.rank()) == (group, rank)).count();
                    let walk: Vec<_> =
                        std::iter::successors(held.newest(rank, group), |&txn| held.older(txn)).collect();
                    let times: Vec<_> = walk.iter().map(|&txn| held.get(txn).map(|w| w.arrived)).collect();
                    prop_assert!(times.is_sorted_by(|a, b| a >= b), "newest first");
                    prop_assert_eq!(held.oldest(rank, group), walk.last().copied());
                    prop_assert_eq!((walk.len(), held.of_rank(rank, group)), (mine, mine));
                }
            }
            let most = (0..4).map(of_group).max().unwrap_or(0);
            prop_assert_eq!(held.fullest().map_or(0, of_group), most);
        }
    }

    #[test]
    fn the_heap_gives_what_a_sorted_list_gives(steps in proptest::collection::vec((0..40u32, 0..90u64, 0..3u8), 1..300)) {
        let (mut heap, mut plain) = (Heap::default(), std::collections::BTreeMap::new());
        for (index, key, what) in steps {
            match what {
                0 => prop_assert_eq!(heap.remove(index), plain.remove(&index).is_some()),
                _ => {
                    heap.set(index, key);
                    plain.insert(index, key);
                }
            }
            let least = plain.iter().map(|(&index, &key)| (key, index)).min();
            prop_assert_eq!((heap.first(), heap.len()), (least, plain.len()));
        }
    }
}

#[test]
fn one_vacant_group_leaves_room_for_the_others() {
    let most = Most { of_group: 50, of_all: 80, bytes_of_group: usize::MAX, bytes_of_all: usize::MAX };
    let mut held = Held::new(1, most);
    let wait = |txn: usize, group| {
        let (arrived, soft, hard) = (ms(txn as u64), ms(9000), ms(9000));
        Wait { txn, group, kind: 0, retried: false, tried: false, arrived, soft, hard, bytes: 10 }
    };
    let put = (0..60).filter(|&txn| held.put(wait(txn, 7)).is_ok()).count();
    assert_eq!((put, held.put(wait(60, 7))), (50, Err(NoRoom::OfGroup)));
    assert!((70..100).all(|txn| held.put(wait(txn, txn)).is_ok()), "each of the others finds room");
    assert_eq!((held.put(wait(100, 100)), held.fullest()), (Err(NoRoom::OfAll), Some(7)));
    // Where all is full, the fullest group gives way.
    assert!(held.remove(0).is_some() && held.put(wait(100, 100)).is_ok());
}
