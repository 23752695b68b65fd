//! Several processes of the program with faults between them: which fronts are present, which have failed, and each
//! front's own connectivity. Judged by the recorded history alone; times only bound how long a scenario waits.

use juniperdock_lab::fleet::audit::figures;
use juniperdock_lab::fleet::history::{Line, read};
use juniperdock_lab::fleet::play::{ConfigEdit, play};
use juniperdock_lab::fleet::stolen_time::StolenTime;
use juniperdock_lab::fleet::{FaultKind, Figures, InjectedFault, Schedule};
use serde_json::Value;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

struct Run {
    lines: Vec<Line>,
    seen: Figures,
}

fn fault(what: FaultKind, at_s: f64, lasts_s: f64) -> InjectedFault {
    let (front, other, side, number, share, by) = (None, None, Vec::new(), 0, None, None);
    InjectedFault { at_s, lasts_s, what, front, other, side, number, share, by }
}

fn front_fault(front: usize, what: FaultKind, at_s: f64, lasts_s: f64) -> InjectedFault {
    InjectedFault { front: Some(front), ..fault(what, at_s, lasts_s) }
}

fn partition(side: &[usize], at_s: f64, lasts_s: f64) -> InjectedFault {
    InjectedFault { side: side.to_vec(), ..fault(FaultKind::Apart, at_s, lasts_s) }
}

/// Runs faults over several fronts, and gives the fronts time to find each other again.
fn run_schedule(
    name: &str,
    fronts: usize,
    mishaps: Vec<InjectedFault>,
    change: impl FnOnce(&mut Schedule),
    bend: Option<ConfigEdit>,
) -> Run {
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
    println!("{name}: {}", StolenTime::read(&lines));
    let seen = figures(&lines);
    Run { lines, seen }
}

impl Run {
    /// No rule is broken, nobody is missing, all agree in the end, and clients were served.
    fn assert_sound(&self) {
        assert!(self.seen.found.is_empty(), "{:#?}", self.seen.found);
        assert!(self.seen.committed > 50, "{} committed", self.seen.committed);
    }

    fn statuses(&self, front: usize) -> impl Iterator<Item = (Duration, &Value)> {
        let own = move |line: &&Line| line.what == "status" && line.number("front") == Some(front as u64);
        self.lines.iter().filter(own).map(|line| (line.at, &line.more["status"]))
    }

    /// A front's last status before a time.
    fn status_before(&self, front: usize, at: Duration) -> &Value {
        self.statuses(front).take_while(|(when, _)| *when < at).last().expect("the front has a status").1
    }

    fn connectivity_at(&self, front: usize, at: Duration) -> &str {
        self.status_before(front, at)["standing"].as_str().unwrap_or_default()
    }

    /// When a fault began, or ended.
    fn when(&self, what: &str, number: u64) -> Duration {
        let it = |line: &&Line| line.what == what && line.number("number") == Some(number);
        self.lines.iter().find(it).expect("the event is recorded").at
    }

    /// The deaths that a front declared, with their times, before all were told to end.
    fn deaths(&self, front: usize) -> Vec<(Duration, u64)> {
        let ends =
            self.lines.iter().find(|line| line.what == "told to end").map_or(Duration::MAX, |line| line.at);
        let down = |line: &&Line| {
            line.at < ends
                && line.what == "log"
                && line.more["log"]["msg"] == "fellow down"
                && line.number("front") == Some(front as u64)
        };
        let death = |line: &Line| (line.at, line.more["log"]["front"].as_u64().unwrap_or(u64::MAX));
        self.lines.iter().filter(down).map(death).collect()
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
        self.status_before(front, at)["fronts"][other]["state"].as_str().unwrap_or_default()
    }
}

#[test]
fn half_of_a_fleet_is_no_majority_and_two_thirds_are() {
    let run = run_schedule(
        "halves",
        6,
        vec![partition(&[0, 1, 2], 2.5, 5.0), partition(&[0, 1], 10.0, 5.0)],
        |_| {},
        None,
    );
    run.assert_sound();
    let halves = run.when("healed", 0);
    assert!((0..6).all(|front| run.connectivity_at(front, halves) == "part"), "three of six are no majority");
    let thirds = run.when("healed", 1);
    let connectivity = |at| (0..6).map(|front| run.connectivity_at(front, at).to_owned()).collect::<Vec<_>>();
    assert!((2..6).all(|front| run.connectivity_at(front, thirds) == "whole"), "{:?}", connectivity(thirds));
    assert!((0..2).all(|front| run.connectivity_at(front, thirds) == "part"));
    // The minority declares nobody dead; the majority does.
    assert!((2..6).all(|other| run.state_of(0, other, thirds) != "dead"));
    assert!((2..6).all(|front| run.state_of(front, 0, thirds) == "dead"));
}

#[test]
fn one_way_loss_harms_nobody_and_a_front_that_nobody_hears_is_isolated() {
    let one_way = InjectedFault { other: Some(1), ..front_fault(0, FaultKind::OneWay, 2.5, 9.5) };
    let run =
        run_schedule("unheard", 5, vec![one_way, front_fault(2, FaultKind::Unheard, 6.0, 6.0)], |_| {}, None);
    run.assert_sound();
    let unheard = run.when("mishap", 1);
    let early = |front: usize| run.deaths(front).into_iter().filter(|d| d.0 < unheard).count();
    assert_eq!((0..5).map(early).sum::<usize>(), 0, "indirect probes reach those two");
    let healed = run.when("healed", 1);
    assert_eq!(run.connectivity_at(2, healed), "alone");
    assert!([0, 1, 3, 4].iter().all(|&front| run.state_of(front, 2, healed) == "dead"));
    assert_eq!(run.deaths(2).len(), 0, "an isolated front declared others dead");
    let wrong = [0, 1, 3, 4].iter().flat_map(|&front| run.deaths(front)).filter(|d| d.1 != 2).count();
    assert_eq!(wrong, 0, "a false death was spread after it was heard again");
}

#[test]
fn a_stalled_front_does_not_act_on_its_old_view() {
    let run = run_schedule("still", 5, vec![front_fault(0, FaultKind::FrontStopped, 2.5, 7.0)], |_| {}, None);
    run.assert_sound();
    let woken = run.when("healed", 0);
    assert!(run.logged(0, "this front stalled") > 0);
    // Its first report of its connectivity after it runs again.
    let first = |line: &&Line| {
        line.what == "log"
            && line.number("front") == Some(0)
            && line.at >= woken
            && line.more["log"]["msg"] == "standing"
    };
    let first = run.lines.iter().find(first).expect("it reports its connectivity");
    assert_eq!(first.more["log"]["standing"], "alone", "fronts heard before the stall do not count");
    assert!(run.deaths(0).is_empty(), "its own stall makes nobody dead");
    assert!((1..5).all(|front| run.state_of(front, 0, woken) == "dead"));
}

#[test]
fn a_killed_front_rejoins_and_replayed_datagrams_do_no_harm() {
    let replays = InjectedFault { by: Some(40.0), ..front_fault(1, FaultKind::Replayed, 2.0, 9.0) };
    let mut mishaps = vec![front_fault(1, FaultKind::FrontKilled, 3.0, 4.0), replays];
    // All but one of the others are killed at once too, for a moment.
    mishaps.extend([2, 3, 4].map(|front| front_fault(front, FaultKind::FrontKilled, 9.5, 1.0)));
    let run = run_schedule("killed", 5, mishaps, |_| {}, None);
    run.assert_sound();
    let killed = run.when("mishap", 0);
    let incarnations: Vec<u64> = [killed, Duration::MAX]
        .map(|at| run.status_before(0, at)["fronts"][1]["incarnation"].as_u64().unwrap_or_default())
        .to_vec();
    assert!(incarnations[0] > 0 && incarnations[1] > incarnations[0], "{incarnations:?}");
    let old = ["replayed", "outlived", "elsewhere", "stranger"].map(|why| run.refused(why));
    assert!(old.iter().sum::<u64>() > 20 && old[0] > 10, "{:?}", run.seen.why_refused);
    let back = run.when("healed", 0);
    assert!([0, 2, 3, 4].iter().all(|&front| run.state_of(front, 1, back) == "dead"));
}

#[test]
fn forged_and_altered_datagrams_and_a_flood_are_refused_while_it_serves() {
    let forged = InjectedFault { by: Some(30.0), ..fault(FaultKind::Forged, 2.0, 6.0) };
    let bent = InjectedFault { share: Some(0.5), ..fault(FaultKind::Bent, 2.0, 3.0) };
    let flood = InjectedFault { by: Some(50_000.0), ..front_fault(0, FaultKind::Flooded, 5.5, 2.5) };
    let run = run_schedule("forged", 4, vec![forged, bent, flood], |_| {}, None);
    run.assert_sound();
    assert!(run.refused("forged") > 1000, "{:?}", run.seen.why_refused);
    let (from, to) = (run.when("mishap", 2), run.when("healed", 2));
    let served = run.lines.iter().filter(|line| {
        line.what == "answered"
            && line.number("front") == Some(0)
            && line.text("told") == "committed"
            && (from..to).contains(&line.at)
    });
    assert!(served.count() > 5, "the flooded front keeps serving");
    assert_eq!(run.connectivity_at(0, to), "whole");
}

#[test]
fn a_fleet_is_upgraded_one_by_one_with_two_versions_in_it() {
    let upgrades =
        (0..4).map(|front| front_fault(front, FaultKind::Upgraded, 2.5 + 1.8 * front as f64, 1.0)).collect();
    let run = run_schedule("upgraded", 4, upgrades, |schedule| schedule.older = vec![1, 3], None);
    run.assert_sound();
    let upgraded = run.lines.iter().filter(|line| line.what == "upgraded" && line.number("pid").is_some());
    assert_eq!(upgraded.count(), 4);
    let last = run.status_before(0, Duration::MAX);
    assert_eq!(last["fronts"][1]["says"], Value::Null, "the older version does not report its connectivity");
    assert_eq!(last["fronts"][2]["says"], "whole");
    assert_eq!(run.refused("version"), 0);
}

#[test]
fn a_front_with_wrong_peer_addresses_harms_nobody() {
    // Front 0 swaps fronts 1 and 2; the list of front 3 lacks one.
    let bend = |front: usize, config: &mut Value, _: &mut Value| {
        let Some(peers) = config["peers"].as_array_mut() else { return };
        match front {
            0 => peers.swap(1, 2),
            3 => drop(peers.pop()),
            _ => {}
        }
    };
    let mishaps = vec![front_fault(4, FaultKind::ListCut, 2.0, 3.0)];
    let run = run_schedule("mixed", 5, mishaps, |_| {}, Some(&bend));
    let rules: Vec<_> = run.seen.found.iter().filter(|found| found.auditor != "views").collect();
    assert!(rules.is_empty() && run.seen.committed > 50, "{rules:?}");
    assert!(run.refused("elsewhere") + run.refused("stranger") > 10, "{:?}", run.seen.why_refused);
    assert_eq!(run.logged(3, "fellows are off"), 1, "it logs that, and serves");
    let served = |front| {
        let own = move |line: &&Line| line.number("front") == Some(front) && line.text("told") == "committed";
        run.lines.iter().filter(own).count()
    };
    assert!(served(3) > 5 && served(0) > 5);
    // The three that agree on their addresses are a majority, with or without front 0.
    for front in [1, 2, 4] {
        let last: Vec<_> = run.statuses(front).map(|(_, status)| status["standing"] == "whole").collect();
        let last = &last[last.len().saturating_sub(10)..];
        assert!(last.iter().filter(|&&whole| whole).count() * 2 > last.len(), "front {front}: {last:?}");
    }
}

#[test]
fn without_the_operators_setting_no_datagram_is_sent() {
    let run = run_schedule(
        "off",
        2,
        vec![front_fault(0, FaultKind::FrontKilled, 2.0, 1.0)],
        |schedule| schedule.fellows = false,
        None,
    );
    run.assert_sound();
    assert_eq!(run.statuses(0).count() + run.statuses(1).count(), 0, "the command reports that it is off");
    assert_eq!(run.seen.datagram_max, 0);
}

/// Fronts restart while their wall clocks are an hour off, either way: nobody is left out, and all agree.
#[test]
fn a_front_that_starts_with_its_clock_an_hour_off_joins() {
    let off = |front, number| InjectedFault {
        number,
        share: Some(1.0),
        by: Some(3_600_000.0),
        ..front_fault(front, FaultKind::ClockStepped, 2.5, 4.0)
    };
    let killed = |front| front_fault(front, FaultKind::FrontKilled, 3.0, 1.0);
    let run = run_schedule("hours", 5, vec![off(1, 1), off(2, 0), killed(1), killed(2)], |_| {}, None);
    run.assert_sound();
    let end = run.lines.iter().find(|line| line.what == "told to end").expect("it ended").at;
    assert!((0..5).all(|front| run.connectivity_at(front, end) == "whole"));
}
