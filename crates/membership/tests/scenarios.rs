//! Scenarios of two or a few fronts; each fails without the guard that it tests.

use juniperdock_membership::{
    Connectivity, Event, Host, Keys, Liveness, MAX_DATAGRAM_BYTES, Membership, Refused, Timing,
    incarnation_at,
};
use std::collections::VecDeque;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn key(digit: char) -> String {
    digit.to_string().repeat(64)
}

fn keys(digits: &str) -> Keys {
    Keys::parse(&digits.chars().map(key).collect::<Vec<_>>()).expect("good keys")
}

#[derive(Default)]
struct Out(Vec<(usize, Vec<u8>)>, Vec<Event>);

impl Host for Out {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        self.0.push((to, datagram.to_vec()));
    }
    fn event(&mut self, event: Event) {
        self.1.push(event);
    }
}

fn front(me: usize, cluster_size: usize, incarnation: u32, version: u8) -> Membership {
    Membership::new(
        me,
        cluster_size,
        incarnation,
        7 + me as u64,
        version,
        Timing { period: PERIOD, suspicion_periods: 3 },
        keys("a"),
    )
}

/// A few fronts in one process: datagrams arrive at once, unless the scenario cuts the link.
struct TestCluster {
    now: Duration,
    fronts: Vec<Membership>,
    events: Vec<Vec<Event>>,
    /// Links on which datagrams are lost.
    cut_links: Vec<(usize, usize)>,
    /// Fronts that do not run.
    stopped: Vec<usize>,
    /// Every datagram sent, with sender and receiver.
    sent: Vec<(usize, usize, Vec<u8>)>,
}

impl TestCluster {
    fn with_size(cluster_size: usize) -> TestCluster {
        TestCluster::with_versions(&vec![2; cluster_size])
    }

    fn with_versions(versions: &[u8]) -> TestCluster {
        let cluster_size = versions.len();
        TestCluster {
            now: Duration::ZERO,
            fronts: versions.iter().enumerate().map(|(i, &v)| front(i, cluster_size, 1000, v)).collect(),
            events: vec![Vec::new(); cluster_size],
            cut_links: Vec::new(),
            stopped: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(5);
            let mut queue = VecDeque::new();
            for i in 0..self.fronts.len() {
                if !self.stopped.contains(&i) && self.fronts[i].next_timeout() <= self.now {
                    let mut out = Out::default();
                    self.fronts[i].handle_timeout(self.now, &mut out);
                    self.events[i].extend(out.1);
                    queue.extend(out.0.into_iter().map(|(to, bytes)| (i, to, bytes)));
                }
            }
            while let Some((from, to, bytes)) = queue.pop_front() {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                self.sent.push((from, to, bytes.clone()));
                if self.cut_links.contains(&(from, to)) || self.stopped.contains(&to) {
                    continue;
                }
                let mut out = Out::default();
                let _ = self.fronts[to].handle_datagram(self.now, from, &bytes, &mut out);
                self.events[to].extend(out.1);
                queue.extend(out.0.into_iter().map(|(next, bytes)| (to, next, bytes)));
            }
        }
    }

    fn partition(&mut self, one: &[usize]) {
        for a in 0..self.fronts.len() {
            for b in 0..self.fronts.len() {
                if one.contains(&a) != one.contains(&b) {
                    self.cut_links.push((a, b));
                }
            }
        }
    }

    fn connectivity(&self, i: usize) -> Connectivity {
        self.fronts[i].connectivity().0
    }

    fn sees(&self, i: usize, other: usize) -> Liveness {
        self.fronts[i].peers()[other].liveness
    }
}

#[test]
fn all_fronts_find_each_other_and_a_stopped_one_is_declared_dead() {
    let mut cluster = TestCluster::with_size(5);
    cluster.run(ms(3000));
    assert!((0..5).all(|i| cluster.connectivity(i) == Connectivity::Majority
        && cluster.fronts[i].present() == [0, 1, 2, 3, 4]));
    cluster.stopped.push(3);
    cluster.run(ms(8000));
    for i in [0, 1, 2, 4] {
        assert_eq!(
            (cluster.sees(i, 3), cluster.connectivity(i)),
            (Liveness::Dead, Connectivity::Majority),
            "front {i}"
        );
        assert!(cluster.events[i].contains(&Event::Down(3)));
    }
}

#[test]
fn a_minority_reports_itself_and_declares_nobody_dead() {
    let mut cluster = TestCluster::with_size(5);
    cluster.run(ms(3000));
    cluster.partition(&[0, 1]);
    cluster.run(ms(8000));
    assert_eq!(
        (cluster.connectivity(0), cluster.connectivity(1)),
        (Connectivity::Minority, Connectivity::Minority)
    );
    assert!(
        (2..5).all(
            |i| cluster.connectivity(i) == Connectivity::Majority && cluster.sees(i, 0) == Liveness::Dead
        )
    );
    // A front that is cut off must not declare others dead, nor spread a false death later.
    assert!((2..5).all(|i| cluster.sees(0, i) == Liveness::Suspect));
    cluster.cut_links.clear();
    cluster.run(ms(5000));
    assert!(
        (0..5)
            .all(|i| cluster.connectivity(i) == Connectivity::Majority
                && cluster.fronts[i].present().len() == 5)
    );
    let wrong = (2..5).flat_map(|i| &cluster.events[i]).any(|e| matches!(e, Event::Down(2..)));
    assert!(!wrong, "a front of the majority was declared dead");
}

#[test]
fn a_single_front_is_isolated_and_half_of_a_cluster_is_a_minority() {
    let mut cluster = TestCluster::with_size(4);
    cluster.run(ms(3000));
    cluster.partition(&[0]);
    cluster.run(ms(6000));
    assert_eq!(cluster.connectivity(0), Connectivity::Isolated);
    cluster.cut_links.clear();
    cluster.run(ms(5000));
    cluster.partition(&[0, 1]);
    cluster.run(ms(8000));
    assert!((0..4).all(|i| cluster.connectivity(i) == Connectivity::Minority), "two of four");
}

#[test]
fn one_way_loss_between_two_fronts_harms_neither() {
    let mut cluster = TestCluster::with_size(5);
    cluster.cut_links = vec![(0, 1)];
    cluster.run(ms(20_000));
    assert!(
        (0..5)
            .all(|i| cluster.fronts[i].present().len() == 5
                && cluster.connectivity(i) == Connectivity::Majority)
    );
    let down = cluster.events.iter().flatten().any(|e| matches!(e, Event::Down(_)));
    assert!(!down, "indirect probes reach both");
}

#[test]
fn a_stalled_front_is_isolated_until_new_hellos_are_answered() {
    let mut cluster = TestCluster::with_size(5);
    cluster.run(ms(3000));
    cluster.stopped.push(0);
    cluster.run(ms(10_000));
    cluster.stopped.clear();
    // It runs again, and no answer has come yet.
    let mut out = Out::default();
    cluster.fronts[0].handle_timeout(cluster.now, &mut out);
    assert_eq!(
        cluster.connectivity(0),
        Connectivity::Isolated,
        "the view from before the stall does not count"
    );
    assert!(out.1.iter().any(|e| matches!(e, Event::Stalled(span) if *span > ms(9000))));
    assert!(!out.1.iter().any(|e| matches!(e, Event::Down(_))), "its own stall makes nobody dead");
    assert!(!out.0.is_empty(), "it sends hellos at once");
    cluster.run(ms(5000));
    assert!(
        (0..5)
            .all(|i| cluster.connectivity(i) == Connectivity::Majority
                && cluster.fronts[i].present().len() == 5)
    );
    assert!(!(1..5).any(|i| cluster.events[0].contains(&Event::Down(i))));
}

#[test]
fn a_later_incarnation_takes_over_and_datagrams_of_earlier_ones_are_refused() {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    let old: Vec<_> = cluster.sent.iter().filter(|(from, ..)| *from == 0).cloned().collect();
    cluster.fronts[0] = front(0, 3, 2000, 2);
    cluster.run(ms(4000));
    assert_eq!(cluster.fronts[1].peers()[0].incarnation, 2000);
    // Datagrams of the earlier incarnation that were in flight.
    for (_, to, bytes) in old {
        let taken = cluster.fronts[to].handle_datagram(cluster.now, 0, &bytes, &mut Out::default());
        assert!(matches!(taken, Err(Refused::OldIncarnation | Refused::WrongRecipient)), "{taken:?}");
    }
    assert_eq!(cluster.fronts[1].peers()[0].incarnation, 2000);
}

#[test]
fn a_front_whose_clock_was_set_back_rejoins() {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    let now = cluster.now;
    cluster.fronts[0] = front(0, 3, 500, 2);
    cluster.run(ms(6000));
    assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority), "at {now:?}");
    assert!(cluster.fronts[1].peers()[0].incarnation > 1000, "above the remembered incarnation");
}

/// Clocks hours ahead or behind, at 1970, or past the last countable incarnation: the front joins all the same.
#[test]
fn a_front_whose_clock_is_far_off_joins() {
    const NOW: u32 = 500_000_000;
    const HOUR: u32 = 3600 * 1000 / 64;
    for off in [NOW - HOUR, NOW + HOUR, NOW - 24 * HOUR, NOW + 24 * HOUR, 1, incarnation_at(Duration::MAX)] {
        let mut cluster = TestCluster::with_size(3);
        cluster.fronts = (0..3).map(|i| front(i, 3, NOW, 2)).collect();
        cluster.run(ms(3000));
        cluster.fronts[0] = front(0, 3, off, 2);
        cluster.run(ms(6000));
        assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority), "incarnation {off}");
        assert!((0..3).all(|i| cluster.fronts[i].present() == [0, 1, 2]), "incarnation {off}");
        assert!(cluster.fronts[1].peers()[0].incarnation > NOW, "incarnation {off}");
        // With its clock set right it starts again; the others remember its last incarnation.
        let before = cluster.fronts[0].incarnation();
        cluster.fronts[0] = front(0, 3, NOW + 100, 2);
        cluster.run(ms(6000));
        assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority), "after incarnation {off}");
        assert!(cluster.fronts[1].peers()[0].incarnation > before, "after incarnation {off}");
    }
}

/// Two processes of one place start one after the other under clocks that are behind, and learn the same incarnation
/// from fronts that do not hear each other. The second must not be taken for the first, whose numbers were used.
#[test]
fn two_processes_that_learn_the_same_incarnation_are_distinguished() {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    // Front 2 hears nobody, and front 1 hears the first process for a while.
    cluster.partition(&[2]);
    cluster.fronts[0] = front(0, 3, 500, 2);
    cluster.run(ms(60_000));
    assert!(cluster.fronts[1].peers()[0].incarnation > 1000);
    // The second process hears front 2 only.
    cluster.cut_links.clear();
    cluster.partition(&[1]);
    cluster.fronts[0] = front(0, 3, 400, 2);
    cluster.run(ms(4000));
    assert!(cluster.fronts[2].peers()[0].incarnation > 1000);
    cluster.cut_links.clear();
    cluster.run(ms(6000));
    let replayed = cluster.fronts[1].refused[Refused::Replayed as usize];
    assert!(replayed == 0 && (0..3).all(|i| cluster.fronts[i].present() == [0, 1, 2]), "{replayed} replayed");
}

/// All fronts start at once under clocks that are hours apart, with nothing remembered, and they agree.
#[test]
fn fronts_whose_clocks_are_hours_apart_find_each_other() {
    let mut cluster = TestCluster::with_size(5);
    let incarnations = [1, 500_000_000, 499_943_750, 500_056_250, 2_000_000_000];
    cluster.fronts =
        incarnations.iter().enumerate().map(|(i, &incarnation)| front(i, 5, incarnation, 2)).collect();
    cluster.run(ms(6000));
    assert!((0..5).all(|i| cluster.connectivity(i) == Connectivity::Majority
        && cluster.fronts[i].present() == [0, 1, 2, 3, 4]));
}

/// A cluster of three, and a datagram that front 1 has just accepted from front 0.
fn accepted_datagram() -> (TestCluster, Vec<u8>) {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    let (_, _, bytes) = cluster.sent.iter().rev().find(|(f, t, _)| (*f, *t) == (0, 1)).expect("one").clone();
    (cluster, bytes)
}

#[test]
fn replayed_altered_forged_and_misdirected_datagrams_are_refused() {
    let (mut cluster, bytes) = accepted_datagram();
    let now = cluster.now;
    let deliver = |cluster: &mut TestCluster, at: usize, from: usize, bytes: &[u8]| {
        cluster.fronts[at].handle_datagram(now, from, bytes, &mut Out::default())
    };
    assert_eq!(deliver(&mut cluster, 1, 0, &bytes), Err(Refused::Replayed));
    assert_eq!(deliver(&mut cluster, 2, 0, &bytes), Err(Refused::WrongRecipient));
    assert_eq!(deliver(&mut cluster, 1, 2, &bytes), Err(Refused::WrongSender), "from the address of another");
    for at in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[at] ^= 1;
        assert_eq!(deliver(&mut cluster, 1, 0, &altered), Err(Refused::Forged), "byte {at}");
    }
    for length in 0..bytes.len() {
        let truncated = deliver(&mut cluster, 1, 0, &bytes[..length]);
        assert!(
            matches!(truncated, Err(Refused::Forged | Refused::Malformed)),
            "{length} bytes: {truncated:?}"
        );
    }
    let long = [&bytes[..], &[0; 300]].concat();
    assert_eq!(deliver(&mut cluster, 1, 0, &long), Err(Refused::Malformed));
    // A front of another cluster size, an incarnation of the far future, and one without the key.
    let from = |mut stranger: Membership| {
        let mut out = Out::default();
        stranger.handle_timeout(ms(400), &mut out);
        out.0.into_iter().find(|(to, _)| *to == 1).map(|(_, bytes)| bytes)
    };
    let of = |cluster_size, incarnation, digits| {
        (0..50).find_map(|seed| {
            let times = Timing { period: PERIOD, suspicion_periods: 3 };
            from(Membership::new(0, cluster_size, incarnation, seed, 2, times, keys(digits)))
        })
    };
    let hello = |cluster_size, incarnation, digits| {
        of(cluster_size, incarnation, digits).expect("a hello to front 1")
    };
    assert_eq!(deliver(&mut cluster, 1, 0, &hello(4, 3000, "a")), Err(Refused::ClusterSize));
    assert_eq!(deliver(&mut cluster, 1, 0, &hello(3, 3000, "b")), Err(Refused::Forged));
    assert_eq!(deliver(&mut cluster, 1, 0, &hello(3, u32::MAX, "a")), Err(Refused::FutureIncarnation));
    assert_eq!(deliver(&mut cluster, 1, 0, &hello(3, 3000, "a")), Ok(()));
    assert_eq!(cluster.fronts[1].refused.iter().sum::<u64>() as usize, 6 + 2 * bytes.len());
}

#[test]
fn keys_are_rotated_while_all_fronts_communicate() {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    for (i, digits) in [(0, "ab"), (1, "ab"), (2, "ab"), (0, "ba"), (1, "ba"), (2, "ba"), (0, "b"), (1, "b")]
    {
        cluster.fronts[i].set_keys(keys(digits));
        cluster.run(ms(1500));
        assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority), "{digits} at front {i}");
    }
    let forged = |cluster: &TestCluster| {
        cluster.fronts.iter().map(|f| f.refused[Refused::Forged as usize]).sum::<u64>()
    };
    assert_eq!(forged(&cluster), 0);
    // A front left with the old key only is isolated.
    cluster.fronts[2].set_keys(keys("a"));
    cluster.run(ms(8000));
    assert!(
        forged(&cluster) > 0
            && cluster.connectivity(2) == Connectivity::Isolated
            && cluster.connectivity(0) == Connectivity::Majority
    );
    for (wrong, says) in [("", "one key or two"), ("abc", "one key or two")] {
        let texts: Vec<String> = wrong.chars().map(key).collect();
        assert!(Keys::parse(&texts).is_err_and(|why| why.contains(says)));
    }
    for (wrong, says) in [("abc".to_owned(), "found 3 characters"), (key('x'), "others at place 0")] {
        assert!(Keys::parse(&[wrong]).is_err_and(|why| why.contains(says)));
    }
}

#[test]
fn neighbouring_versions_interoperate_and_others_are_refused() {
    let mut cluster = TestCluster::with_versions(&[1, 2, 1]);
    cluster.run(ms(4000));
    assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority));
    assert_eq!(cluster.fronts[1].peers()[0].reported, None, "version 1 does not report its connectivity");
    let mut cluster = TestCluster::with_versions(&[2, 3, 2]);
    cluster.run(ms(4000));
    assert!((0..3).all(|i| cluster.connectivity(i) == Connectivity::Majority));
    assert_eq!(cluster.fronts[0].peers()[2].reported, Some(Connectivity::Majority));
    let mut cluster = TestCluster::with_versions(&[1, 1, 3]);
    cluster.run(ms(6000));
    assert_eq!(
        (cluster.connectivity(0), cluster.connectivity(2)),
        (Connectivity::Majority, Connectivity::Isolated)
    );
    assert!(cluster.fronts[0].refused[Refused::Version as usize] > 0);
}

#[test]
fn a_front_that_leaves_is_dead_at_once_and_sends_nothing_more() {
    let mut cluster = TestCluster::with_size(3);
    cluster.run(ms(3000));
    let mut out = Out::default();
    cluster.fronts[0].leave(cluster.now, &mut out);
    for (to, bytes) in out.0 {
        let _ = cluster.fronts[to].handle_datagram(cluster.now, 0, &bytes, &mut Out::default());
    }
    cluster.run(ms(600));
    assert_eq!((cluster.sees(1, 0), cluster.sees(2, 0)), (Liveness::Dead, Liveness::Dead));
    let before = cluster.sent.iter().filter(|(from, ..)| *from == 0).count();
    cluster.run(ms(5000));
    assert_eq!(cluster.sent.iter().filter(|(from, ..)| *from == 0).count(), before);
}

#[test]
fn a_flood_with_a_valid_key_is_rate_limited() {
    let (mut cluster, _) = accepted_datagram();
    let mut flooder =
        Membership::new(0, 3, 4000, 5, 2, Timing { period: PERIOD, suspicion_periods: 3 }, keys("a"));
    let (mut taken, mut refused) = (0, 0);
    for step in 0..20_000u64 {
        // Time runs fast at the sender, so that it has much to send.

        let mut out = Out::default();
        flooder.handle_timeout(PERIOD * step as u32, &mut out);
        for (_, bytes) in out.0.into_iter().filter(|(to, _)| *to == 1) {
            match cluster.fronts[1].handle_datagram(cluster.now, 0, &bytes, &mut Out::default()) {
                Ok(()) => taken += 1,
                Err(Refused::RateLimited) => refused += 1,
                Err(_) => {}
            }
        }
    }
    assert!(taken <= 200 && refused > 1000, "{taken} taken, {refused} refused");
}
