//! Several processes of the program with faults between them: who is there, who has failed, and what a front
//! knows of itself. All are judged by the history alone; times bound nothing but how long a story waits.

use juniperdock_lab::fleet::audit::figures;
use juniperdock_lab::fleet::history::{Line, read};
use juniperdock_lab::fleet::play::{Bend, play};
use juniperdock_lab::fleet::{Figures, Harm, Mishap, Schedule};
use serde_json::Value;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

struct Told {
    lines: Vec<Line>,
    seen: Figures,
}

fn mishap(what: Harm, at_s: f64, lasts_s: f64) -> Mishap {
    let (front, other, side, number, share, by) = (None, None, Vec::new(), 0, None, None);
    Mishap { at_s, lasts_s, what, front, other, side, number, share, by }
}

fn of(front: usize, what: Harm, at_s: f64, lasts_s: f64) -> Mishap {
    Mishap { front: Some(front), ..mishap(what, at_s, lasts_s) }
}

fn apart(side: &[usize], at_s: f64, lasts_s: f64) -> Mishap {
    Mishap { side: side.to_vec(), ..mishap(Harm::Apart, at_s, lasts_s) }
}

/// Plays mishaps over so many fronts, and gives them time to find each other again.
fn told(
    name: &str,
    fronts: usize,
    mishaps: Vec<Mishap>,
    change: impl FnOnce(&mut Schedule),
    bend: Option<Bend>,
) -> Told {
    let mut schedule = Schedule {
        title: name.to_owned(),
        fronts,
        per_second: 40.0,
        every_ms: 250,
        mishaps,
        ..Schedule::default()
    };
    schedule.lasts_s = schedule.healed_s() + 5.5;
    change(&mut schedule);
    let path = std::env::temp_dir().join(format!("jd-{name}-{}.jsonl", std::process::id()));
    play(&schedule, 11, PROGRAM, &path, bend).unwrap_or_else(|why| panic!("{name}: {why}"));
    let lines = read(&path).unwrap_or_else(|why| panic!("{name}: {why}"));
    if std::env::var_os("JUNIPERDOCK_KEEP").is_none() {
        let _ = std::fs::remove_file(&path);
    }
    let seen = figures(&lines);
    Told { lines, seen }
}

impl Told {
    /// No rule is broken, nobody is lost, all agree in the end, and clients were served.
    fn sound(&self) {
        assert!(self.seen.found.is_empty(), "{:#?}", self.seen.found);
        assert!(self.seen.committed > 50, "{} committed", self.seen.committed);
    }

    fn statuses(&self, front: usize) -> impl Iterator<Item = (Duration, &Value)> {
        let own = move |line: &&Line| line.what == "status" && line.number("front") == Some(front as u64);
        self.lines.iter().filter(own).map(|line| (line.at, &line.more["status"]))
    }

    /// How a front stood at the last look before a time.
    fn before(&self, front: usize, at: Duration) -> &Value {
        self.statuses(front).take_while(|(when, _)| *when < at).last().expect("it was asked").1
    }

    fn stands(&self, front: usize, at: Duration) -> &str {
        self.before(front, at)["standing"].as_str().unwrap_or_default()
    }

    /// When a mishap began, or ended.
    fn when(&self, what: &str, number: u64) -> Duration {
        let it = |line: &&Line| line.what == what && line.number("number") == Some(number);
        self.lines.iter().find(it).expect("it happened").at
    }

    /// Whom a front took for dead, and when, before all were told to end.
    fn deaths(&self, front: usize) -> Vec<(Duration, u64)> {
        let ends =
            self.lines.iter().find(|line| line.what == "told to end").map_or(Duration::MAX, |line| line.at);
        let down = |line: &&Line| {
            line.at < ends
                && line.what == "log"
                && line.more["log"]["msg"] == "fellow down"
                && line.number("front") == Some(front as u64)
        };
        let whom = |line: &Line| (line.at, line.more["log"]["front"].as_u64().unwrap_or(u64::MAX));
        self.lines.iter().filter(down).map(whom).collect()
    }

    fn logged(&self, front: usize, msg: &str) -> usize {
        let its = |line: &&Line| {
            line.what == "log" && line.more["log"]["msg"] == msg && line.number("front") == Some(front as u64)
        };
        self.lines.iter().filter(its).count()
    }

    fn refused(&self, why: &str) -> u64 {
        self.seen.why_refused.get(why).copied().unwrap_or_default()
    }

    fn state_of(&self, front: usize, other: usize, at: Duration) -> &str {
        self.before(front, at)["fronts"][other]["state"].as_str().unwrap_or_default()
    }
}

#[test]
fn half_of_a_fleet_is_no_majority_and_two_thirds_are() {
    let story = told("halves", 6, vec![apart(&[0, 1, 2], 2.5, 5.0), apart(&[0, 1], 10.0, 5.0)], |_| {}, None);
    story.sound();
    let halves = story.when("healed", 0);
    assert!((0..6).all(|front| story.stands(front, halves) == "part"), "three of six are no majority");
    let thirds = story.when("healed", 1);
    let stands = |at| (0..6).map(|front| story.stands(front, at).to_owned()).collect::<Vec<_>>();
    assert!((2..6).all(|front| story.stands(front, thirds) == "whole"), "{:?}", stands(thirds));
    assert!((0..2).all(|front| story.stands(front, thirds) == "part"));
    // The minority calls nobody dead; the majority does.
    assert!((2..6).all(|other| story.state_of(0, other, thirds) != "dead"));
    assert!((2..6).all(|front| story.state_of(front, 0, thirds) == "dead"));
}

#[test]
fn one_way_loss_harms_nobody_and_who_is_not_heard_is_alone() {
    let one_way = Mishap { other: Some(1), ..of(0, Harm::OneWay, 2.5, 9.5) };
    let story = told("unheard", 5, vec![one_way, of(2, Harm::Unheard, 6.0, 6.0)], |_| {}, None);
    story.sound();
    let unheard = story.when("mishap", 1);
    let early = |front: usize| story.deaths(front).into_iter().filter(|d| d.0 < unheard).count();
    assert_eq!((0..5).map(early).sum::<usize>(), 0, "the others ask for those two");
    let healed = story.when("healed", 1);
    assert_eq!(story.stands(2, healed), "alone");
    assert!([0, 1, 3, 4].iter().all(|&front| story.state_of(front, 2, healed) == "dead"));
    assert_eq!(story.deaths(2).len(), 0, "it has no ground to call others dead");
    let wrong = [0, 1, 3, 4].iter().flat_map(|&front| story.deaths(front)).filter(|d| d.1 != 2).count();
    assert_eq!(wrong, 0, "nor a wrong word to spread once it is heard again");
}

#[test]
fn who_stood_still_does_not_act_on_its_old_view() {
    let story = told("still", 5, vec![of(0, Harm::FrontStopped, 2.5, 7.0)], |_| {}, None);
    story.sound();
    let woken = story.when("healed", 0);
    assert!(story.logged(0, "this front stood still") > 0);
    // The first that it says of itself after it runs again.
    let first = |line: &&Line| {
        line.what == "log"
            && line.number("front") == Some(0)
            && line.at >= woken
            && line.more["log"]["msg"] == "standing"
    };
    let first = story.lines.iter().find(first).expect("it says how it stands");
    assert_eq!(first.more["log"]["standing"], "alone", "whoever it heard before does not count");
    assert!(story.deaths(0).is_empty(), "its own silence is held against nobody");
    assert!((1..5).all(|front| story.state_of(front, 0, woken) == "dead"));
}

#[test]
fn a_killed_front_is_back_under_its_name_and_old_datagrams_do_it_no_harm() {
    let replays = Mishap { by: Some(40.0), ..of(1, Harm::Replayed, 2.0, 9.0) };
    let mut mishaps = vec![of(1, Harm::FrontKilled, 3.0, 4.0), replays];
    // And all but one of the others at once, for a moment.
    mishaps.extend([2, 3, 4].map(|front| of(front, Harm::FrontKilled, 9.5, 1.0)));
    let story = told("killed", 5, mishaps, |_| {}, None);
    story.sound();
    let killed = story.when("mishap", 0);
    let lives: Vec<u64> = [killed, Duration::MAX]
        .map(|at| story.before(0, at)["fronts"][1]["incarnation"].as_u64().unwrap_or_default())
        .to_vec();
    assert!(lives[0] > 0 && lives[1] > lives[0], "{lives:?}");
    let old = ["replayed", "outlived", "elsewhere", "stranger"].map(|why| story.refused(why));
    assert!(old.iter().sum::<u64>() > 20 && old[0] > 10, "{:?}", story.seen.why_refused);
    let back = story.when("healed", 0);
    assert!([0, 2, 3, 4].iter().all(|&front| story.state_of(front, 1, back) == "dead"));
}

#[test]
fn forged_and_bent_datagrams_and_a_flood_get_nowhere_while_it_serves() {
    let forged = Mishap { by: Some(30.0), ..mishap(Harm::Forged, 2.0, 6.0) };
    let bent = Mishap { share: Some(0.5), ..mishap(Harm::Bent, 2.0, 3.0) };
    let flood = Mishap { by: Some(50_000.0), ..of(0, Harm::Flooded, 5.5, 2.5) };
    let story = told("forged", 4, vec![forged, bent, flood], |_| {}, None);
    story.sound();
    assert!(story.refused("forged") > 1000, "{:?}", story.seen.why_refused);
    let (from, to) = (story.when("mishap", 2), story.when("healed", 2));
    let served = story.lines.iter().filter(|line| {
        line.what == "answered"
            && line.number("front") == Some(0)
            && line.text("told") == "committed"
            && (from..to).contains(&line.at)
    });
    assert!(served.count() > 5, "the flooded front serves on");
    assert_eq!(story.stands(0, to), "whole");
}

#[test]
fn a_fleet_is_upgraded_one_by_one_with_two_versions_in_it() {
    let upgrades = (0..4).map(|front| of(front, Harm::Upgraded, 2.5 + 1.8 * front as f64, 1.0)).collect();
    let story = told("upgraded", 4, upgrades, |schedule| schedule.older = vec![1, 3], None);
    story.sound();
    let upgraded = story.lines.iter().filter(|line| line.what == "upgraded" && line.number("pid").is_some());
    assert_eq!(upgraded.count(), 4);
    let last = story.before(0, Duration::MAX);
    assert_eq!(last["fronts"][1]["says"], Value::Null, "the older version says nothing of itself");
    assert_eq!(last["fronts"][2]["says"], "whole");
    assert_eq!(story.refused("version"), 0);
}

#[test]
fn a_front_whose_addresses_are_mixed_up_harms_nobody() {
    // Front 0 takes 1 for 2 and 2 for 1; the list of front 3 lacks one.
    let bend = |front: usize, config: &mut Value, _: &mut Value| {
        let Some(peers) = config["peers"].as_array_mut() else { return };
        match front {
            0 => peers.swap(1, 2),
            3 => drop(peers.pop()),
            _ => {}
        }
    };
    let mishaps = vec![of(4, Harm::ListCut, 2.0, 3.0)];
    let story = told("mixed", 5, mishaps, |_| {}, Some(&bend));
    let rules: Vec<_> = story.seen.found.iter().filter(|found| found.auditor != "views").collect();
    assert!(rules.is_empty() && story.seen.committed > 50, "{rules:?}");
    assert!(story.refused("elsewhere") + story.refused("stranger") > 10, "{:?}", story.seen.why_refused);
    assert_eq!(story.logged(3, "fellows are off"), 1, "it says so, and serves");
    let served = |front| {
        let own = move |line: &&Line| line.number("front") == Some(front) && line.text("told") == "committed";
        story.lines.iter().filter(own).count()
    };
    assert!(served(3) > 5 && served(0) > 5);
    // The three that agree on where they are are a majority, with or without front 0.
    for front in [1, 2, 4] {
        let last: Vec<_> = story.statuses(front).map(|(_, status)| status["standing"] == "whole").collect();
        let last = &last[last.len().saturating_sub(10)..];
        assert!(last.iter().filter(|&&whole| whole).count() * 2 > last.len(), "front {front}: {last:?}");
    }
}

#[test]
fn without_the_operators_word_nobody_speaks() {
    let story =
        told("off", 2, vec![of(0, Harm::FrontKilled, 2.0, 1.0)], |schedule| schedule.fellows = false, None);
    story.sound();
    assert_eq!(story.statuses(0).count() + story.statuses(1).count(), 0, "the command says that it is off");
    assert_eq!(story.seen.datagram_max, 0);
}

/// Fronts start anew while their wall clocks are an hour off, either way: nobody is left out, and all agree.
#[test]
fn who_starts_under_a_wall_clock_that_is_an_hour_off_is_there_for_all() {
    let off = |front, number| Mishap {
        number,
        share: Some(1.0),
        by: Some(3_600_000.0),
        ..of(front, Harm::ClockStepped, 2.5, 4.0)
    };
    let killed = |front| of(front, Harm::FrontKilled, 3.0, 1.0);
    let story = told("hours", 5, vec![off(1, 1), off(2, 0), killed(1), killed(2)], |_| {}, None);
    story.sound();
    let end = story.lines.iter().find(|line| line.what == "told to end").expect("it ended").at;
    assert!((0..5).all(|front| story.stands(front, end) == "whole"));
}
