//! What lies between each two fronts: a socket for each direction, so that what one sends to another can be
//! lost, delayed, doubled, bent, replayed, forged or cut in one direction alone.

use juniperdock_emulator::Stream;
use juniperdock_membership::{Event, Host, Keys, Membership, NEWEST_VERSION, Timing};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Datagrams of each way that are kept, to be sent again.
const KEPT: usize = 32;
/// A forger says this much more of its life than the front that it claims to be.
pub const FORGED_LIFE: u32 = 6_000;

/// What becomes of datagrams on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// So many troubles cut it.
    pub cut: u32,
    /// Shares.
    pub lost: f64,
    pub doubled: f64,
    pub bent: f64,
    /// So much later, at most; what is sent later may come earlier.
    pub late: Duration,
    /// Old ones, and forged ones, a second.
    pub replayed: f64,
    pub forged: f64,
}

/// What has gone by one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Went {
    pub honest: u64,
    pub injected: u64,
}

pub struct Ways {
    fronts: usize,
    ways: Vec<Way>,
    went: Vec<Went>,
    pub longest: usize,
    over: bool,
}

/// All of them; clones are the same.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Mutex<Ways>>,
    /// Where front i sends what is for front j.
    pub at: Vec<Vec<SocketAddr>>,
}

struct Forger {
    core: Membership,
    begun: Instant,
    due: Duration,
}

#[derive(Default)]
struct Sent(Vec<Vec<u8>>);

impl Host for Sent {
    fn send(&mut self, _: usize, datagram: &[u8]) {
        self.0.push(datagram.to_vec());
    }
    fn event(&mut self, _: Event) {}
}

/// By when a datagram is to be sent on, then by its number.
type Late = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

impl Relay {
    /// Opens all ways between fronts that listen at these addresses.
    pub fn open(ip: IpAddr, listen: &[SocketAddr], seed: u64) -> Result<Relay, String> {
        let n = listen.len();
        let failed = |e: std::io::Error| format!("a relay: {e}");
        let poll = Poll::new().map_err(failed)?;
        let mut sockets = Vec::new();
        let mut at = vec![Vec::new(); n];
        for (i, its) in at.iter_mut().enumerate() {
            for j in 0..n {
                let mut socket = UdpSocket::bind(SocketAddr::new(ip, 0)).map_err(failed)?;
                its.push(socket.local_addr().map_err(failed)?);
                if i != j {
                    poll.registry()
                        .register(&mut socket, Token(i * n + j), Interest::READABLE)
                        .map_err(failed)?;
                }
                sockets.push(socket);
            }
        }
        let ways = vec![Way::default(); n * n];
        let went = vec![Went::default(); n * n];
        let shared = Arc::new(Mutex::new(Ways { fronts: n, ways, went, longest: 0, over: false }));
        let carrier = Carrier {
            n,
            listen: listen.to_vec(),
            sockets,
            shared: shared.clone(),
            late: BinaryHeap::new(),
            number: 0,
            kept: vec![VecDeque::new(); n * n],
            forgers: (0..n * n).map(|_| None).collect(),
            chance: Stream::of(seed, "ways", 0),
        };
        std::thread::spawn(move || carrier.run(poll));
        Ok(Relay { shared, at })
    }

    fn lock(&self) -> MutexGuard<'_, Ways> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what becomes of datagrams on a way.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut Way)) {
        let mut ways = self.lock();
        let at = from * ways.fronts + to;
        change(&mut ways.ways[at]);
    }

    /// What has gone from one front to another so far.
    pub fn went(&self, from: usize, to: usize) -> Went {
        let ways = self.lock();
        ways.went[from * ways.fronts + to]
    }

    pub fn longest(&self) -> usize {
        self.lock().longest
    }

    pub fn end(&self) {
        self.lock().over = true;
    }
}

struct Carrier {
    n: usize,
    listen: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Ways>>,
    late: BinaryHeap<Late>,
    number: u64,
    kept: Vec<VecDeque<Vec<u8>>>,
    forgers: Vec<Option<Forger>>,
    chance: Stream,
}

impl Carrier {
    fn run(mut self, mut poll: Poll) {
        let mut events = Events::with_capacity(1024);
        let mut buffer = [0; 2048];
        let mut looked = Instant::now();
        loop {
            let wait = self.late.peek().map_or(Duration::from_millis(5), |Reverse((at, ..))| {
                at.saturating_duration_since(Instant::now()).min(Duration::from_millis(5))
            });
            let _ = poll.poll(&mut events, Some(wait));
            for event in &events {
                let Token(way) = event.token();
                while let Ok((length, _)) = self.sockets[way].recv_from(&mut buffer) {
                    self.carry(way, &buffer[..length]);
                }
            }
            let now = Instant::now();
            while self.late.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                if let Some(Reverse((_, _, from, to, bytes))) = self.late.pop() {
                    self.hand_on(from, to, &bytes);
                }
            }
            let span = now - looked;
            if span >= Duration::from_millis(5) {
                looked = now;
                if self.inject(span.as_secs_f64()) {
                    return;
                }
            }
        }
    }

    fn ways(&self) -> MutexGuard<'_, Ways> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// To a front it comes from the address at which that front reaches its sender.
    fn hand_on(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[to * self.n + from].send_to(bytes, self.listen[to]);
    }

    fn carry(&mut self, at: usize, bytes: &[u8]) {
        let (from, to) = (at / self.n, at % self.n);
        let way = {
            let mut ways = self.ways();
            ways.longest = ways.longest.max(bytes.len());
            ways.went[at].honest += 1;
            ways.ways[at]
        };
        let kept = &mut self.kept[at];
        kept.push_back(bytes.to_vec());
        if kept.len() > KEPT {
            kept.pop_front();
        }
        if way.cut > 0 || self.chance.share() < way.lost {
            return;
        }
        let copies = 1 + usize::from(self.chance.share() < way.doubled);
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if self.chance.share() < way.bent {
                let bit = self.chance.below(bytes.len() * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            if way.late.is_zero() {
                self.hand_on(from, to, &bytes);
            } else {
                let at = Instant::now() + way.late.mul_f64(self.chance.share());
                self.number += 1;
                self.late.push(Reverse((at, self.number, from, to, bytes)));
            }
        }
    }

    /// Sends old and forged ones of the time since the last call; true once all is over.
    fn inject(&mut self, seconds: f64) -> bool {
        let (over, ways) = {
            let ways = self.ways();
            (ways.over, ways.ways.clone())
        };
        for (at, way) in ways.into_iter().enumerate() {
            let (from, to) = (at / self.n, at % self.n);
            let mut times = |rate: f64| {
                let expected = rate * seconds;
                expected as usize + usize::from(self.chance.share() < expected.fract())
            };
            let (replays, forgeries) = (times(way.replayed), times(way.forged));
            for _ in 0..replays.min(self.kept[at].len()) {
                let old = self.chance.below(self.kept[at].len());
                let bytes = self.kept[at][old].clone();
                // Now and then to another front than the one that it was for.
                let to = if self.chance.share() < 0.3 { self.chance.below(self.n) } else { to };
                if to != from {
                    self.hand_on(from, to, &bytes);
                }
            }
            let forged = if forgeries > 0 { self.forge(from, to) } else { Vec::new() };
            for copy in 0..forgeries {
                if let Some(bytes) = forged.get(copy % forged.len().max(1)) {
                    self.hand_on(from, to, bytes);
                }
            }
            if replays + forgeries > 0 {
                self.ways().went[at].injected += (replays + forgeries) as u64;
            }
        }
        over
    }

    /// What somebody without a key would say in a front's name: well-formed, and of a later life.
    fn forge(&mut self, from: usize, to: usize) -> Vec<Vec<u8>> {
        let (n, at) = (self.n, from * self.n + to);
        let seed = self.chance.number();
        let forger = self.forgers[at].get_or_insert_with(|| {
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let life = juniperdock_membership::incarnation_at(unix) + FORGED_LIFE;
            let keys = Keys::parse(&["0f".repeat(32)]).expect("a key, though not theirs");
            let times = Timing::with_period(Duration::from_millis(50));
            let core = Membership::new(from, n, life, seed, NEWEST_VERSION, times, keys);
            Forger { core, begun: Instant::now(), due: Duration::ZERO }
        });
        let mut sent = Sent::default();
        forger.due = forger.due.max(forger.begun.elapsed()) + Duration::from_millis(50);
        forger.core.handle_timeout(forger.due, &mut sent);
        sent.0
    }
}
