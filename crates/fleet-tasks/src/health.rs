//! Shared health observation: each member is probed by the owner of its shard and by one backup, which tell the other
//! fronts. A front probes by itself once it receives nothing, hears no majority, or has had trouble with a member.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Shards that the members of a fleet are split into; each is one fleet task.
pub const SHARDS: u64 = 8;
/// The owner probes a member this many times within the tightest bound.
const PROBES_PER_BOUND: u32 = 2;
/// The backup probes this many times less often; it steps in when the owner falls silent.
const BACKUP_FACTOR: u32 = 6;
/// Members are probed for all fronts only where that takes less than this many probes per txn of the fleet. With few
/// txns for each member, fewer probes are needed when each front probes on demand.
const MAX_PROBES_PER_TXN: f64 = 0.25;
/// An observation is usable while 1 part in this many of the bound remains: a read that waits for it starts at once.
const MIN_REMAINING_DIVISOR: u32 = 10;
/// A position further ahead of this front's clock is false, or one of the clocks is off.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(100);
/// Longest encoded update, in bytes.
const MAX_UPDATE_BYTES: usize = 150;

/// What a member has reported of itself, dated by the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Time since 1970 up to which it has applied every commit.
    pub position: Duration,
    pub primary: Option<bool>,
    /// Txns waiting there.
    pub queue: Option<u16>,
    /// Busy share of its cores, in percent.
    pub busy: Option<u8>,
}

/// Whether a front probes the members of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeRole {
    /// It receives the observations of others.
    #[default]
    Receiver,
    /// It is the owner's backup.
    Backup,
    Owner,
}

#[derive(Clone, Debug, Default)]
struct MemberState {
    /// Hash of its id, and its shard; none for a member that has left.
    identity: Option<(u64, usize)>,
    observation: Option<Observation>,
    /// When the observation arrived.
    received_at: Duration,
    /// This front's own last attempt failed: observations of others do not show that it reaches the member.
    failing: bool,
    /// When this front probes it next, if it probes its shard.
    next_probe: Duration,
    /// An own observation that the others have not been sent.
    unsent: Option<Observation>,
}

/// One front's part in health observation; members have small indices.
#[derive(Clone, Debug)]
pub struct HealthObserver {
    bound: Duration,
    members: Vec<MemberState>,
    has_majority: bool,
    roles: [ProbeRole; SHARDS as usize],
    /// Shared probing takes fewer probes than probing by each front.
    worthwhile: bool,
    pub refused: u64,
}

impl HealthObserver {
    /// `bound`: the tightest bound on the age of reads.
    pub fn new(bound: Duration) -> HealthObserver {
        HealthObserver {
            bound,
            members: Vec::new(),
            has_majority: false,
            roles: Default::default(),
            worthwhile: false,
            refused: 0,
        }
    }

    /// How often [`HealthObserver::due_probes`] and [`HealthObserver::take_updates`] are to be called.
    pub fn probe_interval(&self) -> Duration {
        self.bound / PROBES_PER_BOUND / 4
    }

    /// Sets a member of the server list; `id` is the same at all fronts.
    pub fn set_member(&mut self, member: usize, id: &str) {
        if self.members.len() <= member {
            self.members.resize_with(member + 1, MemberState::default);
        }
        let shard = juniperdock_lease::shard(id, SHARDS) as usize;
        let identity = Some((xxh3_64(id.as_bytes()), shard));
        if self.members[member].identity != identity {
            self.members[member] = MemberState { identity, ..MemberState::default() };
        }
    }

    /// Removes a member that has left the server list.
    pub fn remove_member(&mut self, member: usize) {
        if let Some(known) = self.members.get_mut(member) {
            *known = MemberState::default();
        }
    }

    /// Sets whether this front hears a majority, its role for each shard, and the txns per second of the fleet: the
    /// front's own rate times the number of present fronts.
    pub fn update_view(&mut self, has_majority: bool, roles: [ProbeRole; SHARDS as usize], rate: f64) {
        (self.has_majority, self.roles) = (has_majority, roles);
        let identity = self.members.iter().filter(|known| known.identity.is_some()).count() as f64;
        let probes = identity * f64::from(PROBES_PER_BOUND) * (1.0 + 1.0 / f64::from(BACKUP_FACTOR));
        self.worthwhile = probes < MAX_PROBES_PER_TXN * rate * self.bound.as_secs_f64();
    }

    fn probes_shard(&self, shard: usize) -> bool {
        self.has_majority && self.worthwhile && self.roles[shard] != ProbeRole::Receiver
    }

    /// Members that this front is to probe now on behalf of all.
    pub fn due_probes(&mut self, now: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for member in 0..self.members.len() {
            let Some((_, shard)) = self.members[member].identity else { continue };
            if self.probes_shard(shard) && self.members[member].next_probe <= now {
                let factor = if self.roles[shard] == ProbeRole::Owner { 1 } else { BACKUP_FACTOR };
                self.members[member].next_probe = now + self.bound / PROBES_PER_BOUND * factor;
                due.push(member);
            }
        }
        due
    }

    /// Records the result of this front's own probe of a member.
    pub fn record_probe(&mut self, member: usize, answer: Option<Observation>) {
        let Some(known) = self.members.get_mut(member) else { return };
        known.failing = answer.is_none();
        if let Some(observation) = answer {
            known.unsent = Some(observation);
        }
    }

    /// Records that an attempt of this front at the member failed.
    pub fn record_failure(&mut self, member: usize) {
        if let Some(known) = self.members.get_mut(member) {
            known.failing = true;
        }
    }

    /// The observation that may replace a probe by this front; `unix`: now, since 1970. None if the owner of the shard
    /// is silent, if the observation is too old to read by, or if only other fronts reach the member.
    pub fn fresh_observation(&self, now: Duration, unix: Duration, member: usize) -> Option<Observation> {
        let known = self.members.get(member)?;
        let (_, shard) = known.identity?;
        let observation = known
            .observation
            .filter(|_| self.has_majority && self.roles[shard] == ProbeRole::Receiver && !known.failing)?;
        let recent = now < known.received_at + self.bound;
        let fresh = unix + self.bound / MIN_REMAINING_DIVISOR < observation.position + self.bound;
        (recent && fresh).then_some(observation)
    }

    /// Takes the unsent observations of a shard's members, encoded in pieces that fit into a message.
    pub fn take_updates(&mut self, shard: usize) -> Vec<Vec<u8>> {
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        if !self.probes_shard(shard) {
            return pieces;
        }
        for known in &mut self.members {
            let Some((key, _)) = known.identity.filter(|&(_, its)| its == shard) else { continue };
            let Some(observation) = known.unsent.take() else { continue };
            let role = observation.primary.map_or(0u8, |primary| 2 - u8::from(primary));
            let ms = observation.position.as_millis() as u64;
            let bytes =
                postcard::to_allocvec(&(key.to_le_bytes(), ms, role, observation.queue, observation.busy));
            let bytes = bytes.unwrap_or_default();
            match pieces.last_mut().filter(|piece| piece.len() + bytes.len() <= MAX_UPDATE_BYTES) {
                Some(piece) => piece.extend(bytes),
                None => pieces.push(bytes),
            }
        }
        pieces
    }

    /// The shards whose members this front probes.
    pub fn probed_shards(&self) -> impl Iterator<Item = (usize, ProbeRole)> + '_ {
        let all = self.roles.iter().copied().enumerate();
        all.filter(|&(_, role)| self.has_majority && role != ProbeRole::Receiver)
    }

    /// Applies observations of another front. Only members of this front's own list count, and only positions that are
    /// not in the future. On error, what came before the malformed part has taken effect.
    pub fn apply_updates(
        &mut self,
        now: Duration,
        unix: Duration,
        mut piece: &[u8],
    ) -> Result<usize, &'static str> {
        let mut updated = 0;
        while !piece.is_empty() {
            type Encoded = ([u8; 8], u64, u8, Option<u16>, Option<u8>);
            let ((key, ms, role, queue, busy), rest) =
                postcard::take_from_bytes::<Encoded>(piece).map_err(|_| "malformed observations")?;
            piece = rest;
            let key = u64::from_le_bytes(key);
            let position = Duration::from_millis(ms);
            if position > unix + MAX_CLOCK_LEAD || role > 2 {
                self.refused += 1;
                continue;
            }
            let primary = [None, Some(true), Some(false)][usize::from(role)];
            let its = |known: &&mut MemberState| known.identity.is_some_and(|(identity, _)| identity == key);
            let Some(known) = self.members.iter_mut().find(its) else { continue };
            // A position never goes back: an older one is late.
            if known.observation.is_none_or(|observation| observation.position <= position) {
                known.observation = Some(Observation { position, primary, queue, busy });
                known.received_at = now;
                updated += 1;
            }
        }
        Ok(updated)
    }
}
