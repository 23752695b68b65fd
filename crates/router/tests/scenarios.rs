//! Scenarios of routing: one for each failure that the router handles and each rule that it keeps.

mod harness;

use harness::{Action, BOUNDED, FRESH, LOOSE, ONCE_ONLY, REFERENCED, SESSION, Scenario, ms};
use juniperdock_router::host::{
    AttemptOutcome, FrontInfo, ListedStart, ListedState, Role, SessionWrite, WriteProgress,
};
use std::time::Duration;

#[test]
fn writes_wait_until_a_primary_is_known() {
    let mut s = Scenario::new();
    let txn = s.arrive(ONCE_ONLY, 2000);
    assert!(s.recorded(&Action::Probed(0)) && s.sent_to(txn).is_empty());
    s.now += ms(50);
    s.report_all(1);
    assert_eq!(s.sent_to(txn), [1]);
}

#[test]
fn a_failed_primary_is_cleared_and_older_claims_do_not_restore_it() {
    let mut s = Scenario::with_primary();
    let lost = s.arrive(REFERENCED, 2000);
    s.now += ms(100);
    s.end(lost, 0, AttemptOutcome::Dropped, 100);
    s.end(lost, 0, AttemptOutcome::Unreachable, 0);
    let waiting = s.arrive(ONCE_ONLY, 2000);
    s.report(0, Role::Primary, s.now - ms(20));
    assert!(s.sent_to(waiting).is_empty(), "the claim is older than the failure");
    s.now += ms(100);
    s.report(2, Role::Primary, s.now - ms(20));
    assert_eq!(s.sent_to(waiting), [2]);
    assert_eq!(s.sent_to(lost), [0, 0, 2], "a referenced txn goes again inside its group and window");
}

#[test]
fn one_broken_connection_keeps_the_primary_but_reads_do_not_rely_on_its_role() {
    let mut s = Scenario::with_primary();
    s.now += ms(299);
    let lost = s.arrive(REFERENCED, 2000);
    s.end(lost, 0, AttemptOutcome::Dropped, 5);
    assert_eq!(s.sent_to(lost), [0, 0], "it stays the recorded primary");
    assert!(s.recorded(&Action::Probed(0)));
    s.now += ms(2);
    let read = s.arrive(BOUNDED, 1000);
    assert!(s.sent_to(read).is_empty(), "it may have come back as a replica");
    s.report(0, Role::Primary, s.now - ms(1));
    s.advance(41, read);
    assert_eq!(s.sent_to(read), [0], "a claim made since");
    s.end(lost, 0, AttemptOutcome::Committed, 5);
    // Two failures in a row are treated as a failed member.
    let two = [s.arrive(REFERENCED, 2000), s.arrive(ONCE_ONLY, 2000)];
    two.iter().for_each(|&txn| s.end(txn, 0, AttemptOutcome::Dropped, 5));
    let waiting = s.arrive(ONCE_ONLY, 2000);
    assert!(s.sent_to(waiting).is_empty());
}

#[test]
fn a_lost_submission_is_cancelled_in_time_for_another_attempt() {
    let mut s = Scenario::with_primary();
    let (lost, once_only, referenced) =
        (s.arrive(LOOSE, 4000), s.arrive(ONCE_ONLY, 4000), s.arrive(REFERENCED, 4000));
    let to = s.sent_to(lost)[0];
    for _ in 0..6 {
        // Its member answers other txns all the time.
        s.now += ms(200);
        s.report_all(0);
        for other in [s.arrive(LOOSE, 1000), s.arrive(LOOSE, 1000), s.arrive(ONCE_ONLY, 1000)] {
            let member = s.sent_to(other)[0];
            s.end(other, member, AttemptOutcome::Committed, 50);
        }
    }
    assert!(s.recorded(&Action::Cancelled(lost, 0)) && !s.recorded(&Action::Cancelled(once_only, 0)));
    assert!(
        !s.recorded(&Action::Cancelled(referenced, 0)),
        "a write is waited for longer, because only the primary can take it"
    );
    s.end(lost, to, AttemptOutcome::Cancelled, 1200);
    assert_eq!(s.sent_to(lost).len(), 2);
}

#[test]
fn removed_members_are_dropped_and_their_indices_reused() {
    let mut s = Scenario::with_primary();
    let (busy, removed) = (s.arrive(REFERENCED, 90_000), ListedState::Removed);
    s.list(0, removed, None);
    s.list(1, removed, None);
    s.now += ms(59_000);
    s.list(2, ListedState::Up, None);
    assert!(!s.recorded(&Action::MemberReleased(1)), "an old list may still name it");
    s.now += ms(2_000);
    s.list(2, ListedState::Up, None);
    assert!(
        s.recorded(&Action::MemberReleased(1)) && !s.recorded(&Action::MemberReleased(0)),
        "a submission to 0 is in flight"
    );
    s.end(busy, 0, AttemptOutcome::Committed, 61_000);
    s.router.probe_ended(s.now, 0, AttemptOutcome::Unreachable, Default::default(), &mut s.host);
    s.list(2, ListedState::Up, None);
    assert!(s.recorded(&Action::MemberReleased(0)) && !s.recorded(&Action::MemberReleased(2)));
    // The member that reuses the index of the former primary is not primary and has none of its proofs.
    s.list(0, ListedState::Up, None);
    let (write, read) = (s.arrive(ONCE_ONLY, 1000), s.arrive(BOUNDED, 1000));
    assert!(s.sent_to(write).is_empty() && s.sent_to(read).is_empty());
    s.report(0, Role::Primary, s.now);
    assert_eq!(s.sent_to(write), [0]);
}

#[test]
fn unreadable_and_invalid_answers_do_not_back_off_a_member() {
    let mut s = Scenario::with_primary();
    for (i, outcome) in
        [AttemptOutcome::Spoilt, AttemptOutcome::Invalid].into_iter().cycle().take(20).enumerate()
    {
        let txn = s.arrive(ONCE_ONLY, 2000);
        assert_eq!(s.sent_to(txn), [0], "{i}: it stays the recorded primary and is not avoided");
        s.now += ms(5);
        s.end(txn, 0, outcome, 5);
        assert!(s.recorded(&Action::Unknown(txn)), "it may have run");
    }
    let again = s.arrive(REFERENCED, 2000);
    s.end(again, 0, AttemptOutcome::Spoilt, 5);
    assert_eq!(s.sent_to(again), [0, 0]);
    // The same holds for a report that cannot be read.
    s.router.probe_ended(s.now, 0, AttemptOutcome::Spoilt, Default::default(), &mut s.host);
    let (one, two) = (s.arrive(ONCE_ONLY, 2000), s.arrive(ONCE_ONLY, 2000));
    assert_eq!((s.sent_to(one), s.sent_to(two)), (vec![0], vec![0]));
}

#[test]
fn a_late_report_of_a_former_primary_does_not_replace_its_successor() {
    let mut s = Scenario::with_primary();
    s.now += ms(500);
    s.report(1, Role::Primary, s.now);
    s.report(0, Role::Primary, s.now - ms(400));
    let txn = s.arrive(ONCE_ONLY, 2000);
    assert_eq!(s.sent_to(txn), [1]);
}

#[test]
fn an_answer_as_a_replica_overrides_an_earlier_claim() {
    let mut s = Scenario::with_primary();
    let txn = s.arrive(REFERENCED, 2000);
    s.now += ms(350);
    let (now, behind) = (s.now, Some(s.now - ms(310)));
    let replica = Some(Role::Replica);
    s.router.submission_ended(
        now,
        txn,
        false,
        0,
        AttemptOutcome::Errored,
        replica,
        behind,
        ms(10),
        &mut s.host,
    );
    let next = s.arrive(BOUNDED, 1000);
    assert!(s.sent_to(next).is_empty(), "no read may rely on it as the primary");
}

#[test]
fn a_once_only_write_is_resubmitted_only_if_it_never_ran() {
    let mut s = Scenario::with_primary();
    let txn = s.arrive(ONCE_ONLY, 2000);
    s.now += ms(5);
    s.end(txn, 0, AttemptOutcome::Misplaced, 5);
    s.now += ms(50);
    s.report_all(1);
    assert_eq!(s.sent_to(txn), [0, 1]);
    s.end(txn, 1, AttemptOutcome::Errored, 20);
    assert_eq!(s.sent_to(txn).len(), 2);
    assert!(s.recorded(&Action::Unknown(txn)) && !s.recorded(&Action::Declined(txn)));
}

#[test]
fn a_txn_is_submitted_at_most_the_configured_number_of_times() {
    let mut s = Scenario::with_primary();
    let txn = s.arrive(ONCE_ONLY, 9000);
    for _ in 0..10 {
        s.end(txn, 0, AttemptOutcome::Full, 1);
        s.now += ms(600);
        s.report_all(0);
    }
    assert_eq!(s.sent_to(txn).len(), 6);
    assert!(s.recorded(&Action::Declined(txn)));
}

#[test]
fn a_referenced_write_is_answered_as_unknown_when_its_window_ends() {
    let mut s = Scenario::with_primary();
    let txn = s.arrive(REFERENCED, 5000);
    s.now += ms(100);
    s.end(txn, 0, AttemptOutcome::Dropped, 100);
    s.end(txn, 0, AttemptOutcome::Unreachable, 0);
    s.advance(1950, txn);
    s.report_all(1);
    assert_eq!(s.sent_to(txn), [0, 0]);
    assert!(s.recorded(&Action::Unknown(txn)) && !s.recorded(&Action::Declined(txn)));
}

#[test]
fn a_draining_or_removed_member_receives_nothing() {
    let mut s = Scenario::with_primary();
    s.list(1, ListedState::Draining, None);
    s.list(0, ListedState::Removed, None);
    for _ in 0..3 {
        let read = s.arrive(BOUNDED, 1000);
        assert_eq!(s.sent_to(read), [2]);
    }
    let write = s.arrive(ONCE_ONLY, 1000);
    assert!(s.sent_to(write).is_empty());
}

#[test]
fn a_drain_outlasts_a_wrong_list() {
    let mut s = Scenario::with_primary();
    s.router.treat_removal_as_advisory();
    let read = |s: &mut Scenario| {
        let read = s.arrive(BOUNDED, 1000);
        let at = s.sent_to(read)[0];
        s.end(read, at, AttemptOutcome::Committed, 50);
        at
    };
    for state in [ListedState::Draining, ListedState::Removed, ListedState::Up] {
        s.list(1, state, None);
        assert_eq!([read(&mut s), read(&mut s)], [2, 2]);
    }
    s.list(2, ListedState::Removed, None);
    assert_eq!(read(&mut s), 2, "removal alone does not exclude it");
    s.list(1, ListedState::Up, Some(ms(0)));
    s.now += ms(20_000);
    s.report_all(0);
    s.list(2, ListedState::Draining, None);
    assert_eq!(read(&mut s), 1, "it has restarted since");
}

/// Guards against a drain that ends as its member's start is converted anew: whatever the clock and its corrections make
/// of the same start, and whatever older one an old list tells, the drain binds.
#[test]
fn drain_ends_with_a_start_that_is_told_as_later_and_with_nothing_else() {
    const STARTED: i64 = 1_767_225_600_123;
    let mut s = Scenario::with_primary();
    s.router.treat_removal_as_advisory();
    let is_read = |s: &mut Scenario| {
        s.now += ms(20);
        s.report_all(0);
        // Several at once, so that all that may be used are.
        let reads: Vec<usize> = (0..4).map(|_| s.arrive(BOUNDED, 1000)).collect();
        let members: Vec<usize> = reads.iter().map(|&read| s.sent_to(read)[0]).collect();
        for (&read, &member) in reads.iter().zip(&members) {
            s.end(read, member, AttemptOutcome::Committed, 5);
        }
        members.contains(&1)
    };
    let start = |told: i64, up_for: Duration| Some(ListedStart { told, up_for });
    s.list_started(1, ListedState::Up, start(STARTED, ms(5000)));
    s.now += ms(20_000);
    assert!(is_read(&mut s));
    s.list_started(1, ListedState::Draining, start(STARTED, ms(25_020)));
    // The start is converted by a microsecond, a second and an hour later; or it is of an older list, or is not told.
    let hour = Duration::from_secs(3600);
    for up_for in [ms(25_020) - Duration::from_micros(1), ms(24_000), Duration::ZERO, hour] {
        for state in [ListedState::Removed, ListedState::Up] {
            s.list_started(1, state, start(STARTED, up_for));
            assert!(!is_read(&mut s), "{state:?}, {up_for:?}");
            s.list_started(1, state, start(STARTED - 1, up_for));
            assert!(!is_read(&mut s), "{state:?}, {up_for:?}, an older start");
            s.list_started(1, state, None);
            assert!(!is_read(&mut s), "{state:?}, no start");
        }
    }
    // A router that takes the place of this one keeps it.
    let [drain] = s.router.drains()[..] else { panic!("one drain") };
    let mut next = Scenario::with_primary();
    next.router.treat_removal_as_advisory();
    next.list_started(1, ListedState::Removed, start(STARTED, ms(60_000)));
    next.router.keep_drain(next.now, drain);
    assert!(!is_read(&mut next), "as its predecessor was told of it");
    for s in [&mut s, &mut next] {
        s.list_started(1, ListedState::Up, start(STARTED + 1, ms(1)));
        s.now += ms(20_000);
        assert!(is_read(s), "it has started again");
    }
}

/// Guards against a cold member that seems warm as an old list names its start before the last.
#[test]
fn older_start_does_not_make_a_cold_member_warm() {
    let mut s = Scenario::with_primary();
    s.list_started(1, ListedState::Up, Some(ListedStart { told: 2_000, up_for: ms(0) }));
    let cold = s.router.snapshot_member(s.now, 1).expect("listed").warm_at;
    s.list_started(1, ListedState::Up, Some(ListedStart { told: 1_000, up_for: ms(60_000) }));
    assert_eq!(s.router.snapshot_member(s.now, 1).expect("listed").warm_at, cold);
}

/// Submits and answers a number of reads, `apart` milliseconds after each other.
fn serve(s: &mut Scenario, reads: usize, apart: u64) {
    for i in 0..reads as u64 {
        s.now += ms(apart);
        s.report_all(0);
        let read = s.arrive(LOOSE, 1000);
        for member in s.sent_to(read) {
            s.end(read, member, AttemptOutcome::Committed, 10 + i * 17 % 90);
        }
    }
}

/// What a member that has just started and a warm one are sent by all of the given fronts within the window.
fn sent_to_cold_and_warm(fronts: usize, apart: u64) -> (usize, usize) {
    let mut sum = (0, 0);
    for index in 0..fronts {
        let mut s = Scenario::of(FrontInfo { index, fronts, zone: 0 });
        s.report_all(0);
        serve(&mut s, 200 + index % 20, apart);
        s.list(1, ListedState::Up, Some(ms(0)));
        s.host.0.clear();
        serve(&mut s, 1500 / apart as usize, apart);
        let to = |m| s.host.0.iter().filter(|a| matches!(a, Action::Sent(_, to) if *to == m)).count();
        sum = (sum.0 + to(1), sum.1 + to(2));
    }
    sum
}

#[test]
fn many_small_or_few_large_fronts_stay_within_the_cold_budget() {
    for (fronts, apart) in [(120, 300), (2, 7)] {
        let (cold, warm) = sent_to_cold_and_warm(fronts, apart);
        // The multiple is 2.5, and the share is at most a third within 1.5 s of the start.
        assert!(warm > 100 && cold * 100 <= warm * 83, "{fronts} fronts: {cold} cold, {warm} warm");
    }
}

#[test]
fn a_cold_budget_below_one_txn_is_rounded_at_random() {
    let (cold, warm) = sent_to_cold_and_warm(120, 1000);
    assert!(cold > 0 && cold * 2 < warm, "{cold} cold, {warm} warm");
}

/// What member 1 and a warm member are sent after `probes` probes of member 1 have ended with `outcome`, each after
/// `took` milliseconds, and member 1 answers again.
fn sent_after_return(outcome: AttemptOutcome, probes: usize, took: u64) -> (usize, usize) {
    let mut sum = (0, 0);
    for index in 0..40 {
        let mut s = Scenario::of(FrontInfo { index, fronts: 40, zone: 0 });
        s.report_all(0);
        serve(&mut s, 200, 50);
        for _ in 0..probes {
            s.host.0.clear();
            while !s.recorded(&Action::Probed(1)) {
                s.advance(50, 0);
            }
            s.now += ms(took);
            s.router.probe_ended(s.now, 1, outcome, Default::default(), &mut s.host);
        }
        s.report_all(0);
        s.host.0.clear();
        serve(&mut s, 30, 50);
        let to = |m| s.host.0.iter().filter(|a| matches!(a, Action::Sent(_, to) if *to == m)).count();
        sum = (sum.0 + to(1), sum.1 + to(2));
    }
    sum
}

#[test]
fn a_restarted_member_is_treated_as_cold_before_the_list_shows_it() {
    let (back, warm) = sent_after_return(AttemptOutcome::Unreachable, 2, 1);
    assert!(warm > 100 && back * 100 <= warm * 83, "{back} to the restarted member, {warm} to a warm one");
    // A partitioned link, a single refused probe and errors are not taken for a restart.
    for (outcome, probes, took) in [
        (AttemptOutcome::Unreachable, 2, 250),
        (AttemptOutcome::Unreachable, 1, 1),
        (AttemptOutcome::Errored, 2, 1),
    ] {
        let (back, warm) = sent_after_return(outcome, probes, took);
        assert!(back * 100 > warm * 83, "{outcome:?} {probes} {took}: {back}, {warm}");
    }
}

#[test]
fn a_bounded_read_goes_only_where_its_bound_is_proven() {
    let mut s = Scenario::with_primary();
    s.now += ms(250);
    s.report(1, Role::Replica, s.now - ms(200));
    s.now += ms(60);
    let read = s.arrive(BOUNDED, 1000);
    assert_eq!(s.sent_to(read), [1], "the last report of member 2 is 310 ms old");
    s.now += ms(60);
    let read = s.arrive(BOUNDED, 1000);
    assert!(
        s.sent_to(read).is_empty() && s.recorded(&Action::Probed(1)),
        "none is within the bound, so reports are requested first"
    );
    s.advance(50, read);
    assert_eq!(s.sent_to(read), [0], "without a report the read goes to the primary");
}

#[test]
fn a_front_with_little_traffic_probes_only_when_a_txn_waits() {
    let mut s = Scenario::new();
    for step in 0..200 {
        s.now += ms(50);
        s.router.timer_fired(s.now, 2, &mut s.host);
        if s.host.0.last().is_some_and(|a| matches!(a, Action::Probed(_))) || step == 0 {
            s.report_all(0);
        }
    }
    let probes = |s: &Scenario| s.host.0.iter().filter(|a| matches!(a, Action::Probed(_))).count();
    assert!(probes(&s) < 12, "{} for no txn in 10 s", probes(&s));
    s.now += ms(400);
    let before = probes(&s);
    let read = s.arrive(BOUNDED, 1000);
    assert!(s.sent_to(read).is_empty() && probes(&s) == before + 2, "both readers are probed");
    s.now += ms(2);
    s.report(2, Role::Replica, s.now - ms(150));
    assert_eq!(s.sent_to(read), [2]);
}

#[test]
fn each_txn_gets_one_answer_and_no_submission_after_it() {
    let mut s = Scenario::new();
    let (gone, late) = (s.arrive(ONCE_ONLY, 2000), s.arrive(ONCE_ONLY, 600));
    s.router.client_left(s.now, gone, &mut s.host);
    s.advance(590, late);
    s.advance(20, late);
    s.report_all(0);
    assert!(s.sent_to(gone).is_empty() && s.sent_to(late).is_empty());
    let answers =
        |t| s.host.0.iter().filter(|&a| a == &Action::Declined(t) || a == &Action::Unknown(t)).count();
    assert_eq!((answers(gone), answers(late)), (0, 1));
    assert!(s.recorded(&Action::Declined(late)), "it never ran, so the client may try again");
}

#[test]
fn a_silent_member_is_backed_off_and_its_reads_go_elsewhere() {
    let mut s = Scenario::with_primary();
    s.list(2, ListedState::Draining, None);
    let reads = [s.arrive(LOOSE, 3000), s.arrive(LOOSE, 3000)];
    assert_eq!(s.sent_to(reads[0]), [1]);
    s.advance(1500, reads[0]);
    assert!(s.recorded(&Action::Cancelled(reads[0], 0)));
    s.report_all(0);
    s.end(reads[0], 1, AttemptOutcome::Cancelled, 1500);
    assert_eq!(s.sent_to(reads[0]), [1, 0], "the backed-off reader is not chosen");
}

#[test]
fn a_first_fast_answer_does_not_make_other_members_look_silent() {
    let mut s = Scenario::with_primary();
    let reads: Vec<usize> = (0..4).map(|_| s.arrive(LOOSE, 3000)).collect();
    let first = s.sent_to(reads[0])[0];
    s.now += ms(5);
    s.end(reads[0], first, AttemptOutcome::Committed, 5);
    s.advance(100, reads[1]);
    assert!(!s.host.0.iter().any(|a| matches!(a, Action::Cancelled(..))));
}

#[test]
fn fast_errors_do_not_look_like_low_load() {
    let mut s = Scenario::with_primary();
    for _ in 0..12 {
        let read = s.arrive(LOOSE, 1000);
        let member = s.sent_to(read)[0];
        s.now += ms(2);
        let outcome = if member == 1 { AttemptOutcome::Errored } else { AttemptOutcome::Committed };
        s.end(read, member, outcome, 2);
    }
    s.host.0.clear();
    for _ in 0..3 {
        let read = s.arrive(LOOSE, 1000);
        assert_ne!(s.sent_to(read), [1]);
    }
}

#[test]
fn occasional_errors_count_as_late_answers() {
    let mut s = Scenario::with_primary();
    let mut to = [0; 3];
    for i in 0..200 {
        let read = s.arrive(LOOSE, 1000);
        let member = s.sent_to(read)[0];
        to[member] += 1;
        s.now += ms(50);
        let fails = member == 1 && i % 2 == 0;
        s.end(
            read,
            member,
            if fails { AttemptOutcome::Errored } else { AttemptOutcome::Committed },
            if fails { 1 } else { 50 },
        );
        s.report_all(0);
    }
    assert!(to[1] * 2 < to[2], "{to:?}");
}

#[test]
fn a_lost_server_list_is_requested_again() {
    let mut s = Scenario::new();
    s.router.discovery_lost(s.now, &mut s.host);
    s.router.timer_fired(s.now + ms(250), 0, &mut s.host);
    assert!(s.recorded(&Action::Subscribed));
}

#[test]
fn a_full_primary_is_avoided_for_a_while() {
    let mut s = Scenario::with_primary();
    for _ in 0..8 {
        let write = s.arrive(ONCE_ONLY, 2000);
        s.end(write, 0, AttemptOutcome::Committed, 50);
    }
    let first = s.arrive(ONCE_ONLY, 2000);
    s.end(first, 0, AttemptOutcome::Full, 1);
    let second = s.arrive(ONCE_ONLY, 2000);
    assert!(s.sent_to(second).is_empty());
    s.advance(200, second);
    assert_eq!((s.sent_to(first), s.sent_to(second)), (vec![0, 0], vec![0]));
}

#[test]
fn late_answers_cut_the_concurrency_limit() {
    let mut s = Scenario::with_primary();
    let write = |s: &mut Scenario| {
        let txn = s.arrive(ONCE_ONLY, 3000);
        (txn, !s.sent_to(txn).is_empty())
    };
    let fits = (0..20).map(|_| write(&mut s)).filter(|&(_, sent)| sent).map(|(t, _)| t).collect::<Vec<_>>();
    for &txn in &fits {
        s.now += ms(250);
        s.end(txn, 0, AttemptOutcome::TimedOut, 2900);
    }
    s.advance(3000, 0);
    s.report_all(0);
    let again = (0..20).filter(|_| write(&mut s).1).count();
    assert!(again < fits.len(), "{again} after {}", fits.len());
}

#[test]
fn reads_spill_to_the_primary_when_readers_are_at_their_limit() {
    let mut s = Scenario::with_primary();
    let members: Vec<usize> = (0..12)
        .flat_map(|_| {
            let r = s.arrive(BOUNDED, 1000);
            s.sent_to(r)
        })
        .collect();
    assert!(members[..2].iter().all(|&m| m != 0), "readers are preferred");
    let at_writer = members.iter().filter(|&&m| m == 0).count();
    assert!((1..=2).contains(&at_writer), "half of the primary's limit is reserved for writes");
}

/// A member answers a read and reports its position; reads that go to the other reader are answered after that.
fn answer_with_lag(s: &mut Scenario, member: usize, by: u64) {
    let mut reads = Vec::new();
    let read = loop {
        let read = s.arrive(LOOSE, 900);
        if s.sent_to(read) == [member] {
            break read;
        }
        reads.extend(s.sent_to(read).first().map(|&to| (read, to)));
        assert!(reads.len() < 20, "no read goes to that member");
    };
    let (now, at, role) = (s.now, Some(s.now - ms(by)), Some(Role::Replica));
    s.router.submission_ended(
        now,
        read,
        true,
        member,
        AttemptOutcome::Committed,
        role,
        at,
        ms(5),
        &mut s.host,
    );
    reads.iter().for_each(|&(read, to)| s.end(read, to, AttemptOutcome::Committed, 5));
}

#[test]
fn with_member_checks_the_least_lagging_member_is_tried_once() {
    let mut s = Scenario::with_primary();
    s.router.assume_members_check_reads();
    s.now += ms(900);
    answer_with_lag(&mut s, 1, 700);
    answer_with_lag(&mut s, 2, 600);
    let read = s.arrive(BOUNDED, 1000);
    assert_eq!(s.sent_to(read), [2], "both reported a lag beyond the bound");
    s.end(read, 2, AttemptOutcome::Misplaced, 20);
    assert_eq!(s.sent_to(read), [2, 0]);
}

#[test]
fn with_member_checks_a_reported_lag_counts_until_the_next_report_and_then_fades() {
    let mut s = Scenario::with_primary();
    s.router.assume_members_check_reads();
    s.now += ms(4000);
    s.report_all(0);
    answer_with_lag(&mut s, 1, 2000);
    answer_with_lag(&mut s, 2, 20);
    let probes = |s: &Scenario| s.host.0.iter().filter(|act| matches!(act, Action::Probed(_))).count();
    let before = probes(&s);
    // Every proof is a second old by now. No member is probed, and the lagging one receives nothing.
    s.now += ms(1000);
    for _ in 0..12 {
        let read = s.arrive(BOUNDED, 900);
        assert_eq!(s.sent_to(read), [2]);
        s.end(read, 2, AttemptOutcome::Committed, 5);
    }
    assert_eq!(probes(&s), before, "the read replaces a probe");
    // A lag of two seconds counts for twice as long, then the member is tried again.
    s.now += ms(4000);
    let later: Vec<usize> = (0..8)
        .flat_map(|_| {
            let r = s.arrive(BOUNDED, 900);
            s.sent_to(r)
        })
        .collect();
    assert!(later.contains(&1), "{later:?}");
}

#[test]
fn a_member_that_refuses_a_read_without_a_position_is_assumed_to_lag() {
    let mut s = Scenario::with_primary();
    s.router.assume_members_check_reads();
    s.now += ms(1000);
    let read = s.arrive(BOUNDED, 900);
    let to = s.sent_to(read)[0];
    s.end(read, to, AttemptOutcome::Misplaced, 2);
    let second = s.sent_to(read)[1];
    assert_ne!(second, to);
    s.end(read, second, AttemptOutcome::Committed, 5);
    for _ in 0..12 {
        let next = s.arrive(BOUNDED, 900);
        let at = s.sent_to(next)[0];
        assert_ne!(at, to, "it would refuse this read too");
        s.end(next, at, AttemptOutcome::Committed, 5);
    }
}

#[test]
fn an_older_report_does_not_increase_the_lag() {
    let mut s = Scenario::with_primary();
    s.router.assume_members_check_reads();
    s.now += ms(1000);
    let mut to = Vec::new();
    for _ in 0..12 {
        s.report(2, Role::Replica, s.now - ms(700));
        let read = s.arrive(BOUNDED, 900);
        to.extend(s.sent_to(read));
        s.end(read, *to.last().expect("a member"), AttemptOutcome::Committed, 5);
    }
    assert!(to.contains(&2), "{to:?}");
}

#[test]
fn without_a_primary_no_member_is_assumed_to_catch_up() {
    let mut s = Scenario::with_primary();
    s.router.assume_members_check_reads();
    s.report(0, Role::Replica, s.now);
    s.now += ms(1000);
    let read = s.arrive(BOUNDED, 900);
    let first = s.sent_to(read);
    assert_eq!(first.len(), 1, "one attempt at the least lagging member, as always");
    s.end(read, first[0], AttemptOutcome::Misplaced, 2);
    assert_eq!(s.sent_to(read), first, "no other member can have what was never committed");
}

#[test]
fn txns_over_quota_wait_behind_txns_within_quota() {
    let mut s = Scenario::new();
    s.router.set_tenant_quotas(&[1e9, 0.0], 0.2);
    let arrive = |s: &mut Scenario, txn: usize, tenant: usize| {
        let (now, who) = (s.now, Some(tenant));
        s.router.txn_arrived(
            now,
            txn,
            ONCE_ONLY,
            0,
            ms(3000),
            false,
            who,
            None,
            SessionWrite::Untold,
            0,
            &mut s.host,
        );
    };
    // The second tenant has a quota of zero and has sent txns already.
    for txn in 300..400 {
        arrive(&mut s, txn, 1);
        s.router.client_left(s.now, txn, &mut s.host);
    }
    (100..104).for_each(|txn| arrive(&mut s, txn, 0));
    s.now += ms(10);
    (200..204).for_each(|txn| arrive(&mut s, txn, 1));
    s.report_all(0);
    let sent = |txns: std::ops::Range<usize>| txns.filter(|&txn| s.sent_to(txn) == [0]).count();
    let (within, over) = (sent(100..104), sent(200..204));
    assert!(within >= 3 && over <= 1, "{within} {over}, although those over quota are newer");
}

#[test]
fn reads_do_not_spill_to_the_primary_while_its_writes_are_late() {
    for late in [false, true] {
        let mut s = Scenario::with_primary();
        for _ in 0..12 {
            let write = s.arrive(ONCE_ONLY, 2000);
            if s.sent_to(write) == [0] {
                s.end(write, 0, AttemptOutcome::Committed, if late { 390 } else { 5 });
            }
        }
        let reads: Vec<usize> = (0..16)
            .flat_map(|_| {
                let r = s.arrive(BOUNDED, 1000);
                s.sent_to(r)
            })
            .collect();
        assert_eq!(reads.contains(&0), !late, "late: {late}, {reads:?}");
    }
}

#[test]
fn txns_over_quota_are_declined_first_while_answers_are_late() {
    let mut s = Scenario::of(FrontInfo { index: 0, fronts: 4, zone: 0 });
    s.report_all(0);
    // Without a limit on how much declined txns count, the rate limiter would decline for both tenants here for good.
    // Each tenant's quota is 40 txns per second, so 10 at this front; the second tenant sends eight times as many.
    s.router.set_tenant_quotas(&[40.0, 40.0], 0.2);
    let mut declined = [0, 0];
    let mut sent = [0, 0];
    for i in 0..900 {
        let tenant = usize::from(i % 9 != 0);
        let txn = 1000 + i;
        let (now, who) = (s.now, Some(tenant));
        s.router.txn_arrived(
            now,
            txn,
            LOOSE,
            0,
            ms(900),
            false,
            who,
            None,
            SessionWrite::Untold,
            0,
            &mut s.host,
        );
        sent[tenant] += 1;
        if let Some(&at) = s.sent_to(txn).first() {
            // One answer in four is late.
            s.end(txn, at, AttemptOutcome::Committed, if i % 4 == 0 { 390 } else { 30 });
        } else if s.recorded(&Action::Declined(txn)) {
            declined[tenant] += 1;
        }
        s.now += ms(11);
        s.report_all(0);
    }
    let share = |tenant: usize| f64::from(declined[tenant]) / f64::from(sent[tenant]);
    assert!(share(1) > 0.5 && share(0) < 0.1, "{} {}", share(0), share(1));
}

#[test]
fn the_same_inputs_give_the_same_actions() {
    let run = || {
        let mut s = Scenario::of(FrontInfo { index: 1, fronts: 3, zone: 0 });
        s.report_all(0);
        for i in 0..50 {
            let txn = s.arrive(i % 4, 1000);
            if let Some(&member) = s.sent_to(txn).first() {
                s.end(txn, member, AttemptOutcome::Committed, 30);
            }
            s.advance(7, txn);
        }
        s.host.0
    };
    assert_eq!(run(), run());
}

#[test]
fn under_overload_the_newest_of_equal_value_goes_first() {
    let mut s = Scenario::new();
    let old = s.arrive(ONCE_ONLY, 3000);
    for _ in 0..6 {
        s.now += ms(50);
        s.arrive(ONCE_ONLY, 3000);
    }
    let new = s.arrive(ONCE_ONLY, 3000);
    s.report_all(0);
    assert_eq!(s.sent_to(new), [0]);
    assert!(s.sent_to(old).is_empty(), "the oldest waits until a place is free");
}

/// A scenario whose router has measured that loose reads take four seconds.
fn with_slow_loose_reads() -> Scenario {
    let mut s = Scenario::with_primary();
    for _ in 0..500 {
        let read = s.arrive(LOOSE, 9000);
        let at = s.sent_to(read)[0];
        s.end(read, at, AttemptOutcome::Committed, 4000);
        s.now += ms(12_000);
        s.report_all(0);
    }
    s
}

#[test]
fn the_lowest_value_density_waits() {
    let mut s = with_slow_loose_reads();
    for member in 0..3 {
        s.list(member, ListedState::Removed, None);
    }
    let short = s.arrive(BOUNDED, 900);
    s.now += ms(10);
    let long = s.arrive(LOOSE, 9000);
    s.report(1, Role::Replica, s.now);
    s.host.0.clear();
    s.list(1, ListedState::Up, None);
    let sends: Vec<&Action> = s.host.0.iter().filter(|a| matches!(a, Action::Sent(..))).collect();
    assert_eq!(sends, [&Action::Sent(short, 1), &Action::Sent(long, 1)]);
}

#[test]
fn a_slow_period_does_not_make_later_txns_be_given_up() {
    let mut s = Scenario::with_primary();
    for _ in 0..400 {
        let read = s.arrive(LOOSE, 900);
        if let Some(&at) = s.sent_to(read).first() {
            s.router.client_left(s.now, read, &mut s.host);
            s.end(read, at, AttemptOutcome::TimedOut, 5000);
        }
        s.now += ms(10);
        s.report_all(0);
    }
    s.now += ms(12_000);
    s.report_all(0);
    let read = s.arrive(LOOSE, 900);
    assert!(!s.sent_to(read).is_empty());
}

#[test]
fn first_tries_go_before_client_retries_of_equal_value() {
    let mut s = Scenario::new();
    let first: Vec<usize> = (0..4).map(|_| s.arrive(ONCE_ONLY, 3000)).collect();
    s.now += ms(10);
    let later = s.arrive_retry(ONCE_ONLY, 2000, true);
    s.report_all(0);
    assert!(first.iter().all(|&txn| s.sent_to(txn) == [0]) && s.sent_to(later).is_empty());
}

#[test]
fn a_txn_type_that_is_rarely_in_time_is_rate_limited_for_a_while() {
    let mut s = Scenario::with_primary();
    let declined = |s: &mut Scenario, took| {
        let read = s.arrive(LOOSE, 2000);
        if let Some(&at) = s.sent_to(read).first() {
            s.end(read, at, AttemptOutcome::Committed, took);
        }
        s.sent_to(read).is_empty() && s.recorded(&Action::Declined(read))
    };
    let mut round = |took| {
        s.now += ms(12_000);
        s.report_all(0);
        (0..40).filter(|_| declined(&mut s, took)).count()
    };
    assert_eq!(round(100), 0);
    assert!(round(900) > 20);
    assert_eq!(round(100), 0);
}

#[test]
fn a_late_group_does_not_rate_limit_another() {
    let mut s = Scenario::with_primary();
    let now = s.now;
    s.router.member_listed(now, 3, 1, 0, ListedState::Up, false, None);
    s.router.list_completed(now, None, &mut s.host);
    let mut sent = [0, 0];
    for txn in 100..300 {
        s.now += ms(60);
        s.report_all(0);
        let group = txn % 2;
        s.router.txn_arrived(
            s.now,
            txn,
            LOOSE,
            group,
            ms(2000),
            false,
            None,
            None,
            SessionWrite::Untold,
            0,
            &mut s.host,
        );
        if let Some(&at) = s.sent_to(txn).first() {
            sent[group] += 1;
            s.end(txn, at, AttemptOutcome::Committed, if group == 0 { 900 } else { 50 });
        }
    }
    assert!(sent[0] * 2 < sent[1], "{sent:?}");
}

#[test]
fn answers_after_their_clients_left_limit_the_rate_and_good_ones_lift_the_limit() {
    let mut s = Scenario::with_primary();
    let mut round = |leave: bool| {
        let mut sent = 0;
        for _ in 0..60 {
            s.now += ms(40);
            s.report_all(0);
            let read = s.arrive(LOOSE, 2000);
            let Some(&at) = s.sent_to(read).first() else { continue };
            sent += 1;
            if leave {
                s.router.client_left(s.now, read, &mut s.host);
            }
            s.end(read, at, AttemptOutcome::Committed, 50);
        }
        sent
    };
    assert_eq!(round(false), 60);
    (0..3).for_each(|_| _ = round(true));
    assert!(round(true) < 30);
    (0..3).for_each(|_| _ = round(false));
    assert!(round(false) > 50);
}

#[test]
fn a_failed_member_is_tried_by_a_probe_before_a_txn() {
    let mut s = Scenario::with_primary();
    let read = s.arrive(LOOSE, 3000);
    let failed = s.sent_to(read)[0];
    s.host.0.clear();
    s.end(read, failed, AttemptOutcome::Unreachable, 250);
    assert!(s.recorded(&Action::Probed(failed)));
    let other = 3 - failed;
    s.end(read, other, AttemptOutcome::Committed, 150);
    for _ in 0..4 {
        s.now += ms(4000);
        s.report(0, Role::Primary, s.now);
        let read = s.arrive(LOOSE, 3000);
        assert_eq!(s.sent_to(read), [other], "its back-off is long over");
        s.end(read, other, AttemptOutcome::Committed, 150);
    }
    s.report_all(0);
    s.list(other, ListedState::Draining, None);
    let read = s.arrive(LOOSE, 3000);
    assert_eq!(s.sent_to(read), [failed]);
}

#[test]
fn a_front_with_little_traffic_remembers_slowness_between_its_txns() {
    let mut s = Scenario::with_primary();
    let mut to = [0; 3];
    for _ in 0..120 {
        s.now += ms(6000);
        s.report_all(0);
        let read = s.arrive(LOOSE, 3000);
        let at = s.sent_to(read)[0];
        to[at] += 1;
        s.end(read, at, AttemptOutcome::Committed, if at == 1 { 300 } else { 80 });
    }
    assert!(to[1] * 3 < to[2], "{to:?}");
}

#[test]
fn a_front_that_was_stalled_does_not_consider_its_members_silent() {
    for stalled in [true, false] {
        let mut s = Scenario::with_primary();
        for _ in 0..60 {
            s.now += ms(50);
            let read = s.arrive(LOOSE, 900);
            let at = s.sent_to(read)[0];
            s.end(read, at, AttemptOutcome::Committed, 50);
        }
        s.report_all(0);
        let write = s.arrive(ONCE_ONLY, 5000);
        s.now += ms(1500);
        if !stalled {
            // Its timers fire in time all the while.
            s.now -= ms(1500);
            for _ in 0..15 {
                s.now += ms(100);
                s.router.timer_fired(s.now, 2, &mut s.host);
            }
        }
        let next = s.arrive(ONCE_ONLY, 5000);
        assert_eq!(s.sent_to(next).len(), usize::from(stalled), "a silent primary is no longer recorded");
        s.end(write, 0, AttemptOutcome::Committed, 1500);
    }
}

#[test]
fn a_client_retry_worth_nothing_late_uses_half_of_the_limit() {
    let at_readers = |retried| {
        let mut s = Scenario::with_primary();
        s.list(2, ListedState::Draining, None);
        let sent = |s: &mut Scenario| {
            let read = s.arrive_retry(BOUNDED, 900, retried);
            s.sent_to(read) == [1]
        };
        (0..8).filter(|_| sent(&mut s)).count()
    };
    assert!(at_readers(true) < at_readers(false));
}

#[test]
fn lost_submissions_do_not_count_against_the_limit() {
    let limit_after = |lost| {
        let mut s = Scenario::with_primary();
        (0..lost).for_each(|_| _ = s.arrive(ONCE_ONLY, 90_000));
        for _ in 0..60 {
            let txn = s.arrive(ONCE_ONLY, 3000);
            s.now += ms(30);
            s.end(txn, 0, AttemptOutcome::Committed, 30);
            s.report_all(0);
        }
        let more: Vec<usize> = (0..40).map(|_| s.arrive(ONCE_ONLY, 3000)).collect();
        more.iter().filter(|&&txn| !s.sent_to(txn).is_empty()).count()
    };
    assert_eq!(limit_after(3), limit_after(0));
}

#[test]
fn a_txn_that_was_never_submitted_is_given_up_within_half_its_time() {
    let mut s = Scenario::new();
    let write = s.arrive(ONCE_ONLY, 2000);
    for _ in 0..35 {
        s.advance(25, write);
    }
    assert!(!s.recorded(&Action::Declined(write)), "a write waits for a primary");
    s.advance(50, write);
    assert!(s.recorded(&Action::Declined(write)), "its client has time for another try");
}

#[test]
fn a_submission_waiting_for_a_connection_is_valid_only_while_its_conditions_hold() {
    let mut s = Scenario::with_primary();
    let (read, write) = (s.arrive(BOUNDED, 1000), s.arrive(ONCE_ONLY, 2000));
    assert!(!s.sent_to(read).is_empty() && s.sent_to(write) == [0]);
    assert_eq!(
        s.router.valid_until(read, WriteProgress::NotBegun),
        s.now + ms(300),
        "as long as the proof of its data's age is valid"
    );
    assert_eq!(s.router.valid_until(write, WriteProgress::NotBegun), s.now + ms(2000), "until its expiry");
    s.list(0, ListedState::Draining, None);
    assert_eq!(s.router.valid_until(write, WriteProgress::NotBegun), ms(0), "not after a drain has begun");
    s.end(read, 1, AttemptOutcome::Moot, 0);
    s.router.client_left(s.now, read, &mut s.host);
    assert_eq!(s.router.valid_until(read, WriteProgress::NotBegun), ms(0));
}

/// Guards against completing a submission whose conditions ended after its first byte was written, and against cutting off
/// one that only a drain has overtaken.
#[test]
fn submission_that_was_begun_is_bound_by_all_conditions_but_a_drain() {
    let mut s = Scenario::with_primary();
    let (read, write) = (s.arrive(BOUNDED, 1000), s.arrive(ONCE_ONLY, 2000));
    let expiry = s.now + ms(2000);
    for progress in [WriteProgress::Partial, WriteProgress::HandedOver] {
        assert_eq!(s.router.valid_until(read, progress), s.now + ms(300));
        assert_eq!(s.router.valid_until(write, progress), expiry);
    }
    // The primary steps down: what it has not got whole goes to the next one.
    s.now += ms(10);
    s.report(0, Role::Replica, s.now);
    assert!(s.router.valid_until(write, WriteProgress::Partial).is_zero());
    assert_eq!(
        s.router.valid_until(write, WriteProgress::HandedOver),
        expiry,
        "it refuses what it may not do"
    );
    s.now += ms(10);
    s.report(0, Role::Primary, s.now);
    s.list(0, ListedState::Draining, None);
    assert!(s.router.valid_until(write, WriteProgress::NotBegun).is_zero());
    assert_eq!(
        s.router.valid_until(write, WriteProgress::HandedOver),
        expiry,
        "its first byte came before the drain"
    );
}

#[test]
fn a_fresh_read_that_waits_for_a_connection_is_not_written_to_a_former_primary() {
    let mut s = Scenario::with_primary();
    s.now += ms(50);
    let read = s.arrive(FRESH, 2000);
    assert_eq!(s.sent_to(read), [0]);
    assert_eq!(s.router.valid_until(read, WriteProgress::NotBegun), s.now + ms(2000), "until its expiry");
    // Its connection is still being opened when the member reports that it is no longer primary.
    s.now += ms(10);
    s.report(0, Role::Replica, s.now - ms(30));
    assert!(
        s.router.valid_until(read, WriteProgress::NotBegun).is_zero(),
        "it may lack what was committed before the read came"
    );
    s.end(read, 0, AttemptOutcome::Moot, 20);
    s.now += ms(20);
    s.report(1, Role::Primary, s.now - ms(1));
    assert_eq!(s.sent_to(read), [0, 1]);
}

#[test]
fn the_primary_is_probed_less_often_than_its_replicas() {
    let mut s = Scenario::with_primary();
    let mut probes = [0; 3];
    for _ in 0..4000 {
        s.now += ms(25);
        s.host.0.clear();
        for member in 0..3 {
            s.router.timer_fired(s.now, member as u64 * 2 + 2, &mut s.host);
        }
        for act in std::mem::take(&mut s.host.0) {
            if let Action::Probed(member) = act {
                probes[member] += 1;
                let role = if member == 0 { Role::Primary } else { Role::Replica };
                s.report(member, role, s.now);
            }
        }
    }
    assert!(probes[0] > 0 && probes[0] * 3 < probes[1] && probes[1] == probes[2], "{probes:?}");
}

#[test]
fn without_a_primary_hundreds_of_fronts_do_not_cause_a_probe_storm() {
    let probes = |fronts: usize| {
        let mut s = Scenario::of(FrontInfo { index: 0, fronts, zone: 0 });
        let write = s.arrive(ONCE_ONLY, 9000);
        for _ in 0..40 {
            s.advance(50, write);
            (0..3).for_each(|m| s.report(m, Role::Replica, s.now - ms(1)));
        }
        s.host.0.iter().filter(|act| matches!(act, Action::Probed(_))).count()
    };
    // Over two seconds, at twice the periodic rate: one probe in 75 ms for each of three members.
    assert!(probes(2) >= 50, "{}", probes(2));
    assert!(probes(400) <= 20, "{}", probes(400));
}

#[test]
fn late_answers_of_one_type_do_not_decline_another_type_of_the_group() {
    let mut s = Scenario::with_primary();
    let mut declined = [0, 0];
    for i in 0..600 {
        s.report_all(0);
        // Bounded reads are late, loose reads are not.
        for (kind, took) in [(BOUNDED, 395), (LOOSE, 5)] {
            let txn = s.arrive(kind, 900);
            if let Some(&at) = s.sent_to(txn).first() {
                s.end(txn, at, AttemptOutcome::Committed, took);
            } else if i >= 300 && s.recorded(&Action::Declined(txn)) {
                declined[kind] += 1;
            }
        }
        s.now += ms(120);
    }
    assert!(declined[BOUNDED] > 30, "{declined:?}");
    assert!(declined[LOOSE] * 10 < declined[BOUNDED], "{declined:?}");
}

/// The member to which a txn was sent last, if any.
fn last_sent_to(s: &Scenario, txn: usize) -> Option<usize> {
    s.host
        .0
        .iter()
        .rev()
        .find_map(|act| if let Action::Sent(t, to) = act { (*t == txn).then_some(*to) } else { None })
}

#[test]
fn a_commit_from_before_this_start_constrains_the_reads_of_its_session() {
    // A store recognised the mark, so the commit is older than this process and its time cannot be expressed here.
    for position in [None, Some(ms(900))] {
        let mut s = Scenario::with_primary();
        let write = s.arrive_in_session(7, REFERENCED, 2000);
        s.now += ms(5);
        s.end_with_report(write, 0, AttemptOutcome::Committed, Role::Primary, position);
        let other = s.arrive_in_session(8, SESSION, 2000);
        let to = last_sent_to(&s, other).expect("a submission at once");
        assert_ne!(to, 0, "another session has written nothing");
        s.end_with_report(other, to, AttemptOutcome::Committed, Role::Replica, None);
        // The replicas reported position 1000, which proves a commit at 900 but none of unknown time.
        for _ in 0..20 {
            let read = s.arrive_in_session(7, SESSION, 2000);
            let to = last_sent_to(&s, read).expect("a submission at once");
            assert_eq!(to == 0, position.is_none(), "{position:?}: {to}");
            s.end_with_report(
                read,
                to,
                AttemptOutcome::Committed,
                if to == 0 { Role::Primary } else { Role::Replica },
                None,
            );
        }
    }
}

#[test]
fn a_session_read_during_a_write_of_its_session_must_see_all_that_may_be_committed() {
    let mut s = Scenario::with_primary();
    let write = s.arrive_in_session(7, ONCE_ONLY, 2000);
    assert_eq!(last_sent_to(&s, write), Some(0));
    s.now += ms(20);
    // The write may be committed by now with its answer still on the way, and the replicas reported before that.
    let (read, other) = (s.arrive_in_session(7, SESSION, 2000), s.arrive_in_session(8, SESSION, 2000));
    assert_eq!(last_sent_to(&s, read), Some(0));
    assert_ne!(last_sent_to(&s, other), Some(0), "another session has written nothing");
    s.end_with_report(read, 0, AttemptOutcome::Committed, Role::Primary, None);
    // Its connection is reset. A write that may have run counts as committed then.
    s.now += ms(20);
    s.end(write, 0, AttemptOutcome::Dropped, 40);
    let read = s.arrive_in_session(7, SESSION, 2000);
    assert!(!matches!(last_sent_to(&s, read), Some(1 | 2)), "the replicas have not reported since");
    s.now += ms(5);
    s.report_all(0);
    let read = s.arrive_in_session(7, SESSION, 2000);
    assert!(matches!(last_sent_to(&s, read), Some(1 | 2)), "they have reported since");
}

#[test]
fn a_write_that_never_ran_does_not_constrain_the_reads_of_its_session() {
    let mut s = Scenario::with_primary();
    let write = s.arrive_in_session(7, ONCE_ONLY, 2000);
    s.now += ms(5);
    s.end(write, 0, AttemptOutcome::Full, 5);
    let read = s.arrive_in_session(7, SESSION, 2000);
    assert!(matches!(last_sent_to(&s, read), Some(1 | 2)));
}

#[test]
fn after_session_marks_are_lost_reads_see_all_earlier_writes() {
    let mut s = Scenario::with_primary();
    s.now += ms(5);
    s.router.session_marks_lost(s.now);
    let read = s.arrive_in_session(7, SESSION, 2000);
    assert_eq!(last_sent_to(&s, read), Some(0));
    s.end_with_report(read, 0, AttemptOutcome::Committed, Role::Primary, None);
    s.now += ms(1);
    s.report_all(0);
    let read = s.arrive_in_session(7, SESSION, 2000);
    assert_ne!(last_sent_to(&s, read), Some(0), "a replica that has reported since has all of it");
}

/// A scenario where members may not be probed.
fn without_probes() -> Scenario {
    let mut s = Scenario::new();
    s.router.allow_probes(false);
    s
}

#[test]
fn without_probes_a_write_finds_the_primary_by_trial() {
    let mut s = without_probes();
    let write = s.arrive(ONCE_ONLY, 2000);
    let mut attempted = vec![last_sent_to(&s, write).expect("a first attempt")];
    for _ in 0..2 {
        s.now += ms(1);
        s.end_with_report(
            write,
            attempted[attempted.len() - 1],
            AttemptOutcome::Misplaced,
            Role::Replica,
            None,
        );
        attempted.push(last_sent_to(&s, write).expect("an attempt at the next member"));
    }
    let found = attempted[2];
    attempted.sort_unstable();
    assert_eq!(attempted, [0, 1, 2], "each member once");
    s.end_with_report(write, found, AttemptOutcome::Committed, Role::Primary, None);
    for _ in 0..3 {
        let next = s.arrive(REFERENCED, 2000);
        assert_eq!(last_sent_to(&s, next), Some(found), "the primary is known now");
        s.end_with_report(next, found, AttemptOutcome::Committed, Role::Primary, None);
    }
    let fresh = s.arrive(FRESH, 2000);
    assert_eq!(last_sent_to(&s, fresh), Some(found));
}

#[test]
fn a_write_that_finds_no_primary_waits_before_it_tries_again() {
    let mut s = without_probes();
    let write = s.arrive(ONCE_ONLY, 2000);
    for _ in 0..3 {
        let to = last_sent_to(&s, write).expect("a first attempt");
        s.end_with_report(write, to, AttemptOutcome::Misplaced, Role::Replica, None);
    }
    let attempts = |s: &Scenario| s.host.0.iter().filter(|act| matches!(act, Action::Sent(..))).count();
    assert_eq!(attempts(&s), 3);
    s.advance(249, write);
    assert_eq!(attempts(&s), 3, "all have just reported that they are replicas");
    s.advance(1, write);
    assert_eq!(attempts(&s), 4, "one may have become primary");
    // While there is no primary, fresh and bounded reads are not submitted.
    let (fresh, bounded) = (s.arrive(FRESH, 2000), s.arrive(BOUNDED, 2000));
    assert_eq!((last_sent_to(&s, fresh), last_sent_to(&s, bounded)), (None, None));
}

#[test]
fn a_write_tries_the_listed_primary_first_unless_it_has_failed() {
    for fails in [false, true] {
        let mut s = without_probes();
        s.router.member_listed(s.now, 1, 0, 0, ListedState::Up, true, None);
        s.router.list_completed(s.now, None, &mut s.host);
        if fails {
            let read = s.arrive(LOOSE, 2000);
            let first = last_sent_to(&s, read).expect("any member takes it");
            // This read may go to any member; only a failure of the listed primary counts.
            s.end_with_report(read, first, AttemptOutcome::Committed, Role::Replica, None);
            let write = s.arrive(ONCE_ONLY, 2000);
            assert_eq!(last_sent_to(&s, write), Some(1));
            s.end(write, 1, AttemptOutcome::Unreachable, 5);
            assert!(last_sent_to(&s, write).is_some_and(|to| to != 1), "it is submitted elsewhere");
            s.now += ms(300);
        }
        let write = s.arrive(ONCE_ONLY, 2000);
        assert_eq!(last_sent_to(&s, write) == Some(1), !fails, "{fails}");
    }
}

#[test]
fn with_member_checks_a_fresh_read_searches_by_trial_too() {
    for checks in [false, true] {
        let mut s = without_probes();
        if checks {
            s.router.assume_members_check_reads();
        }
        let fresh = s.arrive(FRESH, 2000);
        assert_eq!(last_sent_to(&s, fresh).is_some(), checks, "otherwise it could be answered from old data");
        for _ in 0..2 {
            let Some(to) = last_sent_to(&s, fresh) else { break };
            s.end_with_report(fresh, to, AttemptOutcome::Misplaced, Role::Replica, None);
        }
        if checks {
            let found = last_sent_to(&s, fresh).expect("an attempt at the last member");
            s.end_with_report(fresh, found, AttemptOutcome::Committed, Role::Primary, None);
            let next = s.arrive(ONCE_ONLY, 2000);
            assert_eq!(last_sent_to(&s, next), Some(found));
        }
    }
}

#[test]
fn with_probes_no_write_searches_by_trial() {
    let mut s = Scenario::new();
    let write = s.arrive(ONCE_ONLY, 2000);
    s.advance(300, write);
    assert_eq!(last_sent_to(&s, write), None);
}

#[test]
fn a_trial_at_a_former_primary_stays_valid_while_none_is_known() {
    let mut s = without_probes();
    s.router.member_listed(s.now, 1, 0, 0, ListedState::Up, true, None);
    s.router.list_completed(s.now, None, &mut s.host);
    let write = s.arrive(ONCE_ONLY, 2000);
    s.end_with_report(write, 1, AttemptOutcome::Committed, Role::Primary, None);
    let write = s.arrive(ONCE_ONLY, 2000);
    s.end_with_report(write, 1, AttemptOutcome::Misplaced, Role::Replica, None);
    for _ in 0..2 {
        let to = last_sent_to(&s, write).expect("an attempt at another member");
        s.end_with_report(write, to, AttemptOutcome::Misplaced, Role::Replica, None);
    }
    s.advance(250, write);
    let (to, now) = (last_sent_to(&s, write).expect("another attempt"), s.now);
    assert!(
        s.router.valid_until(write, WriteProgress::NotBegun) > now,
        "it may be written, even at {to}, the former primary"
    );
}
