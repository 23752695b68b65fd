//! Work on behalf of all fronts, where the operators' file enables it. Connects the rules of `juniperdock_lease` and
//! `juniperdock_fleet_tasks` to the membership's datagrams, the dispatcher, the log and the operators; decides nothing.

use crate::counters::Counters;
use crate::membership::MembershipIo;
use crate::messages::{DispatcherMessage, UpgradeFn};
use crate::threads;
use juniperdock_fleet_tasks::{
    FrontReport, FrontView, UpgradeCoordinator, UpgradeState, UpgradeStep, decode_order, decode_step,
    encode_release, encode_step,
};
use juniperdock_fleet_tasks::{
    HoldStep, MoveAction, Outcome, PrimaryMove, ProbeRole, ROLLING_UPGRADE, SHARDS, encode_hold,
    health_shard, health_task, move_task, moved_group, task_name,
};
use juniperdock_lease::{Event, FleetView, Host, LeaseManager, TaskId, preferred_owners};
use juniperdock_membership::{Connectivity, Liveness, Membership};
use may::sync::mpsc::Sender;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Duration of a lease, in periods of the membership protocol.
const LEASE_PERIODS: u32 = 6;
/// Lease durations after which an order that has not got its task is given up.
const ORDER_TIMEOUT_LEASES: u32 = 2;
/// Changes that have ended and are still shown in the status.
const MAX_ENDED_MOVES: usize = 16;
/// Payload kinds of a rolling upgrade: its state, the order to a front to upgrade, the start, and the cancellation.
const STATE: u8 = 1;
const UPGRADE: u8 = 2;
const START: u8 = 3;
const CANCEL: u8 = 4;
/// An owner that is silent about an upgrade for this long may not know of it; other fronts then send it the state.
const OWNER_SILENCE: Duration = Duration::from_secs(1);
/// Interval until the dispatcher has set its own.
const INITIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Where the answer to an order goes.
type Reply = SyncSender<Result<String, String>>;

/// What has arrived for this front and is to be processed.
enum Incoming {
    Effect(usize, TaskId, u64, Vec<u8>),
    Report(usize, TaskId, Vec<u8>),
    Announcement(TaskId, Vec<u8>),
}

/// A change that was ordered at this front, which does not own its task yet.
struct Order {
    successor: Option<String>,
    since: Duration,
    reply: Reply,
}

/// A hold that the owner of a change has ordered of this front.
struct HoldState {
    task: TaskId,
    /// Identifies the change; and the term under which it was last ordered.
    order: u64,
    term: u64,
    owner: usize,
    step: HoldStep,
}

/// One front's part in the fleet's tasks.
pub struct FleetTasks {
    leases: LeaseManager,
    lease_duration: Duration,
    dispatcher: Sender<DispatcherMessage>,
    log: slog::Logger,
    counters: Arc<Counters>,
    orders: BTreeMap<u64, Order>,
    moves: BTreeMap<u64, (PrimaryMove, Option<Reply>)>,
    ended_moves: VecDeque<PrimaryMove>,
    /// By group: the hold that was last ordered here. A late or repeated order changes nothing.
    holds: BTreeMap<u64, HoldState>,
    report_interval: Duration,
    next_health_update: Duration,
    incoming: Vec<Incoming>,
    /// By task: the term of the last effect that was carried out.
    terms: BTreeMap<TaskId, u64>,
    /// The newest known rolling upgrade, its coordinator if this front owns the task, and the last one that upgraded
    /// this process.
    upgrade_state: UpgradeState,
    coordinator: Option<UpgradeCoordinator>,
    last_upgrade: u64,
    failed_upgrade: u64,
    /// Number and step of the last outcome that was sent to all.
    announced_outcome: (u64, u32),
    /// When the owner last sent the upgrade's state, or was sent it.
    last_state_at: Duration,
    upgrade: Option<UpgradeFn>,
}

/// The host of the lease manager: authenticated datagrams to other fronts, the log, and a queue of what arrived.
struct LeaseHost<'a, 'b> {
    membership: &'a mut Membership,
    io: &'a mut MembershipIo<'b>,
    incoming: &'a mut Vec<Incoming>,
    counters: &'a Counters,
    log: &'a slog::Logger,
}

impl Host for LeaseHost<'_, '_> {
    fn send(&mut self, to: usize, body: &[u8]) {
        self.membership.send_payload(to, body, self.io);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Acquired(task, term) => {
                self.counters.duties_taken.add();
                slog::info!(self.log, "duty taken"; "duty" => task_name(task), "term" => term);
            }
            Event::Released(task, term) => {
                slog::info!(self.log, "duty given back"; "duty" => task_name(task), "term" => term);
            }
            Event::Expired(task, term) => {
                self.counters.duties_lost.add();
                slog::warn!(self.log, "duty lost"; "duty" => task_name(task), "term" => term);
            }
            Event::StaleEffect(task, term, from) => {
                self.counters.effects_refused.add();
                slog::warn!(self.log, "stale effect refused"; "duty" => task_name(task), "term" => term, "from" => from);
            }
        }
    }

    fn effect(&mut self, from: usize, task: TaskId, term: u64, payload: &[u8]) {
        self.incoming.push(Incoming::Effect(from, task, term, payload.to_vec()));
    }

    fn report(&mut self, from: usize, task: TaskId, _term: u64, payload: &[u8]) {
        self.incoming.push(Incoming::Report(from, task, payload.to_vec()));
    }

    fn announcement(&mut self, _from: usize, task: TaskId, payload: &[u8]) {
        self.incoming.push(Incoming::Announcement(task, payload.to_vec()));
    }
}

/// Borrows the parts of a `FleetTasks` as the host of its lease manager.
macro_rules! lease_host {
    ($tasks:ident, $membership:ident, $io:ident) => {
        &mut LeaseHost {
            membership: $membership,
            io: $io,
            incoming: &mut $tasks.incoming,
            counters: &$tasks.counters,
            log: &$tasks.log,
        }
    };
}

impl FleetTasks {
    /// `period`: the period of the membership protocol.
    pub fn new(
        now: Duration,
        membership: &Membership,
        cluster_size: usize,
        seed: u64,
        period: Duration,
        dispatcher: Sender<DispatcherMessage>,
        counters: Arc<Counters>,
        log: slog::Logger,
    ) -> FleetTasks {
        let (lease_duration, permanent) =
            (period * LEASE_PERIODS, (0..SHARDS).map(health_task).chain([ROLLING_UPGRADE]).collect());
        FleetTasks {
            leases: LeaseManager::new(
                now,
                membership.me(),
                cluster_size,
                membership.incarnation(),
                seed,
                lease_duration,
                permanent,
            ),
            lease_duration,
            dispatcher,
            log,
            counters,
            orders: BTreeMap::new(),
            moves: BTreeMap::new(),
            ended_moves: VecDeque::new(),
            holds: BTreeMap::new(),
            report_interval: INITIAL_INTERVAL,
            next_health_update: now,
            incoming: Vec::new(),
            terms: BTreeMap::new(),
            upgrade_state: UpgradeState::default(),
            coordinator: None,
            last_upgrade: 0,
            failed_upgrade: 0,
            announced_outcome: (0, 0),
            last_state_at: now,
            upgrade: None,
        }
    }

    /// When [`FleetTasks::run_due`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        let moves = self.moves.values().filter_map(|(m, _)| m.next()).min();
        self.leases.next_timeout().min(self.next_health_update).min(moves.unwrap_or(Duration::MAX))
    }

    /// Handles a body from a front.
    pub fn handle_payload(
        &mut self,
        now: Duration,
        from: usize,
        body: &[u8],
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        if let Err(why) = self.leases.handle_message(now, from, body, lease_host!(self, membership, io)) {
            slog::debug!(self.log, "malformed lease message skipped"; "from" => from, "why" => why);
        }
    }

    /// Does what is due. `clock` is read anew right before each effect is sent.
    pub fn run_due(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        let now = clock();
        self.leases.raise_term_floor(membership.incarnation());
        let present = membership.present();
        let has_majority = membership.connectivity().0 == Connectivity::Majority;
        let view = FleetView { present: &present, eligible: has_majority && !membership.slow() };
        self.leases.handle_timeout(now, view, lease_host!(self, membership, io));
        self.process_incoming(now, membership, io);
        self.start_ordered_moves(now, &present);
        self.continue_moves(clock, &present, membership, io);
        self.continue_upgrade(clock, membership, io);
        // Effects on this front itself were queued by the lease manager.
        self.process_incoming(now, membership, io);
        if now >= self.next_health_update {
            self.next_health_update = now + self.report_interval;
            let me = membership.me();
            let mut shard_roles = [ProbeRole::Receiver; SHARDS as usize];
            for (shard, role) in shard_roles.iter_mut().enumerate() {
                let task = health_task(shard as u64);
                if self.leases.held_term(now, task).is_some() {
                    *role = ProbeRole::Owner;
                } else if preferred_owners(task, &present, 2).contains(&me) {
                    *role = ProbeRole::Backup;
                }
            }
            let _ = self.dispatcher.send(DispatcherMessage::ObserveHealth {
                has_majority,
                present_fronts: present.len(),
                shard_roles,
            });
        }
    }

    fn process_incoming(&mut self, now: Duration, membership: &mut Membership, io: &mut MembershipIo) {
        for incoming in std::mem::take(&mut self.incoming) {
            if let Incoming::Effect(from, task, term, _) = &incoming
                && self.terms.insert(*task, *term) != Some(*term)
            {
                slog::info!(self.log, "effects of a term"; "duty" => task_name(*task), "term" => term, "from" => from);
            }
            match incoming {
                Incoming::Effect(_, task, _, payload) if health_shard(task).is_some() => {
                    let _ = self.dispatcher.send(DispatcherMessage::PeerObservations(payload));
                }
                Incoming::Announcement(task, payload) if health_shard(task).is_some() => {
                    let _ = self.dispatcher.send(DispatcherMessage::PeerObservations(payload));
                }
                Incoming::Effect(from, ROLLING_UPGRADE, term, payload) => {
                    self.handle_upgrade_effect(now, from, term, &payload, membership, io)
                }
                Incoming::Report(from, ROLLING_UPGRADE, payload) => {
                    let report = postcard::from_bytes::<(u64, u64, u64)>(&payload);
                    if let (Some(coordinator), Ok((committed, failed, failed_upgrade))) =
                        (&mut self.coordinator, report)
                    {
                        coordinator
                            .record_report(from as u16, FrontReport { committed, failed, failed_upgrade });
                    }
                }
                Incoming::Announcement(ROLLING_UPGRADE, payload) => {
                    let owns = self.coordinator.is_some() && !payload.is_empty();
                    match payload.first() {
                        Some(&START) if owns && !self.upgrade_state.is_running() => {
                            // The front that ordered it may not know the newest upgrade.
                            let ordered = UpgradeState::from_bytes(&payload[1..]);
                            let ordered = ordered.filter(|state| state.number != self.upgrade_state.number);
                            let ordered = ordered.map(|state| state.numbered_after(&self.upgrade_state));
                            ordered.into_iter().for_each(|state| self.upgrade_state = state);
                        }
                        Some(&STATE) => {
                            let newer = UpgradeState::from_bytes(&payload[1..])
                                .filter(|state| state.supersedes(&self.upgrade_state));
                            newer.into_iter().for_each(|state| self.upgrade_state = state);
                        }
                        Some(&CANCEL) if owns => drop(UpgradeCoordinator::call_off(&mut self.upgrade_state)),
                        _ => {}
                    }
                }
                Incoming::Effect(from, task, term, payload) => {
                    if let (Some(group), Some((order, hold, successor))) =
                        (moved_group(task), decode_order(&payload))
                    {
                        self.handle_hold_order(
                            group, task, term, from, order, hold, successor, membership, io,
                        );
                    }
                }
                Incoming::Report(from, task, payload) => {
                    let its = moved_group(task).and_then(|group| self.moves.get_mut(&group));
                    if let (Some((m, _)), Some((order, step))) = (its, decode_step(&payload)) {
                        m.record_step(from, order, step);
                    }
                }
                Incoming::Announcement(..) => {}
            }
        }
    }

    /// Sets the function that upgrades this front.
    pub fn set_upgrade(&mut self, upgrade: UpgradeFn) {
        self.upgrade = Some(upgrade);
    }

    /// Records that this front could not be upgraded in that rolling upgrade.
    pub fn set_failed_upgrade(&mut self, number: u64) {
        self.failed_upgrade = number;
    }

    /// From the control socket: starts or cancels a rolling upgrade of all fronts, by a message to its owner.
    pub fn order_upgrade(
        &mut self,
        now: Duration,
        program: Option<&str>,
        max_concurrent: usize,
        cancel: bool,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) -> Result<String, String> {
        if self.upgrade_state.is_running() != cancel {
            return Err(if cancel {
                "no roll is under way"
            } else {
                "a roll is under way: see fleet duties"
            }
            .to_owned());
        }
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let state = UpgradeState::new(unix.as_millis() as u64, program, max_concurrent)?
            .numbered_after(&self.upgrade_state);
        if self.coordinator.is_some() {
            if cancel {
                drop(UpgradeCoordinator::call_off(&mut self.upgrade_state))
            } else {
                self.upgrade_state = state
            }
            return Ok("this front owns it: see fleet duties".to_owned());
        }
        let status = self.leases.statuses(now).into_iter().find(|status| status.task == ROLLING_UPGRADE);
        let owner =
            status.and_then(|status| status.owner).ok_or("no front owns the roll: see fleet status")?;
        let mut payload = vec![if cancel { CANCEL } else { START }];
        payload.extend(state.to_bytes());
        self.leases.announce(ROLLING_UPGRADE, &[owner], &payload, lease_host!(self, membership, io));
        Ok(format!("front {owner} owns it and was notified: see fleet duties"))
    }

    /// Handles an effect of the upgrade's owner: the state, or the order to upgrade this front.
    fn handle_upgrade_effect(
        &mut self,
        now: Duration,
        owner: usize,
        term: u64,
        payload: &[u8],
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        let Some((what, rest)) = payload.split_first() else { return };
        if *what == STATE {
            self.last_state_at = now;
            let newer = UpgradeState::from_bytes(rest).filter(|state| state.supersedes(&self.upgrade_state));
            newer.into_iter().for_each(|state| self.upgrade_state = state);
            let failed = [&self.counters.declined, &self.counters.rolled_back, &self.counters.unknown];
            let failed: u64 = failed.iter().map(|count| count.read()).sum();
            let report =
                postcard::to_allocvec(&(self.counters.committed.read(), failed, self.failed_upgrade));
            self.leases.report(
                owner,
                ROLLING_UPGRADE,
                term,
                &report.unwrap_or_default(),
                lease_host!(self, membership, io),
            );
        } else if *what == UPGRADE
            && let Ok((number, incarnation, program)) = postcard::from_bytes::<(u64, u32, Option<String>)>(rest)
            // A late or repeated order is for a process that has ended, or was carried out already.
            && incarnation == membership.incarnation()
            && number != self.last_upgrade
            && let Some(upgrade) = self.upgrade.clone()
        {
            self.last_upgrade = number;
            slog::info!(self.log, "this front is upgraded in a roll"; "number" => number);
            let (log, handle) = (self.log.clone(), io.handle());
            let failed = handle.clone();
            let started = threads::start("roll", move || {
                if let Err(why) = upgrade(program.as_deref()) {
                    slog::error!(log, "this front could not be upgraded"; "why" => why);
                    handle.send(crate::messages::MembershipMessage::UpgradeFailed(number));
                }
            });
            if let Err(why) = started {
                slog::error!(self.log, "this front could not be upgraded"; "why" => why);
                failed.send(crate::messages::MembershipMessage::UpgradeFailed(number));
            }
        }
    }

    /// Takes the next steps of a rolling upgrade that this front owns.
    fn continue_upgrade(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        let now = clock();
        let Some(term) = self.leases.held_term(now, ROLLING_UPGRADE) else {
            self.coordinator = None;
            // The next owner may have restarted and know nothing.
            let untold = self.upgrade_state.is_running() && now > self.last_state_at + OWNER_SILENCE;
            if let Some(owner) = self.leases.owner(now, ROLLING_UPGRADE).filter(|_| untold) {
                self.last_state_at = now;
                let payload = [&[STATE][..], &self.upgrade_state.to_bytes()].concat();
                self.leases.announce(ROLLING_UPGRADE, &[owner], &payload, lease_host!(self, membership, io));
            }
            return;
        };
        let mut coordinator = self.coordinator.take().unwrap_or_default();
        if self.upgrade_state.is_running()
            || self.upgrade_state.outcome.is_some()
                && self.announced_outcome != (self.upgrade_state.number, self.upgrade_state.step)
        {
            let me = membership.me();
            let alive = membership.peers().into_iter().filter(|peer| peer.liveness == Liveness::Alive);
            let fronts = alive.map(|peer| {
                let has_majority = peer.reported == Some(Connectivity::Majority);
                (peer.index as u16, FrontView { incarnation: peer.incarnation, has_majority })
            });
            let fronts = fronts.collect();
            let before = self.upgrade_state.step;
            let mut steps = coordinator.next_steps(now, me as u16, &mut self.upgrade_state, &fronts);
            // An upgrade that was cancelled, or ended before this front owned the task, is sent once more.
            if steps.is_empty() && self.upgrade_state.outcome.is_some() {
                steps = vec![UpgradeStep::Tell];
            }
            let others: Vec<usize> = membership.present();
            for step in steps {
                match step {
                    UpgradeStep::Tell => {
                        let payload = [&[STATE][..], &self.upgrade_state.to_bytes()].concat();
                        self.leases.send_effect(
                            clock,
                            ROLLING_UPGRADE,
                            term,
                            &others,
                            &payload,
                            lease_host!(self, membership, io),
                        );
                        if self.upgrade_state.outcome.is_some() {
                            self.announced_outcome = (self.upgrade_state.number, self.upgrade_state.step);
                        }
                    }
                    UpgradeStep::Upgrade(front, incarnation) => {
                        if self.upgrade_state.step != before {
                            slog::info!(self.log, "roll continues"; "front" => front, "number" => self.upgrade_state.number);
                        }
                        let order = postcard::to_allocvec(&(
                            self.upgrade_state.number,
                            incarnation,
                            &self.upgrade_state.program,
                        ));
                        let payload = [&[UPGRADE][..], &order.unwrap_or_default()].concat();
                        self.leases.send_effect(
                            clock,
                            ROLLING_UPGRADE,
                            term,
                            &[front.into()],
                            &payload,
                            lease_host!(self, membership, io),
                        );
                    }
                    UpgradeStep::Ended(outcome) => {
                        slog::info!(self.log, "roll ended"; "number" => self.upgrade_state.number, "end" => format!("{outcome:?}"),
                            "through" => format!("{:?}", self.upgrade_state.completed));
                    }
                }
            }
        }
        self.coordinator = Some(coordinator);
        self.process_incoming(now, membership, io);
    }

    /// The owner of a change orders this front to hold, or to release its hold.
    fn handle_hold_order(
        &mut self,
        group: u64,
        task: TaskId,
        term: u64,
        owner: usize,
        order: u64,
        hold: bool,
        successor: Option<&str>,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        slog::debug!(self.log, "hold ordered"; "group" => group, "holds" => hold, "owner" => owner);
        if let Some(existing) = self.holds.get_mut(&group).filter(|existing| existing.order == order && hold)
        {
            // A repeated order: only the report may have been lost.
            (existing.term, existing.owner) = (term, owner);
            let step = existing.step;
            return self.leases.report(
                owner,
                task,
                term,
                &encode_step(order, step),
                lease_host!(self, membership, io),
            );
        }
        let step = if hold { HoldStep::Asked } else { HoldStep::Undone };
        self.holds.insert(group, HoldState { task, order, term, owner, step });
        let (successor, cancel) = (successor.map(str::to_owned), !hold);
        let _ = self.dispatcher.send(DispatcherMessage::PlannedChange { group, order, successor, cancel });
    }

    /// Reports this front's progress with a hold to the owner.
    pub fn report_progress(
        &mut self,
        now: Duration,
        group: u64,
        order: u64,
        step: HoldStep,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        let its = self.holds.get_mut(&group).filter(|existing| existing.order == order);
        let Some(existing) = its else { return };
        existing.step = step;
        let HoldState { task, term, owner, .. } = *existing;
        self.leases.report(owner, task, term, &encode_step(order, step), lease_host!(self, membership, io));
        self.process_incoming(now, membership, io);
    }

    /// Sends the dispatcher's observations of members to the other fronts.
    pub fn share_observations(
        &mut self,
        report_interval: Duration,
        pieces: Vec<(usize, Vec<u8>)>,
        clock: &mut dyn FnMut() -> Duration,
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        self.report_interval = report_interval;
        let others: Vec<usize> =
            membership.present().into_iter().filter(|&front| front != membership.me()).collect();
        for (shard, piece) in pieces {
            let task = health_task(shard as u64);
            self.counters.effects_out.add();
            match self.leases.held_term(clock(), task) {
                Some(term) => {
                    self.leases.send_effect(
                        clock,
                        task,
                        term,
                        &others,
                        &piece,
                        lease_host!(self, membership, io),
                    );
                }
                None => self.leases.announce(task, &others, &piece, lease_host!(self, membership, io)),
            }
        }
    }

    /// From the control socket: starts or cancels a change of a group's primary at all fronts.
    pub fn order_move(
        &mut self,
        now: Duration,
        me: usize,
        group: u64,
        successor: Option<String>,
        cancel: bool,
        reply: Reply,
    ) {
        let task = move_task(group);
        let owner = self.leases.owner(now, task).filter(|&owner| owner != me);
        let answer = if let Some(owner) = owner {
            Err(format!("front {owner} is changing the primary of group {group}: ask there"))
        } else if cancel {
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
            self.leases.set_wanted(now, task, true);
            self.orders.insert(group, Order { successor, since: now, reply });
            return;
        };
        let _ = reply.try_send(answer);
    }

    /// Starts the ordered changes whose task this front owns now, and ends those that have waited too long.
    fn start_ordered_moves(&mut self, now: Duration, present: &[usize]) {
        let groups: Vec<u64> = self.orders.keys().copied().collect();
        for group in groups {
            let term = self.leases.held_term(now, move_task(group));
            let late = now > self.orders[&group].since + self.lease_duration * ORDER_TIMEOUT_LEASES;
            if term.is_none() && !late {
                continue;
            }
            let Some(Order { successor, reply, .. }) = self.orders.remove(&group) else { continue };
            if let Some(term) = term {
                let m = PrimaryMove::new(now, group, successor, term, present);
                slog::info!(self.log, "move begins"; "group" => group, "term" => term, "fronts" => present.len());
                self.moves.insert(group, (m, Some(reply)));
            } else {
                self.leases.set_wanted(now, move_task(group), false);
                let why = "no majority of the fronts grants this one the change: see fleet status";
                let _ = reply.try_send(Err(why.to_owned()));
            }
        }
    }

    /// Takes the next actions of the changes under way.
    fn continue_moves(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        present: &[usize],
        membership: &mut Membership,
        io: &mut MembershipIo,
    ) {
        let groups: Vec<u64> = self.moves.keys().copied().collect();
        for group in groups {
            let task = move_task(group);
            let Some((mut m, mut reply)) = self.moves.remove(&group) else { continue };
            loop {
                let now = clock();
                let actions = m.next_actions(now, self.leases.held_term(now, task), present);
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    let payload = match action {
                        MoveAction::Hold(_) => encode_hold(m.order, m.successor.as_deref()),
                        _ => encode_release(m.order),
                    };
                    match action {
                        MoveAction::Hold(front) | MoveAction::Release(front) => {
                            self.counters.effects_out.add();
                            self.leases.send_effect(
                                clock,
                                task,
                                m.term,
                                &[front],
                                &payload,
                                lease_host!(self, membership, io),
                            );
                        }
                        MoveAction::Ready => {
                            let n = m.fronts.len();
                            let text =
                                format!("held by {n} fronts, nothing is out: the primary may be changed now");
                            slog::info!(self.log, "move ready"; "group" => group, "term" => m.term, "fronts" => n);
                            reply.take().into_iter().for_each(|reply| drop(reply.try_send(Ok(text.clone()))));
                        }
                        MoveAction::Ended(outcome) => {
                            let fronts = fronts(&m).to_string();
                            slog::info!(self.log, "move ended"; "group" => group, "term" => m.term,
                                "outcome" => format!("{outcome:?}"), "fronts" => &fronts, "gone" => format!("{:?}", m.departed));
                            let answer = match outcome {
                                Outcome::Done => Ok(format!("done, front by front: {fronts}")),
                                _ => Err(format!("{outcome:?}, front by front: {fronts}")),
                            };
                            reply.take().into_iter().for_each(|reply| drop(reply.try_send(answer.clone())));
                        }
                    }
                }
                // Messages to this front itself have arrived already.
                self.process_incoming(now, membership, io);
            }
            if m.outcome.is_some() {
                self.leases.set_wanted(clock(), task, false);
                self.ended_moves.push_back(m);
                while self.ended_moves.len() > MAX_ENDED_MOVES {
                    self.ended_moves.pop_front();
                }
            } else {
                self.moves.insert(group, (m, reply));
            }
        }
    }

    /// Releases all leases, as this process leaves.
    pub fn leave(&mut self, now: Duration, membership: &mut Membership, io: &mut MembershipIo) {
        let present = membership.present();
        self.leases.leave(
            now,
            FleetView { present: &present, eligible: false },
            lease_host!(self, membership, io),
        );
    }

    /// The answer to `fleet duties`.
    pub fn status(&self, now: Duration) -> Value {
        let tasks = self.leases.statuses(now).into_iter().map(|status| {
            let until = status.until.map(|until| until.saturating_sub(now).as_millis() as u64);
            let mut entry = json!({ "duty": task_name(status.task), "term": status.term, "owner": status.owner,
                "until_ms": until, "mine": status.owned_here, "effects": status.effects, "refused_stale": status.refused });
            if status.task == ROLLING_UPGRADE && self.upgrade_state.number > 0 {
                let UpgradeState { number, program, completed, upgrading, outcome, .. } = &self.upgrade_state;
                let outcome = outcome.map(|outcome| format!("{outcome:?}"));
                let upgrading: Vec<u16> = upgrading.keys().copied().collect();
                entry["roll"] =
                    json!({ "number": number, "program": program, "back": completed, "under": upgrading, "end": outcome });
            }
            let its = moved_group(status.task);
            let running = its.and_then(|group| self.moves.get(&group)).map(|(m, _)| m);
            if let Some(m) = running.or_else(|| self.ended_moves.iter().rev().find(|m| Some(m.group) == its)) {
                let outcome = m.outcome.map(|outcome| format!("{outcome:?}"));
                entry["move"] =
                    json!({ "term": m.term, "ready": m.ready, "outcome": outcome, "fronts": fronts(m), "gone": m.departed });
            }
            entry
        });
        tasks.collect()
    }
}

/// The progress of a change, front by front.
fn fronts(m: &PrimaryMove) -> Value {
    m.fronts
        .iter()
        .map(|(front, step)| (front.to_string(), step.name().into()))
        .collect::<serde_json::Map<_, _>>()
        .into()
}
