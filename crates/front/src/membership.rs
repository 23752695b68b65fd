//! The actor that speaks with the other fronts, over one socket for datagrams. Who is there is found out by
//! `juniperdock_membership`; here it meets the socket, the clock, the log and the operators.

use crate::clock::{Clock, TimerHandle};
use crate::counters::Counters;
use crate::fleet_tasks::Duties;
use crate::messages::{DispatcherMessage, MembershipMessage, UpgradeFn};
use juniperdock_connection::{Bell, Post, give_way, spawn};
use juniperdock_membership::{Connectivity, Event, Host, Keys, Membership, Refused, Timing, incarnation_at};
use juniperdock_operator_config as operator_config;
use may::sync::mpsc::{Receiver, Sender, channel};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Datagrams read before others get their turn.
const A_FEW: usize = 32;
/// Why there are no duties.
pub const TASKS_OFF: &str = "duties are off: see fellows.duties in the operators' file";
/// How often an address that is taken is tried again.
const AGAIN: Duration = Duration::from_millis(100);

/// Reads the keys' files.
pub fn read_keys(paths: &[PathBuf]) -> Result<Keys, String> {
    let text = |path: &PathBuf| {
        std::fs::read_to_string(path).map_err(|e| format!("fellows.keys: {}: {e}", path.display()))
    };
    let texts = paths.iter().map(text).collect::<Result<Vec<_>, _>>()?;
    Keys::parse(&texts).map_err(|why| format!("fellows.keys: {why}"))
}

/// Posts to the actor; before it has a socket its mail waits.
#[derive(Clone)]
pub struct Handle(Sender<MembershipMessage>, Arc<Mutex<Option<Bell>>>);

impl Handle {
    pub fn send(&self, mail: MembershipMessage) {
        let _ = self.0.send(mail);
        let bell = self.1.lock().unwrap_or_else(PoisonError::into_inner).clone();
        bell.iter().for_each(Bell::ring);
    }
}

/// What the actor needs to speak; where each place of the tier is, unless its name is not known.
pub struct Setup {
    pub me: usize,
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Vec<Option<SocketAddr>>,
    pub config: operator_config::Fellows,
    pub keys: Keys,
    pub seed: u64,
    pub dispatcher: Sender<DispatcherMessage>,
}

struct Actor {
    circle: Setup,
    places: HashMap<SocketAddr, usize>,
    clock: Clock,
    counters: Arc<Counters>,
    log: slog::Logger,
    mail: Receiver<MembershipMessage>,
    bell: Arc<Mutex<Option<Bell>>>,
    /// Lives of this process so far.
    life: u32,
    own: Handle,
    upgrade: Option<UpgradeFn>,
    /// The roll in which this front could not be upgraded.
    undone: u64,
}

/// Carries out what the membership wants done.
pub struct Hands<'a> {
    post: &'a Post,
    peers: &'a [Option<SocketAddr>],
    counters: &'a Counters,
    log: &'a slog::Logger,
    /// Bodies for the duties, from which front.
    bodies: Vec<(usize, Vec<u8>)>,
    mail: &'a Handle,
}

impl Hands<'_> {
    /// Posts to this actor.
    pub fn mail(&self) -> Handle {
        self.mail.clone()
    }
}

impl Host for Hands<'_> {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        if let Some(Some(at)) = self.peers.get(to) {
            self.counters.fellows_out.add();
            self.post.send(*at, datagram);
        }
    }

    fn deliver(&mut self, from: usize, body: &[u8]) {
        self.bodies.push((from, body.to_vec()));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Up(front) => {
                self.counters.fellow_ups.add();
                slog::info!(self.log, "fellow up"; "front" => front);
            }
            Event::Down(front) => {
                self.counters.fellow_downs.add();
                slog::warn!(self.log, "fellow down"; "front" => front);
            }
            Event::Restarted(front) => slog::info!(self.log, "fellow back in a later life"; "front" => front),
            Event::Rejoined => slog::warn!(self.log, "fellows took this front for dead"),
            Event::ConnectivityChanged(standing) => {
                slog::info!(self.log, "standing"; "standing" => standing.name())
            }
            Event::Stalled(span) => {
                self.counters.standstills.add();
                slog::warn!(self.log, "this front stood still"; "ms" => span.as_millis() as u64);
            }
        }
    }
}

/// Starts the actor.
pub fn start(
    circle: Setup,
    clock: Clock,
    counters: Arc<Counters>,
    log: slog::Logger,
    stack: usize,
) -> Result<Handle, String> {
    let (send, mail) = channel();
    let bell = Arc::new(Mutex::new(None));
    let places = circle.peers.iter().enumerate().filter_map(|(i, at)| Some(((*at)?, i))).collect();
    let own = Handle(send, bell.clone());
    let sent = own.clone();
    let actor =
        Actor { circle, places, clock, counters, log, mail, bell, life: 0, own, upgrade: None, undone: 0 };
    spawn("fellows", stack, move || actor.run())?;
    Ok(sent)
}

impl Actor {
    fn run(mut self) {
        let mut told = false;
        loop {
            let post = match Post::open(self.circle.listen) {
                Ok(post) => post,
                Err(why) => {
                    // The process before this one may still have it.
                    if !std::mem::replace(&mut told, true) {
                        slog::error!(self.log, "fellows can't be heard, tried again"; "why" => why);
                    }
                    let (wake, woken) = channel();
                    self.clock.run_at(self.clock.now() + AGAIN, move || {
                        let _ = wake.send(());
                    });
                    let _ = woken.recv();
                    continue;
                }
            };
            told = false;
            *self.bell.lock().unwrap_or_else(PoisonError::into_inner) = Some(post.bell());
            let done = catch_unwind(AssertUnwindSafe(|| self.speak(&post)));
            *self.bell.lock().unwrap_or_else(PoisonError::into_inner) = None;
            drop(post);
            match done {
                // Has left: until it is asked in again, or for good.
                Ok(()) => loop {
                    match self.mail.recv() {
                        Ok(MembershipMessage::Join) => break,
                        Ok(MembershipMessage::Status(reply)) => drop(reply.try_send(json!({ "left": true }))),
                        Ok(MembershipMessage::SetKeys(keys)) => self.circle.keys = keys,
                        Ok(MembershipMessage::FleetTasks(reply)) => drop(reply.try_send(json!([]))),
                        Ok(MembershipMessage::SetUpgrade(upgrade)) => self.upgrade = Some(upgrade),
                        Ok(MembershipMessage::UpgradeFailed(roll)) => self.undone = roll,
                        Ok(
                            MembershipMessage::ChangePrimary { reply, .. }
                            | MembershipMessage::RollingUpgrade { reply, .. },
                        ) => {
                            drop(reply.try_send(Err("this front has left its fellows".to_owned())));
                        }
                        Ok(
                            MembershipMessage::Leave
                            | MembershipMessage::Observations { .. }
                            | MembershipMessage::ChangeProgress { .. },
                        ) => {}
                        Err(_) => return,
                    }
                },
                Err(_) => self.counters.panics.add(),
            }
        }
    }

    fn core(&mut self) -> Membership {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.life = incarnation_at(unix).max(self.life + 1);
        let Setup { me, peers, config, keys, seed, .. } = &self.circle;
        let times = Timing::with_period(Duration::from_millis(config.every_ms));
        Membership::new(*me, peers.len(), self.life, *seed, config.speaks, times, keys.clone())
    }

    /// Speaks until it is to leave.
    fn speak(&mut self, post: &Post) {
        let mut core = self.core();
        let (begun, clock) = (self.clock.now(), self.clock.clone());
        let mut read_clock = move || clock.now() - begun;
        let mut duties = self.circle.config.duties.then(|| self.duties(&core));
        let bell = post.bell();
        let mut alarm: Option<(Duration, TimerHandle)> = None;
        // One byte more than the longest, so that a longer one is seen to be longer.
        let mut buffer = [0; juniperdock_membership::MAX_DATAGRAM_BYTES + 1];
        loop {
            let Actor { circle, counters, log, .. } = &*self;
            let (bodies, mail) = (Vec::new(), &self.own);
            let mut hands = Hands { post, peers: &circle.peers, counters, log, bodies, mail };
            let mut read = 0;
            while read < A_FEW
                && let Some((length, from)) = post.receive(&mut buffer)
            {
                read += 1;
                counters.fellows_in.add();
                let now = read_clock();
                let taken = match self.places.get(&from) {
                    Some(&place) => core.handle_datagram(now, place, &buffer[..length], &mut hands),
                    None => {
                        core.unknown_sender();
                        Err(Refused::WrongSender)
                    }
                };
                if let Err(why) = taken {
                    counters.fellows_refused.add();
                    slog::debug!(log, "a datagram is refused"; "from" => %from, "why" => why.name());
                }
                for (front, body) in std::mem::take(&mut hands.bodies) {
                    duties.iter_mut().for_each(|d| d.heard(now, front, &body, &mut core, &mut hands));
                }
            }
            let (mut leaves, mut other_keys, mut upgrade, mut undone) = (false, None, None, None);
            while let Ok(mail) = self.mail.try_recv() {
                let now = read_clock();
                match (mail, &mut duties) {
                    (MembershipMessage::Status(reply), _) => {
                        drop(reply.try_send(status(&core, &circle.name, now)))
                    }
                    (MembershipMessage::SetKeys(keys), _) => {
                        core.set_keys(keys.clone());
                        other_keys = Some(keys);
                    }
                    (MembershipMessage::Leave, _) => leaves = true,
                    (MembershipMessage::Observations { every, pieces }, Some(duties)) => {
                        duties.facts(every, pieces, &mut read_clock, &mut core, &mut hands);
                    }
                    (MembershipMessage::ChangeProgress { group, order, step }, Some(duties)) => {
                        duties.step(now, group, order, step, &mut core, &mut hands);
                    }
                    (MembershipMessage::ChangePrimary { group, successor, cancel, reply }, Some(duties)) => {
                        duties.order(now, circle.me, group, successor, cancel, reply);
                    }
                    (MembershipMessage::SetUpgrade(call), duties) => {
                        duties.iter_mut().for_each(|duties| duties.upgraded_by(call.clone()));
                        upgrade = Some(call);
                    }
                    (MembershipMessage::UpgradeFailed(roll), duties) => {
                        duties.iter_mut().for_each(|duties| duties.undone(roll));
                        undone = Some(roll);
                    }
                    (MembershipMessage::RollingUpgrade { program, at_once, cancel, reply }, Some(duties)) => {
                        let answer = duties.order_roll(
                            now,
                            program.as_deref(),
                            at_once,
                            cancel,
                            &mut core,
                            &mut hands,
                        );
                        drop(reply.try_send(answer));
                    }
                    (MembershipMessage::FleetTasks(reply), Some(duties)) => {
                        drop(reply.try_send(duties.status(now)))
                    }
                    (
                        MembershipMessage::Join
                        | MembershipMessage::Observations { .. }
                        | MembershipMessage::ChangeProgress { .. },
                        _,
                    ) => {}
                    (
                        MembershipMessage::ChangePrimary { reply, .. }
                        | MembershipMessage::RollingUpgrade { reply, .. },
                        None,
                    ) => drop(reply.try_send(Err(TASKS_OFF.to_owned()))),
                    (MembershipMessage::FleetTasks(reply), None) => {
                        drop(reply.try_send(json!({ "off": true })))
                    }
                }
            }
            if leaves {
                duties.iter_mut().for_each(|d| d.leave(read_clock(), &mut core, &mut hands));
                core.leave(read_clock(), &mut hands);
                return;
            }
            core.handle_timeout(read_clock(), &mut hands);
            duties.iter_mut().for_each(|d| d.turn(&mut read_clock, &mut core, &mut hands));
            // One alarm at a time.
            let next = core
                .next_timeout()
                .min(duties.as_ref().map_or(Duration::MAX, Duties::next))
                .saturating_add(begun);
            drop(hands);
            if let Some(keys) = other_keys {
                self.circle.keys = keys;
            }
            self.upgrade = upgrade.or(self.upgrade.take());
            self.undone = undone.unwrap_or(self.undone);
            if alarm.as_ref().is_none_or(|(at, _)| *at != next) {
                alarm.iter().for_each(|(_, old)| self.clock.cancel(old));
                let bell = bell.clone();
                alarm = Some((next, self.clock.run_at(next, move || bell.ring())));
            }
            if read == A_FEW { give_way() } else { post.wait() }
        }
    }

    fn duties(&self, core: &Membership) -> Duties {
        let Setup { peers, config, seed, dispatcher, .. } = &self.circle;
        let period = Duration::from_millis(config.every_ms);
        let (dispatcher, counters, log) = (dispatcher.clone(), self.counters.clone(), self.log.clone());
        let mut duties =
            Duties::new(Duration::ZERO, core, peers.len(), *seed, period, dispatcher, counters, log);
        duties.undone(self.undone);
        self.upgrade.iter().for_each(|upgrade| duties.upgraded_by(upgrade.clone()));
        duties
    }
}

/// What `fleet status` tells.
fn status(core: &Membership, name: &str, now: Duration) -> Value {
    let (standing, since) = core.connectivity();
    let ago = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let front = |f: &juniperdock_membership::Peer| {
        json!({ "index": f.index, "state": f.liveness.name(), "incarnation": f.incarnation,
            "heard_ms_ago": f.last_received.map(ago), "says": f.reported.map(Connectivity::name) })
    };
    let refused: serde_json::Map<String, Value> = Refused::ALL
        .iter()
        .filter(|why| core.refused[**why as usize] > 0)
        .map(|why| (why.name().to_owned(), core.refused[*why as usize].into()))
        .collect();
    json!({ "me": core.me(), "name": name, "incarnation": core.incarnation(),
        "standing": standing.name(), "since_ms": ago(since), "view": core.view_version(),
        "present": core.present(), "fronts": core.peers().iter().map(front).collect::<Vec<_>>(),
        "datagrams_in": core.datagrams_in, "datagrams_out": core.datagrams_out, "bytes_out": core.bytes_out,
        "longest": core.longest_datagram, "refused": refused })
}
