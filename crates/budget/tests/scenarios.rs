//! Scenarios of the budget tree, and random histories checked against plain sums.

use juniperdock_budget::{BudgetId, Reservation, Tree};
use proptest::prelude::*;

fn two() -> (Tree, BudgetId, BudgetId) {
    let tree = Tree::new("process", 100);
    let a = tree.add_budget(tree.root(), "a", 90, 30).expect("it fits");
    let b = tree.add_budget(tree.root(), "b", 90, 40).expect("it fits");
    (tree, a, b)
}

#[test]
fn a_budget_at_its_cap_starves_no_other() {
    let (tree, a, b) = two();
    let _all = tree.reserve(a, 60).expect("unused budget is lent");
    let shortage = tree.reserve(a, 31).expect_err("over its cap");
    assert_eq!((shortage.at, shortage.missing, shortage.lent), (a, 1, false));
    let _own = tree.reserve(b, 40).expect("its guaranteed share is available");
    assert_eq!((tree.used(tree.root()), tree.free(a)), (100, 30));
}

#[test]
fn a_lent_share_is_reclaimed_and_the_borrower_gets_nothing_more() {
    let (tree, a, b) = two();
    let mut lent = tree.reserve(a, 85).expect("unused budget is lent");
    let shortage = tree.reserve(b, 40).expect_err("25 of its share are lent");
    assert!(shortage.lent && shortage.missing == 25);
    assert_eq!((tree.owed(a), tree.owed(b)), (25, 0));
    assert!(tree.reserve(a, 1).is_err(), "a reclaimed amount goes to its owner first");
    lent.shrink(20);
    assert!(tree.reserve(b, 40).is_err_and(|shortage| shortage.missing == 5));
    lent.shrink(5);
    let own = tree.reserve(b, 40).expect("its whole share is back");
    assert_eq!((tree.owed(a), own.amount()), (0, 40));
}

#[test]
fn a_reclaim_that_is_not_repeated_blocks_nobody() {
    let (tree, a, b) = two();
    let mut lent = tree.reserve(a, 80).expect("lent");
    assert!(tree.reserve(b, 40).is_err());
    // It never asks again; once its guaranteed share is available, the rest may be lent anew.
    lent.shrink(20);
    assert!(tree.reserve(a, 5).is_ok());
}

#[test]
fn a_cap_lowered_below_the_use_admits_nothing_new_and_takes_nothing_away() {
    let (tree, a, _) = two();
    let reservations = tree.reserve(a, 60).expect("it fits");
    tree.set_limits(a, 40, 30).expect("a cap can be lowered");
    assert_eq!(tree.used(a), 60);
    assert!(tree.reserve(a, 1).is_err_and(|shortage| shortage.missing == 21 && !shortage.lent));
    drop(reservations);
    assert!(tree.reserve(a, 40).is_ok() && tree.set_limits(a, 40, 41).is_err());
}

#[test]
fn reservations_dropped_by_a_panic_are_returned() {
    let (tree, a, _) = two();
    let other = tree.clone();
    let died = std::thread::spawn(move || {
        let _reservation = other.reserve(a, 50).expect("it fits");
        panic!("on purpose");
    });
    assert!(died.join().is_err());
    assert_eq!((tree.used(a), tree.used(tree.root())), (0, 0));
}

#[test]
fn guarantees_that_cannot_be_kept_are_refused() {
    let (tree, a, b) = two();
    assert!(tree.add_budget(tree.root(), "c", 50, 31).is_err_and(|why| why.contains("over 100")));
    assert!(tree.add_budget(tree.root(), "c", 5, 6).is_err());
    let inner = tree.add_budget(a, "inner", 500, 20).expect("its cap is that of its parent");
    assert!(tree.reserve(inner, 91).is_err_and(|shortage| shortage.at == inner));
    assert!(tree.set_limits(a, 10, 0).is_err(), "20 are guaranteed below");
    let reservation = tree.reserve(inner, 20).expect("it fits");
    assert!(!tree.close(inner) && !tree.close(a));
    drop(reservation);
    assert!(tree.close(inner) && !tree.close(tree.root()));
    assert_eq!(tree.statuses().iter().map(|s| s.name.as_str()).collect::<Vec<_>>(), ["process", "a", "b"]);
    let _ = b;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is reserved, grown, shrunk and dropped in whatever order: no cap is exceeded, the sums are right, and a
    /// request inside the guaranteed share is refused only while others have borrowed.
    #[test]
    fn no_cap_is_exceeded_and_guaranteed_shares_hold(steps in proptest::collection::vec((0..4usize, 0..4u8, 0..60u64), 1..120)) {
        let tree = Tree::new("all", 200);
        let a = tree.add_budget(tree.root(), "a", 150, 50).expect("it fits");
        let b = tree.add_budget(tree.root(), "b", 120, 60).expect("it fits");
        let c = tree.add_budget(a, "c", 100, 20).expect("it fits");
        let d = tree.add_budget(a, "d", 100, 10).expect("it fits");
        let budgets = [(a, 150, 50), (b, 120, 60), (c, 100, 20), (d, 100, 10)];
        let mut reservations: Vec<(usize, Reservation)> = Vec::new();
        let used = |reservations: &[(usize, Reservation)], of: usize| {
            let its = |at: usize| at == of || of == 0 && at >= 2;
            reservations.iter().filter(|(at, _)| its(*at)).map(|(_, reservation)| reservation.amount()).sum::<u64>()
        };
        for (at, what, amount) in steps {
            let (budget, _, guaranteed) = budgets[at];
            match what {
                0 | 1 => match tree.reserve(budget, amount) {
                    Ok(reservation) => reservations.push((at, reservation)),
                    Err(shortage) if at == 1 && used(&reservations, 1) + amount <= guaranteed => {
                        prop_assert!(shortage.lent, "{shortage:?}");
                        prop_assert!(used(&reservations, 0) > 50, "nobody had borrowed");
                        prop_assert!(tree.owed(a) > 0);
                    }
                    Err(_) => {}
                },
                2 => if !reservations.is_empty() {
                    reservations.swap_remove(amount as usize % reservations.len());
                },
                _ => if let Some((_, reservation)) = reservations.last_mut() {
                    let _ = reservation.set(amount);
                },
            }
            for (i, (budget, cap, _)) in budgets.iter().enumerate() {
                prop_assert_eq!(tree.used(*budget), used(&reservations, i));
                prop_assert!(tree.used(*budget) <= *cap);
            }
            prop_assert!(tree.used(tree.root()) <= 200);
        }
        // Its whole share is available once the others are gone.
        reservations.clear();
        prop_assert!(tree.reserve(b, 60).is_ok() && tree.reserve(c, 100).is_ok());
        prop_assert_eq!(tree.used(tree.root()), 0);
    }
}
