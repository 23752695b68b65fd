//! A UDP relay between every two fronts, with a socket for each direction, so that datagrams can be dropped, delayed,
//! duplicated, corrupted, replayed, forged or cut off in one direction alone.

use juniperdock_emulator::Stream;
use juniperdock_membership::{Event, Host, Keys, Membership, NEWEST_VERSION, Timing};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The number of past datagrams kept per link for replay.
const REPLAY_BUFFER: usize = 32;
/// How far the incarnation in a forged datagram exceeds that of the front it claims to come from.
pub const FORGED_INCARNATION_OFFSET: u32 = 6_000;

/// The faults of one link (one direction between two fronts).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// The number of faults that currently cut the link.
    pub cut: u32,
    /// Shares of datagrams.
    pub lost: f64,
    pub doubled: f64,
    pub bent: f64,
    /// The maximum delay. Delays are random, so datagrams may be reordered.
    pub late: Duration,
    /// Old and forged datagrams per second.
    pub replayed: f64,
    pub forged: f64,
}

/// Datagrams sent over one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkCounters {
    pub honest: u64,
    pub injected: u64,
}

pub struct RelayState {
    fronts: usize,
    links: Vec<LinkFaults>,
    counters: Vec<LinkCounters>,
    pub longest: usize,
    stopped: bool,
}

/// The relay for all links; clones share it.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Mutex<RelayState>>,
    /// `at[i][j]` is the address to which front i sends datagrams for front j.
    pub at: Vec<Vec<SocketAddr>>,
}

struct Forger {
    core: Membership,
    begun: Instant,
    due: Duration,
}

#[derive(Default)]
struct CollectedDatagrams(Vec<Vec<u8>>);

impl Host for CollectedDatagrams {
    fn send(&mut self, _: usize, datagram: &[u8]) {
        self.0.push(datagram.to_vec());
    }
    fn event(&mut self, _: Event) {}
}

/// The time to forward a delayed datagram, a sequence number, sender, receiver, and the bytes.
type DelayedDatagram = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

impl Relay {
    /// Opens the links between fronts that listen at these addresses.
    pub fn open(ip: IpAddr, listen: &[SocketAddr], seed: u64) -> Result<Relay, String> {
        let n = listen.len();
        let failed = |e: std::io::Error| format!("a relay: {e}");
        let poll = Poll::new().map_err(failed)?;
        let mut sockets = Vec::new();
        let mut at = vec![Vec::new(); n];
        for (i, row) in at.iter_mut().enumerate() {
            for j in 0..n {
                let mut socket = UdpSocket::bind(SocketAddr::new(ip, 0)).map_err(failed)?;
                row.push(socket.local_addr().map_err(failed)?);
                if i != j {
                    poll.registry()
                        .register(&mut socket, Token(i * n + j), Interest::READABLE)
                        .map_err(failed)?;
                }
                sockets.push(socket);
            }
        }
        let links = vec![LinkFaults::default(); n * n];
        let counters = vec![LinkCounters::default(); n * n];
        let shared =
            Arc::new(Mutex::new(RelayState { fronts: n, links, counters, longest: 0, stopped: false }));
        let relay_thread = RelayThread {
            n,
            listen: listen.to_vec(),
            sockets,
            shared: shared.clone(),
            late: BinaryHeap::new(),
            number: 0,
            replay_buffers: vec![VecDeque::new(); n * n],
            forgers: (0..n * n).map(|_| None).collect(),
            random: Stream::of(seed, "ways", 0),
        };
        std::thread::spawn(move || relay_thread.run(poll));
        Ok(Relay { shared, at })
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults of a link.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkFaults)) {
        let mut state = self.lock();
        let at = from * state.fronts + to;
        change(&mut state.links[at]);
    }

    /// The datagrams sent from one front to another so far.
    pub fn counters(&self, from: usize, to: usize) -> LinkCounters {
        let state = self.lock();
        state.counters[from * state.fronts + to]
    }

    pub fn longest(&self) -> usize {
        self.lock().longest
    }

    pub fn end(&self) {
        self.lock().stopped = true;
    }
}

struct RelayThread {
    n: usize,
    listen: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<RelayState>>,
    late: BinaryHeap<DelayedDatagram>,
    number: u64,
    replay_buffers: Vec<VecDeque<Vec<u8>>>,
    forgers: Vec<Option<Forger>>,
    random: Stream,
}

impl RelayThread {
    fn run(mut self, mut poll: Poll) {
        let mut events = Events::with_capacity(1024);
        let mut buffer = [0; 2048];
        let mut last_injection = Instant::now();
        loop {
            let wait = self.late.peek().map_or(Duration::from_millis(5), |Reverse((at, ..))| {
                at.saturating_duration_since(Instant::now()).min(Duration::from_millis(5))
            });
            let _ = poll.poll(&mut events, Some(wait));
            for event in &events {
                let Token(link) = event.token();
                while let Ok((length, _)) = self.sockets[link].recv_from(&mut buffer) {
                    self.receive(link, &buffer[..length]);
                }
            }
            let now = Instant::now();
            while self.late.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                if let Some(Reverse((_, _, from, to, bytes))) = self.late.pop() {
                    self.forward(from, to, &bytes);
                }
            }
            let span = now - last_injection;
            if span >= Duration::from_millis(5) {
                last_injection = now;
                if self.inject(span.as_secs_f64()) {
                    return;
                }
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends from the socket that the receiver uses to reach the sender, so that the source address matches.
    fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[to * self.n + from].send_to(bytes, self.listen[to]);
    }

    fn receive(&mut self, at: usize, bytes: &[u8]) {
        let (from, to) = (at / self.n, at % self.n);
        let link = {
            let mut state = self.state();
            state.longest = state.longest.max(bytes.len());
            state.counters[at].honest += 1;
            state.links[at]
        };
        let replay_buffers = &mut self.replay_buffers[at];
        replay_buffers.push_back(bytes.to_vec());
        if replay_buffers.len() > REPLAY_BUFFER {
            replay_buffers.pop_front();
        }
        if link.cut > 0 || self.random.share() < link.lost {
            return;
        }
        let copies = 1 + usize::from(self.random.share() < link.doubled);
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if self.random.share() < link.bent {
                let bit = self.random.below(bytes.len() * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            if link.late.is_zero() {
                self.forward(from, to, &bytes);
            } else {
                let at = Instant::now() + link.late.mul_f64(self.random.share());
                self.number += 1;
                self.late.push(Reverse((at, self.number, from, to, bytes)));
            }
        }
    }

    /// Injects the replayed and forged datagrams due since the last call; true once the relay has stopped.
    fn inject(&mut self, seconds: f64) -> bool {
        let (stopped, links) = {
            let state = self.state();
            (state.stopped, state.links.clone())
        };
        for (at, link) in links.into_iter().enumerate() {
            let (from, to) = (at / self.n, at % self.n);
            let mut times = |rate: f64| {
                let expected = rate * seconds;
                expected as usize + usize::from(self.random.share() < expected.fract())
            };
            let (replays, forgeries) = (times(link.replayed), times(link.forged));
            for _ in 0..replays.min(self.replay_buffers[at].len()) {
                let old = self.random.below(self.replay_buffers[at].len());
                let bytes = self.replay_buffers[at][old].clone();
                // Some go to a front that they were not addressed to.
                let to = if self.random.share() < 0.3 { self.random.below(self.n) } else { to };
                if to != from {
                    self.forward(from, to, &bytes);
                }
            }
            let forged = if forgeries > 0 { self.forge_datagrams(from, to) } else { Vec::new() };
            for copy in 0..forgeries {
                if let Some(bytes) = forged.get(copy % forged.len().max(1)) {
                    self.forward(from, to, bytes);
                }
            }
            if replays + forgeries > 0 {
                self.state().counters[at].injected += (replays + forgeries) as u64;
            }
        }
        stopped
    }

    /// Well-formed datagrams in a front's name, of a later incarnation, made with a wrong key.
    fn forge_datagrams(&mut self, from: usize, to: usize) -> Vec<Vec<u8>> {
        let (n, at) = (self.n, from * self.n + to);
        let seed = self.random.number();
        let forger = self.forgers[at].get_or_insert_with(|| {
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let incarnation = juniperdock_membership::incarnation_at(unix) + FORGED_INCARNATION_OFFSET;
            let keys = Keys::parse(&["0f".repeat(32)]).expect("a key, though not theirs");
            let times = Timing::with_period(Duration::from_millis(50));
            let core = Membership::new(from, n, incarnation, seed, NEWEST_VERSION, times, keys);
            Forger { core, begun: Instant::now(), due: Duration::ZERO }
        });
        let mut sent = CollectedDatagrams::default();
        forger.due = forger.due.max(forger.begun.elapsed()) + Duration::from_millis(50);
        forger.core.handle_timeout(forger.due, &mut sent);
        sent.0
    }
}
