//! Asking members: each is asked by the owner of its part of the fleet and by one other, who tell the rest. A front
//! asks by itself as soon as it is told nothing, does not hear a majority, or has itself had trouble with a member.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Parts that the members of a fleet are split into: each is one duty.
pub const SHARDS: u64 = 8;
/// The owner asks a member so many times within the tightest bound.
const ASKS_PER_BOUND: u32 = 2;
/// The one beside it asks so many times less often: it is there for when the owner falls silent.
const BESIDE: u32 = 6;
/// Members are asked for all only where that takes less than so many probes a txn of the fleet: where there are few
/// txns for each member, it takes fewer when each front asks for what it needs.
const PER_TXN: f64 = 0.25;
/// A fact is of use while this part of the bound is left of it: a read that waits for it goes at once.
const LEFT: u32 = 10;
/// A position that is so far ahead of the own clock is a lie, or one of the clocks is off.
const AHEAD: Duration = Duration::from_millis(100);
/// The most bytes of facts that are told at once.
const TOLD: usize = 150;

/// What a member has said of itself, with its own date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Since 1970: it has applied every commit up to here.
    pub position: Duration,
    pub primary: Option<bool>,
    /// Txns waiting there.
    pub queue: Option<u16>,
    /// Busy share of its cores, in parts of a hundred.
    pub busy: Option<u8>,
}

/// Whether a front asks the members of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeRole {
    /// It is told.
    #[default]
    No,
    /// It is the one beside the owner.
    Beside,
    Owner,
}

#[derive(Clone, Debug, Default)]
struct Known {
    /// What it is called between fronts, and its part; none for one that has left.
    named: Option<(u64, usize)>,
    fact: Option<Observation>,
    /// When the fact came.
    came: Duration,
    /// This front's own last try there failed: others' words do not show that it reaches the member.
    failing: bool,
    /// When it is asked next, if this front cares for it.
    due: Duration,
    /// A report of its own that the others have not been told.
    untold: Option<Observation>,
}

/// One front's part of it, members by small indices.
#[derive(Clone, Debug)]
pub struct HealthObserver {
    bound: Duration,
    members: Vec<Known>,
    whole: bool,
    asks: [ProbeRole; SHARDS as usize],
    /// It takes fewer probes than when each front asks for itself.
    worth: bool,
    pub refused: u64,
}

impl HealthObserver {
    /// `bound`: the tightest bound on the age of reads.
    pub fn new(bound: Duration) -> HealthObserver {
        HealthObserver {
            bound,
            members: Vec::new(),
            whole: false,
            asks: Default::default(),
            worth: false,
            refused: 0,
        }
    }

    /// How often [`HealthObserver::due`] and [`HealthObserver::tell`] are to be called.
    pub fn probe_interval(&self) -> Duration {
        self.bound / ASKS_PER_BOUND / 4
    }

    /// The list has a member; `id` is the same at all fronts.
    pub fn set_member(&mut self, member: usize, id: &str) {
        if self.members.len() <= member {
            self.members.resize_with(member + 1, Known::default);
        }
        let shard = juniperdock_lease::shard(id, SHARDS) as usize;
        let named = Some((xxh3_64(id.as_bytes()), shard));
        if self.members[member].named != named {
            self.members[member] = Known { named, ..Known::default() };
        }
    }

    pub fn remove_member(&mut self, member: usize) {
        if let Some(known) = self.members.get_mut(member) {
            *known = Known::default();
        }
    }

    /// Whether this front hears a majority, what it does for which part, and how many txns a second there are: its
    /// own, times the fronts that are there.
    pub fn update_view(&mut self, whole: bool, asks: [ProbeRole; SHARDS as usize], rate: f64) {
        (self.whole, self.asks) = (whole, asks);
        let named = self.members.iter().filter(|known| known.named.is_some()).count() as f64;
        let probes = named * f64::from(ASKS_PER_BOUND) * (1.0 + 1.0 / f64::from(BESIDE));
        self.worth = probes < PER_TXN * rate * self.bound.as_secs_f64();
    }

    fn cares(&self, shard: usize) -> bool {
        self.whole && self.worth && self.asks[shard] != ProbeRole::No
    }

    /// Members that this front is to ask now on behalf of all.
    pub fn due_probes(&mut self, now: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for member in 0..self.members.len() {
            let Some((_, shard)) = self.members[member].named else { continue };
            if self.cares(shard) && self.members[member].due <= now {
                let seldom = if self.asks[shard] == ProbeRole::Owner { 1 } else { BESIDE };
                self.members[member].due = now + self.bound / ASKS_PER_BOUND * seldom;
                due.push(member);
            }
        }
        due
    }

    /// A member has answered this front's own question, or not.
    pub fn record_probe(&mut self, member: usize, answer: Option<Observation>) {
        let Some(known) = self.members.get_mut(member) else { return };
        known.failing = answer.is_none();
        if let Some(fact) = answer {
            known.untold = Some(fact);
        }
    }

    /// A txn of this front came to grief there.
    pub fn record_failure(&mut self, member: usize) {
        if let Some(known) = self.members.get_mut(member) {
            known.failing = true;
        }
    }

    /// What this front may take in place of asking by itself; `unix`: now, since 1970. Guards against silence of
    /// those who care, against facts too old to read by, and against members that only others reach.
    pub fn fresh_observation(&self, now: Duration, unix: Duration, member: usize) -> Option<Observation> {
        let known = self.members.get(member)?;
        let (_, shard) = known.named?;
        let fact =
            known.fact.filter(|_| self.whole && self.asks[shard] == ProbeRole::No && !known.failing)?;
        let lately = now < known.came + self.bound;
        let young = unix + self.bound / LEFT < fact.position + self.bound;
        (lately && young).then_some(fact)
    }

    /// What the others are to be told of a part's members, in pieces that fit.
    pub fn take_updates(&mut self, shard: usize) -> Vec<Vec<u8>> {
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        if !self.cares(shard) {
            return pieces;
        }
        for known in &mut self.members {
            let Some((key, _)) = known.named.filter(|&(_, its)| its == shard) else { continue };
            let Some(fact) = known.untold.take() else { continue };
            let role = fact.primary.map_or(0u8, |primary| 2 - u8::from(primary));
            let ms = fact.position.as_millis() as u64;
            let bytes = postcard::to_allocvec(&(key.to_le_bytes(), ms, role, fact.queue, fact.busy));
            let bytes = bytes.unwrap_or_default();
            match pieces.last_mut().filter(|piece| piece.len() + bytes.len() <= TOLD) {
                Some(piece) => piece.extend(bytes),
                None => pieces.push(bytes),
            }
        }
        pieces
    }

    /// Parts whose members this front asks.
    pub fn probed_shards(&self) -> impl Iterator<Item = (usize, ProbeRole)> + '_ {
        let all = self.asks.iter().copied().enumerate();
        all.filter(|&(_, asks)| self.whole && asks != ProbeRole::No)
    }

    /// Another front has told what members said. Only members that the own list names count, and only positions
    /// that are not of the future. The error: it can't be read; what stood before the fault counts.
    pub fn apply_updates(
        &mut self,
        now: Duration,
        unix: Duration,
        mut piece: &[u8],
    ) -> Result<usize, &'static str> {
        let mut news = 0;
        while !piece.is_empty() {
            type Told = ([u8; 8], u64, u8, Option<u16>, Option<u8>);
            let ((key, ms, role, queue, busy), rest) =
                postcard::take_from_bytes::<Told>(piece).map_err(|_| "facts can't be read")?;
            piece = rest;
            let key = u64::from_le_bytes(key);
            let position = Duration::from_millis(ms);
            if position > unix + AHEAD || role > 2 {
                self.refused += 1;
                continue;
            }
            let primary = [None, Some(true), Some(false)][usize::from(role)];
            let its = |known: &&mut Known| known.named.is_some_and(|(named, _)| named == key);
            let Some(known) = self.members.iter_mut().find(its) else { continue };
            // A position never goes back: one that is older came late.
            if known.fact.is_none_or(|fact| fact.position <= position) {
                known.fact = Some(Observation { position, primary, queue, busy });
                known.came = now;
                news += 1;
            }
        }
        Ok(news)
    }
}
