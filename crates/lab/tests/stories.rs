//! The laboratory keeps its word: same seed, same day; auditors that find; faults told with their line.

use juniperdock_lab::circle::{self, Circle, Ill, Plight};
use juniperdock_lab::experiment::{Interval, Side, compare, with};
use juniperdock_lab::fronts::{Broken, Policy};
use juniperdock_lab::scenario::{SHELF, find, read};
use juniperdock_lab::simulate::simulate;
use juniperdock_lab::{offices, prove, report};
use std::time::Duration;

#[test]
fn the_same_seed_plays_the_same_day_on_any_number_of_threads() {
    let scenario = find("everything").expect("it is on the shelf");
    let play = |seed| simulate(&scenario, seed, Policy::Router, None, false).trace;
    let here = play(5);
    let threads: Vec<_> = (0..3)
        .map(|_| {
            std::thread::spawn({
                let scenario = scenario.clone();
                move || simulate(&scenario, 5, Policy::Router, None, false).trace
            })
        })
        .collect();
    assert!(threads.into_iter().all(|thread| thread.join().expect("no panic") == here));
    assert_ne!(here, play(6));
    // Looking at it does not change it.
    assert_eq!(simulate(&scenario, 5, Policy::Router, None, true).trace, here);
}

#[test]
fn every_auditor_finds_its_rule_broken_and_a_sound_router_keeps_all() {
    for rule in 0..Broken::ALL.len() {
        prove::auditor(rule, 2).unwrap_or_else(|why| panic!("rule {}: {why}", rule + 1));
    }
}

#[test]
fn the_router_keeps_all_rules_on_the_whole_shelf() {
    for (name, _) in SHELF {
        let scenario = find(name).unwrap_or_else(|why| panic!("{why}"));
        let outcome = simulate(&scenario, 11, Policy::Router, None, false);
        assert!(
            outcome.misses(&scenario).is_empty(),
            "{name}: {:?} {:?}",
            outcome.misses(&scenario),
            outcome.broken
        );
        assert!(
            outcome.wishes > 1000 && outcome.tries >= outcome.wishes,
            "{name}: {} wishes",
            outcome.wishes
        );
    }
}

#[test]
fn many_fronts_do_not_push_over_what_comes_back_before_the_list_says_so() {
    let scenario = find("half-gone-and-cold").expect("it is on the shelf");
    for seed in [3, 6] {
        let outcome = simulate(&scenario, seed, Policy::Router, None, false);
        assert!(outcome.rules_kept(), "seed {seed}: {:?}", outcome.broken);
        // Whoever is not answered in time is answered within the grace: rule 1 was looked at, too.
        assert!(outcome.unanswered <= outcome.in_grace, "{} {}", outcome.unanswered, outcome.in_grace);
    }
}

#[test]
fn fronts_that_know_each_other_at_size_find_the_dead_and_no_others() {
    let ill = |what, share| Ill { at_s: 10.0, lasts_s: 12.0, what, share };
    let day = |ills| Circle { fronts: 60, lasts_s: 30.0, ills, ..Circle::default() };
    let killed = circle::play(&day(vec![ill(Plight::Killed, 0.33)]), 5);
    assert!(killed.detected > 700 && killed.false_suspicions == 0, "{killed:?}");
    assert!(
        killed.settle_s.is_some() && killed.standing == [0, 0, 60] && killed.longest <= 256,
        "{killed:?}"
    );
    // A minority of a cut, one that is not heard, and loss make nobody take the living for dead.
    for (what, share) in
        [(Plight::Cut, 0.3), (Plight::Unheard, 0.1), (Plight::Lost, 0.2), (Plight::Slow, 0.3)]
    {
        let seen = circle::play(&day(vec![ill(what, share)]), 5);
        assert!(seen.false_suspicions <= 6 && seen.settle_s.is_some(), "{what:?}: {seen:?}");
    }
    let two = [3, 3].map(|seed| circle::play(&day(vec![ill(Plight::Lost, 0.3)]), seed).datagrams);
    assert_eq!(two[0], two[1], "the same seed plays the same");
}

#[test]
fn that_the_fronts_know_each_other_changes_nothing_for_clients() {
    let scenario = find("zone-cut").expect("it is on the shelf");
    let [off, on] = ["false", "true"].map(|fellows| {
        let scenario = with(&scenario, "fleet.fronts", "40").and_then(|s| with(&s, "fleet.fellows", fellows));
        simulate(&scenario.expect("good fields"), 4, Policy::Router, None, false)
    });
    assert_eq!((off.served, off.tries), (on.served, on.tries));
    let fellows = on.fellows.expect("they are on");
    assert!(fellows.whole == 40 && fellows.datagrams > 1000 && off.fellows.is_none(), "{fellows:?}");
}

#[test]
fn baselines_that_know_the_truth_answer_too_and_differ() {
    let scenario = find("gray-failure").expect("it is on the shelf");
    let p99 = |policy| simulate(&scenario, 3, policy, None, false).p99_ms;
    assert!(p99(Policy::SeesAll) < p99(Policy::Random), "what sees the slow member avoids it");
    for (_, policy) in Policy::ALL {
        assert!(simulate(&scenario, 3, policy, None, false).served > 0.5, "{policy:?}");
    }
}

#[test]
fn the_impossible_is_refused_with_line_and_field() {
    let faults = |text: &str| read(text).expect_err(text).iter().map(ToString::to_string).collect::<Vec<_>>();
    for (text, says) in [
        (
            "{ lasts_s: 5,\n troubles: [\n  { at_s: 1, lasts_s: 1, what: 'list_silent' },\n  { at_s: 4, lasts_s: 3, what: 'surge', by: 2 },\n ] }",
            "line 4, troubles[1].at_s: it ends 2 s after the end",
        ),
        (
            "{ fleet: { groups: 2 },\n troubles: [{ at_s: 1, lasts_s: 1,\n  what: 'killed', of: 'primary', number: 2 }] }",
            "line 3, troubles[0].number: expected one of 2 groups, counted from 0, found 2",
        ),
        ("{ load: { per_secnd: 4 } }", "did you mean per_second?"),
        ("{ troubles: [{ at_s: 1, lasts_s: 1, what: 'slow', of: 'all' }] }", "expected by"),
        ("{ troubles: [{ at_s: 1, lasts_s: 1, what: 'killed' }] }", "expected of"),
        (
            "{ load: { kinds: [{ name: 'a', reads: 'write', runs: 'once_only' }, { name: 'a' }] } }",
            "\"a\" is there twice",
        ),
        ("{ load: { patience: [1, 0.5] } }", "a least and a most"),
        ("{ fleet: { zones: 0 } }", "fleet.zones"),
    ] {
        let told = faults(text);
        assert!(told.iter().any(|fault| fault.contains(says)), "{text}: {told:?}");
    }
    let calm = find("calm").expect("it is on the shelf");
    assert_eq!(with(&calm, "load.per_second", "75").expect("a field").load.per_second, 75.0);
    assert!(with(&calm, "load.speed", "75").is_err_and(|why| why.contains("no such field")));
    assert!(find("no-such").is_err_and(|why| why.contains("scenarios")));
}

#[test]
fn a_verdict_comes_only_where_the_interval_says_so() {
    assert!(!Interval::of(&[0.1, -0.1, 0.05, -0.06], 1).tells());
    assert!(Interval::of(&[0.1, 0.11, 0.09, 0.12], 1).tells());
    let scenario = [find("slow-dependency").expect("it is on the shelf")];
    let (router, random) = (Side::Here(Policy::Router), Side::Here(Policy::Random));
    let same = compare(&router, &router, &scenario, &[1, 2, 3], true).expect("played");
    assert_eq!((same[0].difference.mean, same[0].verdict.as_str()), (0.0, "no difference seen"));
    let other = compare(&random, &router, &scenario, &[1, 2, 3], true).expect("played");
    assert_eq!(other[0].verdict, "B is better", "{other:?}");
}

#[test]
fn a_report_is_one_page_that_escapes_what_it_shows() {
    let mut scenario = find("primary-killed").expect("it is on the shelf");
    scenario.title = "<b>&amp; a very long title that goes on".to_owned();
    let runs = [Policy::Router, Policy::SeesAll].map(|policy| simulate(&scenario, 1, policy, None, true));
    let page = report::of_runs(&scenario, &[&runs[0], &runs[1]]).expect("a page");
    assert!(page.contains("&lt;b&gt;&amp;amp;") && !page.contains("<b>&amp"));
    assert!(
        page.matches("<svg").count() == 6
            && page.contains("Simulated figures")
            && !page.contains("http://www.example")
    );
}

#[test]
fn the_load_tool_says_that_a_front_does_not_answer_and_ends() {
    let load =
        juniperdock_lab::scenario::Load { per_second: 100.0, ..find("calm").expect("on the shelf").load };
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let gone = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    let (at, nowhere) = (silent.local_addr().expect("an address"), gone.local_addr().expect("an address"));
    drop(gone);
    for at in [at, nowhere] {
        let begun = std::time::Instant::now();
        let seen = juniperdock_lab::load::load(at, &load, &[0], Duration::from_secs(2), 4, 1, &|_| {});
        assert!(seen.stopped.as_deref() == Some("the front does not answer"), "{seen:?}");
        assert!(
            seen.committed == 0 && seen.due > 100 && begun.elapsed() < Duration::from_secs(25),
            "{seen:?}"
        );
    }
}

/// Seeds 1661 and 4008 once had two owners at once: a claim that was given back and made anew counted its rounds from
/// one again, and a late grant of the first counted for the second, from too late a time.
#[test]
fn owners_are_one_at_a_time_whatever_the_seed() {
    let shape =
        offices::Shape { fronts: 7, lasts: std::time::Duration::from_secs(40), drift: 1.0, unfenced: false };
    for seed in [1661, 4008] {
        let seen = offices::play(seed, shape);
        assert!(seen.broken.is_empty(), "{seen}");
    }
    let seen = offices::all(1, 60, shape);
    assert!(seen.holds(), "{seen}");
    // Beyond the bound two may hold at once; what an older term does comes to nothing all the same.
    let far = offices::all(1, 60, offices::Shape { drift: 30.0, ..shape });
    assert!(far.two_at_once > 0 && far.stale_applied == 0, "{far}");
    let open = offices::all(1, 5, offices::Shape { unfenced: true, ..shape });
    assert!(open.stale_applied > 0, "nothing came late: {open}");
}

#[test]
fn two_plays_at_once_do_not_write_the_same_history() {
    let path = std::env::temp_dir().join(format!("jd-history-{}.jsonl", std::process::id()));
    let first = juniperdock_lab::fleet::history::History::create(&path).expect("a file");
    assert!(
        juniperdock_lab::fleet::history::History::create(&path)
            .is_err_and(|why| why.contains("another play"))
    );
    drop(first);
    assert!(juniperdock_lab::fleet::history::History::create(&path).is_ok());
    let _ = std::fs::remove_file(&path);
}
