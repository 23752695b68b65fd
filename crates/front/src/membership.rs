//! The actor that exchanges datagrams with the other fronts over one socket. It connects `juniperdock_membership` to
//! the socket, the clock, the log and the operators.

use crate::clock::{Clock, TimerHandle};
use crate::counters::Counters;
use crate::fleet_tasks::FleetTasks;
use crate::messages::{DispatcherMessage, MembershipMessage, UpgradeFn};
use juniperdock_connection::{DatagramSocket, Waker, spawn, yield_now};
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

/// Datagrams read before other coroutines get to run.
const READ_BATCH: usize = 32;
/// The answer while fleet tasks are off.
pub const TASKS_OFF: &str = "fleet tasks are off: see fellows.duties in the operators' file";
/// How often binding an address that is in use is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the key files.
pub fn read_keys(paths: &[PathBuf]) -> Result<Keys, String> {
    let text = |path: &PathBuf| {
        std::fs::read_to_string(path).map_err(|e| format!("fellows.keys: {}: {e}", path.display()))
    };
    let texts = paths.iter().map(text).collect::<Result<Vec<_>, _>>()?;
    Keys::parse(&texts).map_err(|why| format!("fellows.keys: {why}"))
}

/// Sends messages to the actor; they wait until it has a socket.
#[derive(Clone)]
pub struct Handle(Sender<MembershipMessage>, Arc<Mutex<Option<Waker>>>);

impl Handle {
    /// Sends a message and wakes the actor.
    pub fn send(&self, message: MembershipMessage) {
        let _ = self.0.send(message);
        let waker = self.1.lock().unwrap_or_else(PoisonError::into_inner).clone();
        waker.iter().for_each(Waker::wake);
    }
}

/// What the actor needs to start; a peer has no address if its name is not known.
pub struct Setup {
    pub me: usize,
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Vec<Option<SocketAddr>>,
    pub config: operator_config::MembershipConfig,
    pub keys: Keys,
    pub seed: u64,
    pub dispatcher: Sender<DispatcherMessage>,
}

struct Actor {
    setup: Setup,
    places: HashMap<SocketAddr, usize>,
    clock: Clock,
    counters: Arc<Counters>,
    log: slog::Logger,
    messages: Receiver<MembershipMessage>,
    waker: Arc<Mutex<Option<Waker>>>,
    /// The incarnation that this process last took.
    incarnation: u32,
    handle: Handle,
    upgrade: Option<UpgradeFn>,
    /// The rolling upgrade in which this front could not be upgraded.
    failed_upgrade: u64,
}

/// Carries out what the membership asks for.
pub struct MembershipIo<'a> {
    post: &'a DatagramSocket,
    peers: &'a [Option<SocketAddr>],
    counters: &'a Counters,
    log: &'a slog::Logger,
    /// Bodies for the fleet tasks, each with its sender.
    bodies: Vec<(usize, Vec<u8>)>,
    handle: &'a Handle,
}

impl MembershipIo<'_> {
    /// A handle to this actor.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

impl Host for MembershipIo<'_> {
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
            Event::Restarted(front) => slog::info!(self.log, "peer restarted"; "front" => front),
            Event::Rejoined => slog::warn!(self.log, "peers declared this front dead, it rejoined"),
            Event::ConnectivityChanged(connectivity) => {
                slog::info!(self.log, "standing"; "standing" => connectivity.name())
            }
            Event::Stalled(span) => {
                self.counters.standstills.add();
                slog::warn!(self.log, "this front stalled"; "ms" => span.as_millis() as u64);
            }
        }
    }
}

/// Starts the actor.
pub fn start(
    setup: Setup,
    clock: Clock,
    counters: Arc<Counters>,
    log: slog::Logger,
    stack: usize,
) -> Result<Handle, String> {
    let (send, messages) = channel();
    let waker = Arc::new(Mutex::new(None));
    let places = setup.peers.iter().enumerate().filter_map(|(i, at)| Some(((*at)?, i))).collect();
    let handle = Handle(send, waker.clone());
    let sent = handle.clone();
    let actor = Actor {
        setup,
        places,
        clock,
        counters,
        log,
        messages,
        waker,
        incarnation: 0,
        handle,
        upgrade: None,
        failed_upgrade: 0,
    };
    spawn("fellows", stack, move || actor.run())?;
    Ok(sent)
}

impl Actor {
    fn run(mut self) {
        let mut bind_failure_logged = false;
        loop {
            let post = match DatagramSocket::open(self.setup.listen) {
                Ok(post) => post,
                Err(why) => {
                    // The previous process may still have the address.
                    if !std::mem::replace(&mut bind_failure_logged, true) {
                        slog::error!(self.log, "the peer address can't be bound, retrying"; "why" => why);
                    }
                    let (wake, woken) = channel();
                    self.clock.run_at(self.clock.now() + BIND_RETRY_INTERVAL, move || {
                        let _ = wake.send(());
                    });
                    let _ = woken.recv();
                    continue;
                }
            };
            bind_failure_logged = false;
            *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = Some(post.waker());
            let done = catch_unwind(AssertUnwindSafe(|| self.run_protocol(&post)));
            *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = None;
            drop(post);
            match done {
                // It has left: until it is told to join again, or for good.
                Ok(()) => loop {
                    match self.messages.recv() {
                        Ok(MembershipMessage::Join) => break,
                        Ok(MembershipMessage::Status(reply)) => drop(reply.try_send(json!({ "left": true }))),
                        Ok(MembershipMessage::SetKeys(keys)) => self.setup.keys = keys,
                        Ok(MembershipMessage::FleetTasks(reply)) => drop(reply.try_send(json!([]))),
                        Ok(MembershipMessage::SetUpgrade(upgrade)) => self.upgrade = Some(upgrade),
                        Ok(MembershipMessage::UpgradeFailed(number)) => self.failed_upgrade = number,
                        Ok(
                            MembershipMessage::ChangePrimary { reply, .. }
                            | MembershipMessage::RollingUpgrade { reply, .. },
                        ) => {
                            drop(reply.try_send(Err("this front has left the fleet".to_owned())));
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

    fn new_membership(&mut self) -> Membership {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.incarnation = incarnation_at(unix).max(self.incarnation + 1);
        let Setup { me, peers, config, keys, seed, .. } = &self.setup;
        let timing = Timing::with_period(Duration::from_millis(config.every_ms));
        Membership::new(*me, peers.len(), self.incarnation, *seed, config.speaks, timing, keys.clone())
    }

    /// Runs the protocol until the front is to leave.
    fn run_protocol(&mut self, post: &DatagramSocket) {
        let mut membership = self.new_membership();
        let (started, clock) = (self.clock.now(), self.clock.clone());
        let mut read_clock = move || clock.now() - started;
        let mut tasks = self.setup.config.duties.then(|| self.new_fleet_tasks(&membership));
        let waker = post.waker();
        let mut timer: Option<(Duration, TimerHandle)> = None;
        // One byte more than the longest datagram, so that a longer one is detected.
        let mut buffer = [0; juniperdock_membership::MAX_DATAGRAM_BYTES + 1];
        loop {
            let Actor { setup, counters, log, .. } = &*self;
            let (bodies, handle) = (Vec::new(), &self.handle);
            let mut io = MembershipIo { post, peers: &setup.peers, counters, log, bodies, handle };
            let mut read = 0;
            while read < READ_BATCH
                && let Some((length, from)) = post.receive(&mut buffer)
            {
                read += 1;
                counters.fellows_in.add();
                let now = read_clock();
                let taken = match self.places.get(&from) {
                    Some(&place) => membership.handle_datagram(now, place, &buffer[..length], &mut io),
                    None => {
                        membership.unknown_sender();
                        Err(Refused::WrongSender)
                    }
                };
                if let Err(why) = taken {
                    counters.fellows_refused.add();
                    slog::debug!(log, "datagram refused"; "from" => %from, "why" => why.name());
                }
                for (front, body) in std::mem::take(&mut io.bodies) {
                    tasks
                        .iter_mut()
                        .for_each(|tasks| tasks.handle_payload(now, front, &body, &mut membership, &mut io));
                }
            }
            let (mut leaving, mut new_keys, mut upgrade, mut failed_upgrade) = (false, None, None, None);
            while let Ok(message) = self.messages.try_recv() {
                let now = read_clock();
                match (message, &mut tasks) {
                    (MembershipMessage::Status(reply), _) => {
                        drop(reply.try_send(status(&membership, &setup.name, now)))
                    }
                    (MembershipMessage::SetKeys(keys), _) => {
                        membership.set_keys(keys.clone());
                        new_keys = Some(keys);
                    }
                    (MembershipMessage::Leave, _) => leaving = true,
                    (MembershipMessage::Observations { every, pieces }, Some(tasks)) => {
                        tasks.share_observations(every, pieces, &mut read_clock, &mut membership, &mut io);
                    }
                    (MembershipMessage::ChangeProgress { group, order, step }, Some(tasks)) => {
                        tasks.report_progress(now, group, order, step, &mut membership, &mut io);
                    }
                    (MembershipMessage::ChangePrimary { group, successor, cancel, reply }, Some(tasks)) => {
                        tasks.order_move(now, setup.me, group, successor, cancel, reply);
                    }
                    (MembershipMessage::SetUpgrade(call), tasks) => {
                        tasks.iter_mut().for_each(|tasks| tasks.set_upgrade(call.clone()));
                        upgrade = Some(call);
                    }
                    (MembershipMessage::UpgradeFailed(number), tasks) => {
                        tasks.iter_mut().for_each(|tasks| tasks.set_failed_upgrade(number));
                        failed_upgrade = Some(number);
                    }
                    (MembershipMessage::RollingUpgrade { program, at_once, cancel, reply }, Some(tasks)) => {
                        let answer = tasks.order_upgrade(
                            now,
                            program.as_deref(),
                            at_once,
                            cancel,
                            &mut membership,
                            &mut io,
                        );
                        drop(reply.try_send(answer));
                    }
                    (MembershipMessage::FleetTasks(reply), Some(tasks)) => {
                        drop(reply.try_send(tasks.status(now)))
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
            if leaving {
                tasks.iter_mut().for_each(|tasks| tasks.leave(read_clock(), &mut membership, &mut io));
                membership.leave(read_clock(), &mut io);
                return;
            }
            membership.handle_timeout(read_clock(), &mut io);
            tasks.iter_mut().for_each(|tasks| tasks.run_due(&mut read_clock, &mut membership, &mut io));
            // One timer at a time.
            let next = membership
                .next_timeout()
                .min(tasks.as_ref().map_or(Duration::MAX, FleetTasks::next_timeout))
                .saturating_add(started);
            drop(io);
            if let Some(keys) = new_keys {
                self.setup.keys = keys;
            }
            self.upgrade = upgrade.or(self.upgrade.take());
            self.failed_upgrade = failed_upgrade.unwrap_or(self.failed_upgrade);
            if timer.as_ref().is_none_or(|(at, _)| *at != next) {
                timer.iter().for_each(|(_, old)| self.clock.cancel(old));
                let waker = waker.clone();
                timer = Some((next, self.clock.run_at(next, move || waker.wake())));
            }
            if read == READ_BATCH { yield_now() } else { post.wait() }
        }
    }

    fn new_fleet_tasks(&self, membership: &Membership) -> FleetTasks {
        let Setup { peers, config, seed, dispatcher, .. } = &self.setup;
        let period = Duration::from_millis(config.every_ms);
        let (dispatcher, counters, log) = (dispatcher.clone(), self.counters.clone(), self.log.clone());
        let mut tasks = FleetTasks::new(
            Duration::ZERO,
            membership,
            peers.len(),
            *seed,
            period,
            dispatcher,
            counters,
            log,
        );
        tasks.set_failed_upgrade(self.failed_upgrade);
        self.upgrade.iter().for_each(|upgrade| tasks.set_upgrade(upgrade.clone()));
        tasks
    }
}

/// The answer to `fleet status`.
fn status(membership: &Membership, name: &str, now: Duration) -> Value {
    let (connectivity, since) = membership.connectivity();
    let ago = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let front = |f: &juniperdock_membership::Peer| {
        json!({ "index": f.index, "state": f.liveness.name(), "incarnation": f.incarnation,
            "heard_ms_ago": f.last_received.map(ago), "says": f.reported.map(Connectivity::name) })
    };
    let refused: serde_json::Map<String, Value> = Refused::ALL
        .iter()
        .filter(|why| membership.refused[**why as usize] > 0)
        .map(|why| (why.name().to_owned(), membership.refused[*why as usize].into()))
        .collect();
    json!({ "me": membership.me(), "name": name, "incarnation": membership.incarnation(),
        "standing": connectivity.name(), "since_ms": ago(since), "view": membership.view_version(),
        "present": membership.present(), "fronts": membership.peers().iter().map(front).collect::<Vec<_>>(),
        "datagrams_in": membership.datagrams_in, "datagrams_out": membership.datagrams_out, "bytes_out": membership.bytes_out,
        "longest": membership.longest_datagram, "refused": refused })
}
