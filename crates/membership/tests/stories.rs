//! Short stories of two or a few fronts, each with a guard that it fails without.

use juniperdock_membership::{
    Connectivity, Event, Host, Keys, LONGEST, Liveness, Membership, Refused, Timing, incarnation_at,
};
use std::collections::VecDeque;
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(500);

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

fn front(me: usize, tier: usize, life: u32, version: u8) -> Membership {
    Membership::new(me, tier, life, 7 + me as u64, version, Timing { every: EVERY, suspicion: 3 }, keys("a"))
}

/// A few fronts in one place: whatever one sends comes at once, unless the story cuts it off.
struct Town {
    now: Duration,
    fronts: Vec<Membership>,
    events: Vec<Vec<Event>>,
    /// Ways on which nothing comes.
    cut: Vec<(usize, usize)>,
    /// Fronts that do not run.
    still: Vec<usize>,
    /// Everything that was sent, and by whom to whom.
    sent: Vec<(usize, usize, Vec<u8>)>,
}

impl Town {
    fn of(tier: usize) -> Town {
        Town::speaking(&vec![2; tier])
    }

    fn speaking(versions: &[u8]) -> Town {
        let tier = versions.len();
        Town {
            now: Duration::ZERO,
            fronts: versions.iter().enumerate().map(|(i, &v)| front(i, tier, 1000, v)).collect(),
            events: vec![Vec::new(); tier],
            cut: Vec::new(),
            still: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(5);
            let mut posted = VecDeque::new();
            for i in 0..self.fronts.len() {
                if !self.still.contains(&i) && self.fronts[i].next_timeout() <= self.now {
                    let mut out = Out::default();
                    self.fronts[i].handle_timeout(self.now, &mut out);
                    self.events[i].extend(out.1);
                    posted.extend(out.0.into_iter().map(|(to, bytes)| (i, to, bytes)));
                }
            }
            while let Some((from, to, bytes)) = posted.pop_front() {
                assert!(bytes.len() <= LONGEST);
                self.sent.push((from, to, bytes.clone()));
                if self.cut.contains(&(from, to)) || self.still.contains(&to) {
                    continue;
                }
                let mut out = Out::default();
                let _ = self.fronts[to].handle_datagram(self.now, from, &bytes, &mut out);
                self.events[to].extend(out.1);
                posted.extend(out.0.into_iter().map(|(next, bytes)| (to, next, bytes)));
            }
        }
    }

    fn cut_off(&mut self, one: &[usize]) {
        for a in 0..self.fronts.len() {
            for b in 0..self.fronts.len() {
                if one.contains(&a) != one.contains(&b) {
                    self.cut.push((a, b));
                }
            }
        }
    }

    fn stands(&self, i: usize) -> Connectivity {
        self.fronts[i].connectivity().0
    }

    fn sees(&self, i: usize, other: usize) -> Liveness {
        self.fronts[i].peers()[other].liveness
    }
}

#[test]
fn all_find_each_other_and_one_that_ends_is_found_missing() {
    let mut town = Town::of(5);
    town.pass(ms(3000));
    assert!(
        (0..5)
            .all(|i| town.stands(i) == Connectivity::Majority && town.fronts[i].present() == [0, 1, 2, 3, 4])
    );
    town.still.push(3);
    town.pass(ms(8000));
    for i in [0, 1, 2, 4] {
        assert_eq!((town.sees(i, 3), town.stands(i)), (Liveness::Dead, Connectivity::Majority), "front {i}");
        assert!(town.events[i].contains(&Event::Down(3)));
    }
}

#[test]
fn a_minority_knows_itself_for_one_and_calls_nobody_dead() {
    let mut town = Town::of(5);
    town.pass(ms(3000));
    town.cut_off(&[0, 1]);
    town.pass(ms(8000));
    assert_eq!((town.stands(0), town.stands(1)), (Connectivity::Minority, Connectivity::Minority));
    assert!((2..5).all(|i| town.stands(i) == Connectivity::Majority && town.sees(i, 0) == Liveness::Dead));
    // Whoever is itself cut off has no ground to call others dead, nor a wrong word to spread later.
    assert!((2..5).all(|i| town.sees(0, i) == Liveness::Suspect));
    town.cut.clear();
    town.pass(ms(5000));
    assert!((0..5).all(|i| town.stands(i) == Connectivity::Majority && town.fronts[i].present().len() == 5));
    let wrong = (2..5).flat_map(|i| &town.events[i]).any(|e| matches!(e, Event::Down(2..)));
    assert!(!wrong, "nobody of the majority was taken for dead");
}

#[test]
fn one_alone_says_so_and_half_of_a_tier_is_no_majority() {
    let mut town = Town::of(4);
    town.pass(ms(3000));
    town.cut_off(&[0]);
    town.pass(ms(6000));
    assert_eq!(town.stands(0), Connectivity::Isolated);
    town.cut.clear();
    town.pass(ms(5000));
    town.cut_off(&[0, 1]);
    town.pass(ms(8000));
    assert!((0..4).all(|i| town.stands(i) == Connectivity::Minority), "two of four");
}

#[test]
fn what_goes_lost_one_way_between_two_harms_neither() {
    let mut town = Town::of(5);
    town.cut = vec![(0, 1)];
    town.pass(ms(20_000));
    assert!((0..5).all(|i| town.fronts[i].present().len() == 5 && town.stands(i) == Connectivity::Majority));
    let down = town.events.iter().flatten().any(|e| matches!(e, Event::Down(_)));
    assert!(!down, "others ask for them");
}

#[test]
fn who_stood_still_knows_nothing_for_sure_until_asked_anew() {
    let mut town = Town::of(5);
    town.pass(ms(3000));
    town.still.push(0);
    town.pass(ms(10_000));
    town.still.clear();
    // It runs again; not a single answer has come yet.
    let mut out = Out::default();
    town.fronts[0].handle_timeout(town.now, &mut out);
    assert_eq!(town.stands(0), Connectivity::Isolated, "the old view is no view");
    assert!(out.1.iter().any(|e| matches!(e, Event::Stood(span) if *span > ms(9000))));
    assert!(!out.1.iter().any(|e| matches!(e, Event::Down(_))), "its own silence is held against nobody");
    assert!(!out.0.is_empty(), "it asks at once");
    town.pass(ms(5000));
    assert!((0..5).all(|i| town.stands(i) == Connectivity::Majority && town.fronts[i].present().len() == 5));
    assert!(!(1..5).any(|i| town.events[0].contains(&Event::Down(i))));
}

#[test]
fn a_later_life_takes_over_and_an_earlier_one_gets_nothing() {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    let old: Vec<_> = town.sent.iter().filter(|(from, ..)| *from == 0).cloned().collect();
    town.fronts[0] = front(0, 3, 2000, 2);
    town.pass(ms(4000));
    assert_eq!(town.fronts[1].peers()[0].incarnation, 2000);
    // Datagrams of the earlier life that were under way.
    for (_, to, bytes) in old {
        let taken = town.fronts[to].handle_datagram(town.now, 0, &bytes, &mut Out::default());
        assert!(matches!(taken, Err(Refused::Outlived | Refused::Elsewhere)), "{taken:?}");
    }
    assert_eq!(town.fronts[1].peers()[0].incarnation, 2000);
}

#[test]
fn a_clock_set_back_keeps_nobody_out() {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    let now = town.now;
    town.fronts[0] = front(0, 3, 500, 2);
    town.pass(ms(6000));
    assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority), "at {now:?}");
    assert!(town.fronts[1].peers()[0].incarnation > 1000, "a life above the one that they remember");
}

/// Hours ahead or behind, at 1970, or in the last years that lives can count: it is there all the same, for all.
#[test]
fn a_clock_that_is_far_off_keeps_nobody_out() {
    const NOW: u32 = 500_000_000;
    const HOUR: u32 = 3600 * 1000 / 64;
    for off in [NOW - HOUR, NOW + HOUR, NOW - 24 * HOUR, NOW + 24 * HOUR, 1, incarnation_at(Duration::MAX)] {
        let mut town = Town::of(3);
        town.fronts = (0..3).map(|i| front(i, 3, NOW, 2)).collect();
        town.pass(ms(3000));
        town.fronts[0] = front(0, 3, off, 2);
        town.pass(ms(6000));
        assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority), "life {off}");
        assert!((0..3).all(|i| town.fronts[i].present() == [0, 1, 2]), "life {off}");
        assert!(town.fronts[1].peers()[0].incarnation > NOW, "life {off}");
        // Set right again, it starts anew: whatever it was in before is remembered.
        let before = town.fronts[0].incarnation();
        town.fronts[0] = front(0, 3, NOW + 100, 2);
        town.pass(ms(6000));
        assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority), "after life {off}");
        assert!(town.fronts[1].peers()[0].incarnation > before, "after life {off}");
    }
}

/// Two processes of one place that start behind, one after the other, are told the same life by fronts that do not hear each
/// other: the second is not taken for the first, whose datagrams came already.
#[test]
fn two_processes_that_are_told_the_same_life_are_told_apart() {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    // Front 2 hears nobody, and front 1 hears the first of the two for a while.
    town.cut_off(&[2]);
    town.fronts[0] = front(0, 3, 500, 2);
    town.pass(ms(60_000));
    assert!(town.fronts[1].peers()[0].incarnation > 1000);
    // The second hears front 2 alone.
    town.cut.clear();
    town.cut_off(&[1]);
    town.fronts[0] = front(0, 3, 400, 2);
    town.pass(ms(4000));
    assert!(town.fronts[2].peers()[0].incarnation > 1000);
    town.cut.clear();
    town.pass(ms(6000));
    let replayed = town.fronts[1].refused[Refused::Replayed as usize];
    assert!(replayed == 0 && (0..3).all(|i| town.fronts[i].present() == [0, 1, 2]), "{replayed} replayed");
}

/// All start anew at once under clocks that are apart: nobody remembers anything, and they agree.
#[test]
fn fronts_whose_clocks_are_hours_apart_find_each_other() {
    let mut town = Town::of(5);
    let lives = [1, 500_000_000, 499_943_750, 500_056_250, 2_000_000_000];
    town.fronts = lives.iter().enumerate().map(|(i, &life)| front(i, 5, life, 2)).collect();
    town.pass(ms(6000));
    assert!(
        (0..5)
            .all(|i| town.stands(i) == Connectivity::Majority && town.fronts[i].present() == [0, 1, 2, 3, 4])
    );
}

/// A datagram that front 1 of 3 has just taken from front 0, and the two.
fn taken() -> (Town, Vec<u8>) {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    let (_, _, bytes) = town.sent.iter().rev().find(|(f, t, _)| (*f, *t) == (0, 1)).expect("one").clone();
    (town, bytes)
}

#[test]
fn a_replay_a_bend_a_forgery_and_what_is_for_others_are_refused() {
    let (mut town, bytes) = taken();
    let now = town.now;
    let hear = |town: &mut Town, at: usize, from: usize, bytes: &[u8]| {
        town.fronts[at].handle_datagram(now, from, bytes, &mut Out::default())
    };
    assert_eq!(hear(&mut town, 1, 0, &bytes), Err(Refused::Replayed));
    assert_eq!(hear(&mut town, 2, 0, &bytes), Err(Refused::Elsewhere));
    assert_eq!(hear(&mut town, 1, 2, &bytes), Err(Refused::Stranger), "from the address of another");
    for at in 0..bytes.len() {
        let mut bent = bytes.clone();
        bent[at] ^= 1;
        assert_eq!(hear(&mut town, 1, 0, &bent), Err(Refused::Forged), "byte {at}");
    }
    for length in 0..bytes.len() {
        let cut = hear(&mut town, 1, 0, &bytes[..length]);
        assert!(matches!(cut, Err(Refused::Forged | Refused::Malformed)), "{length} bytes: {cut:?}");
    }
    let long = [&bytes[..], &[0; 300]].concat();
    assert_eq!(hear(&mut town, 1, 0, &long), Err(Refused::Malformed));
    // Another tier's fronts, a life of the far future, and one without the key.
    let from = |mut stranger: Membership| {
        let mut out = Out::default();
        stranger.handle_timeout(ms(400), &mut out);
        out.0.into_iter().find(|(to, _)| *to == 1).map(|(_, bytes)| bytes)
    };
    let of = |tier, life, digits| {
        (0..50).find_map(|seed| {
            let times = Timing { every: EVERY, suspicion: 3 };
            from(Membership::new(0, tier, life, seed, 2, times, keys(digits)))
        })
    };
    let hello = |tier, life, digits| of(tier, life, digits).expect("a hello to front 1");
    assert_eq!(hear(&mut town, 1, 0, &hello(4, 3000, "a")), Err(Refused::Tier));
    assert_eq!(hear(&mut town, 1, 0, &hello(3, 3000, "b")), Err(Refused::Forged));
    assert_eq!(hear(&mut town, 1, 0, &hello(3, u32::MAX, "a")), Err(Refused::Future));
    assert_eq!(hear(&mut town, 1, 0, &hello(3, 3000, "a")), Ok(()));
    assert_eq!(town.fronts[1].refused.iter().sum::<u64>() as usize, 6 + 2 * bytes.len());
}

#[test]
fn keys_are_replaced_while_all_speak() {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    for (i, digits) in [(0, "ab"), (1, "ab"), (2, "ab"), (0, "ba"), (1, "ba"), (2, "ba"), (0, "b"), (1, "b")]
    {
        town.fronts[i].rekey(keys(digits));
        town.pass(ms(1500));
        assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority), "{digits} at front {i}");
    }
    let forged = |town: &Town| town.fronts.iter().map(|f| f.refused[Refused::Forged as usize]).sum::<u64>();
    assert_eq!(forged(&town), 0);
    // One that was left behind with the old key alone is alone.
    town.fronts[2].rekey(keys("a"));
    town.pass(ms(8000));
    assert!(
        forged(&town) > 0
            && town.stands(2) == Connectivity::Isolated
            && town.stands(0) == Connectivity::Majority
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
fn neighbouring_versions_understand_each_other_and_others_are_refused() {
    let mut town = Town::speaking(&[1, 2, 1]);
    town.pass(ms(4000));
    assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority));
    assert_eq!(town.fronts[1].peers()[0].says, None, "version 1 says nothing of itself");
    let mut town = Town::speaking(&[2, 3, 2]);
    town.pass(ms(4000));
    assert!((0..3).all(|i| town.stands(i) == Connectivity::Majority));
    assert_eq!(town.fronts[0].peers()[2].says, Some(Connectivity::Majority));
    let mut town = Town::speaking(&[1, 1, 3]);
    town.pass(ms(6000));
    assert_eq!((town.stands(0), town.stands(2)), (Connectivity::Majority, Connectivity::Isolated));
    assert!(town.fronts[0].refused[Refused::Version as usize] > 0);
}

#[test]
fn who_leaves_is_gone_at_once_and_sends_nothing_more() {
    let mut town = Town::of(3);
    town.pass(ms(3000));
    let mut out = Out::default();
    town.fronts[0].leave(town.now, &mut out);
    for (to, bytes) in out.0 {
        let _ = town.fronts[to].handle_datagram(town.now, 0, &bytes, &mut Out::default());
    }
    town.pass(ms(600));
    assert_eq!((town.sees(1, 0), town.sees(2, 0)), (Liveness::Dead, Liveness::Dead));
    let before = town.sent.iter().filter(|(from, ..)| *from == 0).count();
    town.pass(ms(5000));
    assert_eq!(town.sent.iter().filter(|(from, ..)| *from == 0).count(), before);
}

#[test]
fn a_flood_with_the_right_key_is_bounded() {
    let (mut town, _) = taken();
    let mut liar = Membership::new(0, 3, 4000, 5, 2, Timing { every: EVERY, suspicion: 3 }, keys("a"));
    let (mut taken, mut refused) = (0, 0);
    for step in 0..20_000u64 {
        // It lets time fly, to have much to say.
        let mut out = Out::default();
        liar.handle_timeout(EVERY * step as u32, &mut out);
        for (_, bytes) in out.0.into_iter().filter(|(to, _)| *to == 1) {
            match town.fronts[1].handle_datagram(town.now, 0, &bytes, &mut Out::default()) {
                Ok(()) => taken += 1,
                Err(Refused::TooMany) => refused += 1,
                Err(_) => {}
            }
        }
    }
    assert!(taken <= 200 && refused > 1000, "{taken} taken, {refused} refused");
}
