//! Work on behalf of all fronts, where the operators' file has it: the rules of `juniperdock_lease` and
//! `juniperdock_fleet_tasks` meet the fellows' datagrams, the desk, the log and the operators. Nothing is decided here.

use crate::counters::Counters;
use crate::membership::Hands;
use crate::messages::{DispatcherMessage, UpgradeFn};
use juniperdock_fleet_tasks::{
    Act, HoldStep, Move, Outcome, ProbeRole, ROLL, SHARDS, care, cared, hold, moved, moving, name,
};
use juniperdock_fleet_tasks::{Roll, RollStep, Rolling, Sees, Serves, release, say, step, words};
use juniperdock_lease::{Event, FleetView, Host, LeaseManager, TaskId, preferred_owners};
use juniperdock_membership::{Connectivity, Liveness, Membership};
use may::sync::mpsc::Sender;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// A grant lasts so many of the fellows' periods.
const PERIODS: u32 = 6;
/// An order that has not got its duty after so many grants' time is given up.
const PATIENCE: u32 = 2;
/// Changes that are over and still told.
const TOLD: usize = 16;
/// Words about a rolling upgrade: its state, a front's turn, an order, and that it is called off.
const STATE: u8 = 1;
const TURN: u8 = 2;
const BEGIN: u8 = 3;
const OFF: u8 = 4;
/// An owner that says nothing of a roll for so long may not know of it: whoever does tells it.
const UNTOLD: Duration = Duration::from_secs(1);
/// Until the desk has said how often it wants to be asked.
const AT_FIRST: Duration = Duration::from_millis(100);

/// Who waits for the answer to an order.
type Tell = SyncSender<Result<String, String>>;

/// What has come in for this front, and is to be looked at.
enum Came {
    Effect(usize, TaskId, u64, Vec<u8>),
    Report(usize, TaskId, Vec<u8>),
    Told(TaskId, Vec<u8>),
}

/// A change that this front was asked for and does not own yet.
struct Order {
    successor: Option<String>,
    since: Duration,
    tell: Tell,
}

/// A change that another front, or this one, has ordered of this one.
struct Holding {
    duty: TaskId,
    /// Which change it is, and the term of whoever ordered it last.
    order: u64,
    term: u64,
    owner: usize,
    step: HoldStep,
}

pub struct Duties {
    office: LeaseManager,
    lasts: Duration,
    desk: Sender<DispatcherMessage>,
    log: slog::Logger,
    counters: Arc<Counters>,
    orders: BTreeMap<u64, Order>,
    moves: BTreeMap<u64, (Move, Option<Tell>)>,
    over: VecDeque<Move>,
    /// By group: what was last ordered here. A hold that comes late or twice is nothing new.
    holding: BTreeMap<u64, Holding>,
    every: Duration,
    cares: Duration,
    came: Vec<Came>,
    /// By duty: the term of the effect that was carried out last.
    terms: BTreeMap<TaskId, u64>,
    /// The newest roll that was heard of, what its owner has seen, and the one in which this process has had its turn.
    roll: Roll,
    rolling: Option<Rolling>,
    had_turn: u64,
    undone: u64,
    /// The end that all were told last.
    told_end: (u64, u32),
    /// When the owner last spoke of the roll, or was told of it.
    spoken: Duration,
    upgrade: Option<UpgradeFn>,
}

/// The ways out of an office: other fronts by sealed datagrams, the log, and what is looked at after the call.
struct Ways<'a, 'b> {
    core: &'a mut Membership,
    hands: &'a mut Hands<'b>,
    came: &'a mut Vec<Came>,
    counters: &'a Counters,
    log: &'a slog::Logger,
}

impl Host for Ways<'_, '_> {
    fn send(&mut self, to: usize, body: &[u8]) {
        self.core.send_payload(to, body, self.hands);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Acquired(duty, term) => {
                self.counters.duties_taken.add();
                slog::info!(self.log, "duty taken"; "duty" => name(duty), "term" => term);
            }
            Event::Released(duty, term) => {
                slog::info!(self.log, "duty given back"; "duty" => name(duty), "term" => term);
            }
            Event::Expired(duty, term) => {
                self.counters.duties_lost.add();
                slog::warn!(self.log, "duty lost"; "duty" => name(duty), "term" => term);
            }
            Event::StaleEffect(duty, term, from) => {
                self.counters.effects_refused.add();
                slog::warn!(self.log, "stale effect refused"; "duty" => name(duty), "term" => term, "from" => from);
            }
        }
    }

    fn effect(&mut self, from: usize, duty: TaskId, term: u64, payload: &[u8]) {
        self.came.push(Came::Effect(from, duty, term, payload.to_vec()));
    }

    fn report(&mut self, from: usize, duty: TaskId, _term: u64, payload: &[u8]) {
        self.came.push(Came::Report(from, duty, payload.to_vec()));
    }

    fn announcement(&mut self, _from: usize, duty: TaskId, payload: &[u8]) {
        self.came.push(Came::Told(duty, payload.to_vec()));
    }
}

/// Lends the parts of a `Duties` to a call of its office.
macro_rules! ways {
    ($duties:ident, $core:ident, $hands:ident) => {
        &mut Ways {
            core: $core,
            hands: $hands,
            came: &mut $duties.came,
            counters: &$duties.counters,
            log: &$duties.log,
        }
    };
}

impl Duties {
    pub fn new(
        now: Duration,
        core: &Membership,
        tier: usize,
        seed: u64,
        period: Duration,
        desk: Sender<DispatcherMessage>,
        counters: Arc<Counters>,
        log: slog::Logger,
    ) -> Duties {
        let (lasts, standing) = (period * PERIODS, (0..SHARDS).map(care).chain([ROLL]).collect());
        Duties {
            office: LeaseManager::new(now, core.me(), tier, core.incarnation(), seed, lasts, standing),
            lasts,
            desk,
            log,
            counters,
            orders: BTreeMap::new(),
            moves: BTreeMap::new(),
            over: VecDeque::new(),
            holding: BTreeMap::new(),
            every: AT_FIRST,
            cares: now,
            came: Vec::new(),
            terms: BTreeMap::new(),
            roll: Roll::default(),
            rolling: None,
            had_turn: 0,
            undone: 0,
            told_end: (0, 0),
            spoken: now,
            upgrade: None,
        }
    }

    /// When [`Duties::turn`] is to be called next.
    pub fn next(&self) -> Duration {
        let moves = self.moves.values().filter_map(|(m, _)| m.next()).min();
        self.office.next_timeout().min(self.cares).min(moves.unwrap_or(Duration::MAX))
    }

    /// A body has come from a front.
    pub fn heard(
        &mut self,
        now: Duration,
        from: usize,
        body: &[u8],
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        if let Err(why) = self.office.handle_message(now, from, body, ways!(self, core, hands)) {
            slog::debug!(self.log, "a body is passed over"; "from" => from, "why" => why);
        }
    }

    /// Does what is due. `clock` is read anew right before each effect leaves.
    pub fn turn(&mut self, clock: &mut dyn FnMut() -> Duration, core: &mut Membership, hands: &mut Hands) {
        let now = clock();
        self.office.raise_term_floor(core.incarnation());
        let present = core.present();
        let has_majority = core.connectivity().0 == Connectivity::Majority;
        let sight = FleetView { present: &present, eligible: has_majority && !core.slow() };
        self.office.handle_timeout(now, sight, ways!(self, core, hands));
        self.look(now, core, hands);
        self.ordered(now, &present);
        self.go_on(clock, &present, core, hands);
        self.roll_on(clock, core, hands);
        // Effects on this front itself were handed back by the office.
        self.look(now, core, hands);
        if now >= self.cares {
            self.cares = now + self.every;
            let me = core.me();
            let mut shard_roles = [ProbeRole::No; SHARDS as usize];
            for (shard, asks) in shard_roles.iter_mut().enumerate() {
                let duty = care(shard as u64);
                if self.office.held_term(now, duty).is_some() {
                    *asks = ProbeRole::Owner;
                } else if preferred_owners(duty, &present, 2).contains(&me) {
                    *asks = ProbeRole::Beside;
                }
            }
            let _ = self.desk.send(DispatcherMessage::ObserveHealth {
                has_majority,
                present_fronts: present.len(),
                shard_roles,
            });
        }
    }

    fn look(&mut self, now: Duration, core: &mut Membership, hands: &mut Hands) {
        for came in std::mem::take(&mut self.came) {
            if let Came::Effect(from, duty, term, _) = &came
                && self.terms.insert(*duty, *term) != Some(*term)
            {
                slog::info!(self.log, "effects of a term"; "duty" => name(*duty), "term" => term, "from" => from);
            }
            match came {
                Came::Effect(_, duty, _, payload) if cared(duty).is_some() => {
                    let _ = self.desk.send(DispatcherMessage::PeerObservations(payload));
                }
                Came::Told(duty, payload) if cared(duty).is_some() => {
                    let _ = self.desk.send(DispatcherMessage::PeerObservations(payload));
                }
                Came::Effect(from, ROLL, term, payload) => self.rolls(now, from, term, &payload, core, hands),
                Came::Report(from, ROLL, payload) => {
                    let word = postcard::from_bytes::<(u64, u64, u64)>(&payload);
                    if let (Some(rolling), Ok((committed, failed, undone))) = (&mut self.rolling, word) {
                        rolling.told(from as u16, Serves { committed, failed, undone });
                    }
                }
                Came::Told(ROLL, payload) => {
                    let owns = self.rolling.is_some() && !payload.is_empty();
                    match payload.first() {
                        Some(&BEGIN) if owns && !self.roll.going() => {
                            // Who ordered it may not have heard of the newest one.
                            let ordered = Roll::read(&payload[1..]);
                            let ordered = ordered.filter(|roll| roll.number != self.roll.number);
                            let ordered = ordered.map(|roll| roll.numbered_after(&self.roll));
                            ordered.into_iter().for_each(|roll| self.roll = roll);
                        }
                        Some(&STATE) => {
                            let newer = Roll::read(&payload[1..]).filter(|roll| roll.later(&self.roll));
                            newer.into_iter().for_each(|roll| self.roll = roll);
                        }
                        Some(&OFF) if owns => drop(Rolling::call_off(&mut self.roll)),
                        _ => {}
                    }
                }
                Came::Effect(from, duty, term, payload) => {
                    if let (Some(group), Some((order, holds, successor))) = (moved(duty), words(&payload)) {
                        self.hold(group, duty, term, from, order, holds, successor, core, hands);
                    }
                }
                Came::Report(from, duty, payload) => {
                    let its = moved(duty).and_then(|group| self.moves.get_mut(&group));
                    if let (Some((m, _)), Some((order, step))) = (its, step(&payload)) {
                        m.told(from, order, step);
                    }
                }
                Came::Told(..) => {}
            }
        }
    }

    /// How this front is upgraded when its turn comes.
    pub fn upgraded_by(&mut self, upgrade: UpgradeFn) {
        self.upgrade = Some(upgrade);
    }

    /// It could not be, in that roll.
    pub fn undone(&mut self, roll: u64) {
        self.undone = roll;
    }

    /// From the control socket: a rolling upgrade of all fronts, or none any more. Its owner is told.
    pub fn order_roll(
        &mut self,
        now: Duration,
        program: Option<&str>,
        at_once: usize,
        off: bool,
        core: &mut Membership,
        hands: &mut Hands,
    ) -> Result<String, String> {
        if self.roll.going() != off {
            return Err(
                if off { "no roll is under way" } else { "a roll is under way: see fleet duties" }.to_owned()
            );
        }
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let roll = Roll::new(unix.as_millis() as u64, program, at_once)?.numbered_after(&self.roll);
        if self.rolling.is_some() {
            if off {
                drop(Rolling::call_off(&mut self.roll))
            } else {
                self.roll = roll
            }
            return Ok("this front owns it: see fleet duties".to_owned());
        }
        let stands = self.office.statuses(now).into_iter().find(|stands| stands.task == ROLL);
        let owner =
            stands.and_then(|stands| stands.owner).ok_or("no front owns the roll: see fleet status")?;
        let mut payload = vec![if off { OFF } else { BEGIN }];
        payload.extend(roll.bytes());
        self.office.announce(ROLL, &[owner], &payload, ways!(self, core, hands));
        Ok(format!("front {owner} owns it and was told: see fleet duties"))
    }

    /// The owner of a roll tells how far it is, or that it is this front's turn.
    fn rolls(
        &mut self,
        now: Duration,
        owner: usize,
        term: u64,
        payload: &[u8],
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        let Some((what, rest)) = payload.split_first() else { return };
        if *what == STATE {
            self.spoken = now;
            let newer = Roll::read(rest).filter(|roll| roll.later(&self.roll));
            newer.into_iter().for_each(|roll| self.roll = roll);
            let failed = [&self.counters.declined, &self.counters.rolled_back, &self.counters.unknown];
            let failed: u64 = failed.iter().map(|count| count.read()).sum();
            let word = postcard::to_allocvec(&(self.counters.committed.read(), failed, self.undone));
            self.office.report(owner, ROLL, term, &word.unwrap_or_default(), ways!(self, core, hands));
        } else if *what == TURN
            && let Ok((number, life, program)) = postcard::from_bytes::<(u64, u32, Option<String>)>(rest)
            // A turn that comes late or twice is of a process that is over, or was had.
            && life == core.incarnation()
            && number != self.had_turn
            && let Some(upgrade) = self.upgrade.clone()
        {
            self.had_turn = number;
            slog::info!(self.log, "this front's turn in a roll"; "number" => number);
            let (log, told) = (self.log.clone(), hands.mail());
            std::thread::spawn(move || {
                if let Err(why) = upgrade(program.as_deref()) {
                    slog::error!(log, "this front could not be rolled"; "why" => why);
                    told.send(crate::messages::MembershipMessage::UpgradeFailed(number));
                }
            });
        }
    }

    /// A roll that this front owns goes on by its rules.
    fn roll_on(&mut self, clock: &mut dyn FnMut() -> Duration, core: &mut Membership, hands: &mut Hands) {
        let now = clock();
        let Some(term) = self.office.held_term(now, ROLL) else {
            self.rolling = None;
            // The next owner may have started anew and know nothing.
            let untold = self.roll.going() && now > self.spoken + UNTOLD;
            if let Some(owner) = self.office.owner(now, ROLL).filter(|_| untold) {
                self.spoken = now;
                let payload = [&[STATE][..], &self.roll.bytes()].concat();
                self.office.announce(ROLL, &[owner], &payload, ways!(self, core, hands));
            }
            return;
        };
        let mut rolling = self.rolling.take().unwrap_or_default();
        if self.roll.going() || self.roll.end.is_some() && self.told_end != (self.roll.number, self.roll.step)
        {
            let me = core.me();
            let there = core.peers().into_iter().filter(|peer| peer.liveness == Liveness::Alive);
            let sees = there.map(|peer| {
                let whole = peer.reported == Some(Connectivity::Majority);
                (peer.index as u16, Sees { life: peer.incarnation, whole })
            });
            let sees = sees.collect();
            let before = self.roll.step;
            let mut steps = rolling.rule(now, me as u16, &mut self.roll, &sees);
            // One that was called off, or ended before this front owned it, is told once more.
            if steps.is_empty() && self.roll.end.is_some() {
                steps = vec![RollStep::Tell];
            }
            let others: Vec<usize> = core.present();
            for step in steps {
                match step {
                    RollStep::Tell => {
                        let payload = [&[STATE][..], &self.roll.bytes()].concat();
                        self.office.send_effect(
                            clock,
                            ROLL,
                            term,
                            &others,
                            &payload,
                            ways!(self, core, hands),
                        );
                        if self.roll.end.is_some() {
                            self.told_end = (self.roll.number, self.roll.step);
                        }
                    }
                    RollStep::Upgrade(front, life) => {
                        if self.roll.step != before {
                            slog::info!(self.log, "roll goes on"; "front" => front, "number" => self.roll.number);
                        }
                        let turn = postcard::to_allocvec(&(self.roll.number, life, &self.roll.program));
                        let payload = [&[TURN][..], &turn.unwrap_or_default()].concat();
                        self.office.send_effect(
                            clock,
                            ROLL,
                            term,
                            &[front.into()],
                            &payload,
                            ways!(self, core, hands),
                        );
                    }
                    RollStep::Ended(end) => {
                        slog::info!(self.log, "roll ended"; "number" => self.roll.number, "end" => format!("{end:?}"),
                            "through" => format!("{:?}", self.roll.back));
                    }
                }
            }
        }
        self.rolling = Some(rolling);
        self.look(now, core, hands);
    }

    /// The owner of a change has this front hold, or let go.
    fn hold(
        &mut self,
        group: u64,
        duty: TaskId,
        term: u64,
        owner: usize,
        order: u64,
        holds: bool,
        successor: Option<&str>,
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        slog::debug!(self.log, "a change is ordered here"; "group" => group, "holds" => holds, "owner" => owner);
        if let Some(holding) = self.holding.get_mut(&group).filter(|holding| holding.order == order && holds)
        {
            // It came before: only the word may have been lost.
            (holding.term, holding.owner) = (term, owner);
            let step = holding.step;
            return self.office.report(owner, duty, term, &say(order, step), ways!(self, core, hands));
        }
        let step = if holds { HoldStep::Asked } else { HoldStep::Undone };
        self.holding.insert(group, Holding { duty, order, term, owner, step });
        let (successor, cancel) = (successor.map(str::to_owned), !holds);
        let _ = self.desk.send(DispatcherMessage::PlannedChange { group, order, successor, cancel });
    }

    /// How far this front is with a change that was ordered of it.
    pub fn step(
        &mut self,
        now: Duration,
        group: u64,
        order: u64,
        step: HoldStep,
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        let its = self.holding.get_mut(&group).filter(|holding| holding.order == order);
        let Some(holding) = its else { return };
        holding.step = step;
        let Holding { duty, term, owner, .. } = *holding;
        self.office.report(owner, duty, term, &say(order, step), ways!(self, core, hands));
        self.look(now, core, hands);
    }

    /// What the desk has to tell of members.
    pub fn facts(
        &mut self,
        every: Duration,
        pieces: Vec<(usize, Vec<u8>)>,
        clock: &mut dyn FnMut() -> Duration,
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        self.every = every;
        let others: Vec<usize> = core.present().into_iter().filter(|&front| front != core.me()).collect();
        for (shard, piece) in pieces {
            let duty = care(shard as u64);
            self.counters.effects_out.add();
            match self.office.held_term(clock(), duty) {
                Some(term) => {
                    self.office.send_effect(clock, duty, term, &others, &piece, ways!(self, core, hands));
                }
                None => self.office.announce(duty, &others, &piece, ways!(self, core, hands)),
            }
        }
    }

    /// From the control socket: a change of a group's primary at all fronts, or none.
    pub fn order(
        &mut self,
        now: Duration,
        me: usize,
        group: u64,
        successor: Option<String>,
        off: bool,
        tell: Tell,
    ) {
        let duty = moving(group);
        let owner = self.office.owner(now, duty).filter(|&owner| owner != me);
        let answer = if let Some(owner) = owner {
            Err(format!("front {owner} is changing the primary of group {group}: ask there"))
        } else if off {
            match self.moves.get_mut(&group) {
                Some((m, _)) => {
                    m.call_off();
                    Ok("called off at all fronts".to_owned())
                }
                None => Err("no change is under way".to_owned()),
            }
        } else if self.moves.contains_key(&group) || self.orders.contains_key(&group) {
            Err(format!("a change of group {group} is under way"))
        } else {
            self.office.set_wanted(now, duty, true);
            self.orders.insert(group, Order { successor, since: now, tell });
            return;
        };
        let _ = tell.try_send(answer);
    }

    /// Orders whose duty this front has got begin; those that wait in vain end.
    fn ordered(&mut self, now: Duration, present: &[usize]) {
        let groups: Vec<u64> = self.orders.keys().copied().collect();
        for group in groups {
            let term = self.office.held_term(now, moving(group));
            let late = now > self.orders[&group].since + self.lasts * PATIENCE;
            if term.is_none() && !late {
                continue;
            }
            let Some(Order { successor, tell, .. }) = self.orders.remove(&group) else { continue };
            if let Some(term) = term {
                let m = Move::new(now, group, successor, term, present);
                slog::info!(self.log, "move begins"; "group" => group, "term" => term, "fronts" => present.len());
                self.moves.insert(group, (m, Some(tell)));
            } else {
                self.office.set_wanted(now, moving(group), false);
                let why = "no majority of the fronts lets this one own the change: see fleet status";
                let _ = tell.try_send(Err(why.to_owned()));
            }
        }
    }

    /// Changes under way go on by their rules.
    fn go_on(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        present: &[usize],
        core: &mut Membership,
        hands: &mut Hands,
    ) {
        let groups: Vec<u64> = self.moves.keys().copied().collect();
        for group in groups {
            let duty = moving(group);
            let Some((mut m, mut tell)) = self.moves.remove(&group) else { continue };
            loop {
                let now = clock();
                let acts = m.rule(now, self.office.held_term(now, duty), present);
                if acts.is_empty() {
                    break;
                }
                for act in acts {
                    let payload = match act {
                        Act::Hold(_) => hold(m.order, m.successor.as_deref()),
                        _ => release(m.order),
                    };
                    match act {
                        Act::Hold(front) | Act::Release(front) => {
                            self.counters.effects_out.add();
                            self.office.send_effect(
                                clock,
                                duty,
                                m.term,
                                &[front],
                                &payload,
                                ways!(self, core, hands),
                            );
                        }
                        Act::Ready => {
                            let n = m.fronts.len();
                            let text =
                                format!("held by {n} fronts, nothing is out: the primary may be changed now");
                            slog::info!(self.log, "move ready"; "group" => group, "term" => m.term, "fronts" => n);
                            tell.take().into_iter().for_each(|tell| drop(tell.try_send(Ok(text.clone()))));
                        }
                        Act::Ended(outcome) => {
                            let fronts = fronts(&m).to_string();
                            slog::info!(self.log, "move ended"; "group" => group, "term" => m.term,
                                "outcome" => format!("{outcome:?}"), "fronts" => &fronts, "gone" => format!("{:?}", m.gone));
                            let said = match outcome {
                                Outcome::Done => Ok(format!("done, front by front: {fronts}")),
                                _ => Err(format!("{outcome:?}, front by front: {fronts}")),
                            };
                            tell.take().into_iter().for_each(|tell| drop(tell.try_send(said.clone())));
                        }
                    }
                }
                // Words to oneself are there already.
                self.look(now, core, hands);
            }
            if m.outcome.is_some() {
                self.office.set_wanted(clock(), duty, false);
                self.over.push_back(m);
                while self.over.len() > TOLD {
                    self.over.pop_front();
                }
            } else {
                self.moves.insert(group, (m, tell));
            }
        }
    }

    /// Gives all back: this process goes.
    pub fn leave(&mut self, now: Duration, core: &mut Membership, hands: &mut Hands) {
        let present = core.present();
        self.office.leave(now, FleetView { present: &present, eligible: false }, ways!(self, core, hands));
    }

    /// What `fleet duties` tells.
    pub fn status(&self, now: Duration) -> Value {
        let duties = self.office.statuses(now).into_iter().map(|stands| {
            let until = stands.until.map(|until| until.saturating_sub(now).as_millis() as u64);
            let mut told = json!({ "duty": name(stands.task), "term": stands.term, "owner": stands.owner,
                "until_ms": until, "mine": stands.owned_here, "effects": stands.effects, "refused_stale": stands.refused });
            if stands.task == ROLL && self.roll.number > 0 {
                let Roll { number, program, back, under, end, .. } = &self.roll;
                let end = end.map(|end| format!("{end:?}"));
                let under: Vec<u16> = under.keys().copied().collect();
                told["roll"] =
                    json!({ "number": number, "program": program, "back": back, "under": under, "end": end });
            }
            let its = moved(stands.task);
            let running = its.and_then(|group| self.moves.get(&group)).map(|(m, _)| m);
            if let Some(m) = running.or_else(|| self.over.iter().rev().find(|m| Some(m.group) == its)) {
                let outcome = m.outcome.map(|outcome| format!("{outcome:?}"));
                told["move"] =
                    json!({ "term": m.term, "ready": m.ready, "outcome": outcome, "fronts": fronts(m), "gone": m.gone });
            }
            told
        });
        duties.collect()
    }
}

/// A change front by front.
fn fronts(m: &Move) -> Value {
    m.fronts
        .iter()
        .map(|(front, step)| (front.to_string(), step.name().into()))
        .collect::<serde_json::Map<_, _>>()
        .into()
}
