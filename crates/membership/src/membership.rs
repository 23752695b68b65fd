//! One front's part of the membership protocol.

use crate::datagram::{Head, Keys, MAX_BODY_BYTES, Refused, kind};
use crate::foca_rng::FocaRng;
use crate::peer_id::{MAX_INCARNATION, PeerId};
use crate::replay_window::ReplayWindow;
use bytes::{Buf, BufMut};
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, Notification, PeriodicParams, State, Timer,
};
use juniperdock_timer_wheel::TimerWheel;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Resolution of the timer wheel: timers fire at most this much late.
const TICK: Duration = Duration::from_millis(1);
/// Upper bound on the hellos whose replies are still accepted.
const MAX_PENDING_HELLOS: usize = 32;
/// Size of a survey, and the share of the cluster (1 in this many) whose failure starts one.
const SURVEY_SIZE: usize = 16;
const SURVEY_FAILED_DIVISOR: usize = 20;
/// Places of the cluster that one member query covers, 8 to a byte.
const MEMBER_QUERY_SPAN: usize = 1024;
/// Fronts that must have answered since this one was isolated, and hellos sent per period until then.
const REQUIRED_PROOFS: usize = 3;
/// Suspects that are sent a hello in each period.
const SUSPECTS_PER_PERIOD: usize = 2;
/// A front that counts as dead is sent a hello once in this many periods.
const PERIODS_PER_DEAD_HELLO: u32 = 6;
/// Periods without any datagram after which a front counts itself as isolated.
const SILENT_PERIODS: u32 = 4;
/// A timer late by 1 part in this many of a period shows that this front is slow; by a whole period, that it stalled.
const LATE_DIVISOR: u32 = 10;
/// Grades of slowness at most; each widens time-outs by their base value.
const MAX_SLOWNESS: u32 = 7;
/// Above this grade a front is slow.
const SLOW_ABOVE: u32 = 2;
/// Timers in time that lower the slowness by one grade.
const TIMELY_TIMERS: u32 = 16;
/// An incarnation above a remembered one is drawn at random from this many. Two processes of one place that learnt the
/// same incarnation, from fronts that do not hear each other, thus differ, as do their datagrams.
const INCARNATION_JUMP: u64 = 1024;
/// Datagrams accepted from one peer per second, and in one burst.
const DATAGRAMS_PER_SECOND: f64 = 100.0;
const DATAGRAM_BURST: f64 = 200.0;

/// How well a front is connected to the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// It has received nothing for a while, or nothing since it stalled.
    Isolated,
    /// It hears a minority of the configured cluster, itself included; or too few fronts since it was isolated.
    Minority,
    /// It hears a majority of the configured cluster.
    Majority,
}

impl Connectivity {
    /// The printed name.
    pub fn name(self) -> &'static str {
        match self {
            Connectivity::Isolated => "alone",
            Connectivity::Minority => "part",
            Connectivity::Majority => "whole",
        }
    }

    fn of(byte: u8) -> Option<Connectivity> {
        [Connectivity::Isolated, Connectivity::Minority, Connectivity::Majority]
            .get(usize::from(byte))
            .copied()
    }
}

/// The state of a front, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    Alive,
    Suspect,
    Dead,
    /// Not seen yet.
    Unknown,
}

impl Liveness {
    /// The printed name.
    pub fn name(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Dead => "dead",
            Liveness::Unknown => "unknown",
        }
    }
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Up(usize),
    Down(usize),
    /// The same place in a later incarnation.
    Restarted(usize),
    /// Others declared this front dead; it goes on under a later incarnation.
    Rejoined,
    ConnectivityChanged(Connectivity),
    /// This front did not run for this long.
    Stalled(Duration),
}

/// What is known of one front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    pub index: usize,
    pub liveness: Liveness,
    /// Its incarnation, higher with each start; 0 if none is known.
    pub incarnation: u32,
    /// When a datagram of its own was last accepted.
    pub last_received: Option<Duration>,
    /// The connectivity it last reported, from version 2 on.
    pub reported: Option<Connectivity>,
}

/// What the membership needs from its driver.
pub trait Host {
    fn send(&mut self, to: usize, datagram: &[u8]);
    fn event(&mut self, event: Event);
    /// A body of [`Membership::send_payload`] has come, authenticated and not replayed.
    fn deliver(&mut self, _from: usize, _body: &[u8]) {}
}

/// Periods that a suspect has to answer.
const SUSPICION_PERIODS: u32 = 3;

/// Timing of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Each front probes one other in every period.
    pub period: Duration,
    /// Periods that a suspect has to answer, before the cluster's size and the front's own slowness widen them.
    pub suspicion_periods: u32,
}

impl Timing {
    /// The timing that all drivers use for a period.
    pub fn with_period(period: Duration) -> Timing {
        Timing { period, suspicion_periods: SUSPICION_PERIODS }
    }
}

/// The library's codec with bounds: no place outside the cluster and no impossible incarnation gets into the state.
#[derive(Debug)]
struct BoundedCodec {
    cluster_size: u16,
}

#[derive(Debug)]
struct OutOfBounds;

impl std::fmt::Display for OutOfBounds {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("identity out of bounds")
    }
}

impl std::error::Error for OutOfBounds {}

impl BoundedCodec {
    fn check_identity(&self, who: &PeerId) -> Result<(), OutOfBounds> {
        let good = who.index < self.cluster_size && who.incarnation <= MAX_INCARNATION;
        if good { Ok(()) } else { Err(OutOfBounds) }
    }
}

impl Codec<PeerId> for BoundedCodec {
    type Error = OutOfBounds;

    fn encode_header(&mut self, header: &Header<PeerId>, buf: impl BufMut) -> Result<(), OutOfBounds> {
        foca::PostcardCodec.encode_header(header, buf).map_err(|_| OutOfBounds)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<PeerId>, OutOfBounds> {
        let header: Header<PeerId> = foca::PostcardCodec.decode_header(buf).map_err(|_| OutOfBounds)?;
        self.check_identity(&header.src)?;
        match &header.message {
            Message::PingReq { target: who, .. }
            | Message::IndirectPing { origin: who, .. }
            | Message::IndirectAck { target: who, .. }
            | Message::ForwardedAck { origin: who, .. } => self.check_identity(who)?,
            _ => {}
        }
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<PeerId>, buf: impl BufMut) -> Result<(), OutOfBounds> {
        foca::PostcardCodec.encode_member(member, buf).map_err(|_| OutOfBounds)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<PeerId>, OutOfBounds> {
        let member = foca::PostcardCodec.decode_member(buf).map_err(|_| OutOfBounds)?;
        self.check_identity(member.id())?;
        Ok(member)
    }
}

/// What the library asks for.
#[derive(Default)]
struct FocaOutput {
    sends: Vec<(PeerId, Vec<u8>)>,
    timers: Vec<(Duration, Timer<PeerId>)>,
    events: Vec<Event>,
}

impl foca::Runtime<PeerId> for &mut FocaOutput {
    fn notify(&mut self, notification: Notification<'_, PeerId>) {
        self.events.push(match notification {
            Notification::MemberUp(who) => Event::Up(who.index.into()),
            Notification::MemberDown(who) => Event::Down(who.index.into()),
            Notification::Rename(_, who) => Event::Restarted(who.index.into()),
            Notification::Rejoin(_) => Event::Rejoined,
            Notification::Active | Notification::Idle | Notification::Defunct => return,
        });
    }

    fn send_to(&mut self, to: PeerId, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<PeerId>, after: Duration) {
        self.timers.push((after, event));
    }
}

#[derive(Debug)]
enum TimerEvent {
    Swim(Timer<PeerId>),
    /// A suspect is to be declared dead; suspected since then.
    SuspicionTimeout(Timer<PeerId>, Duration),
    Hello,
}

/// State of each place of the cluster.
#[derive(Clone, Debug, Default)]
struct PeerState {
    incarnation: u32,
    window: ReplayWindow,
    last_received: Option<Duration>,
    reported: Option<Connectivity>,
    /// The incarnation, and the library's own counter, in which it is suspected while that time-out is pending.
    suspected: Option<(u32, u16)>,
    /// Token bucket of the rate limit: tokens left, and when they were last refilled.
    tokens: f64,
    refilled: Duration,
}

/// One front among its peers. All times are relative to the driver's start.
pub struct Membership {
    swim: Foca<PeerId, BoundedCodec, FocaRng, NoCustomBroadcast>,
    me: usize,
    cluster_size: usize,
    /// The first incarnation of this process: datagrams to an earlier one are refused.
    first_incarnation: u32,
    keys: Keys,
    version: u8,
    timing: Timing,
    rng: Rand64,
    number: u64,
    peers: Vec<PeerState>,
    timers: TimerWheel<(Duration, TimerEvent)>,
    /// Time in which this front did not run: no timer counts it.
    stalled: Duration,
    slowness: u32,
    timely_timers: u32,
    pending_hellos: VecDeque<u64>,
    hello_rounds: u32,
    /// Fronts that have answered a hello sent since this front was isolated.
    proven: Vec<usize>,
    /// The current survey: its hellos, how many were answered, and when it began.
    survey: (Vec<u64>, usize, Duration),
    /// Too few answered the last survey for a majority; and when the last survey that a majority answered began.
    survey_in_minority: bool,
    majority_confirmed: Option<Duration>,
    /// When the previous survey began, if a majority answered it.
    last_majority_sample: Option<Duration>,
    /// How many fronts were not alive at the last check, and until when surveys go on.
    last_failed: usize,
    surveys_until: Duration,
    /// The first place that the next member query covers.
    next_query_start: usize,
    last_received: Duration,
    left: bool,
    connectivity: Connectivity,
    since: Duration,
    view: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub longest_datagram: usize,
    pub refused: [u64; Refused::ALL.len()],
}

impl Membership {
    /// `me` of `cluster_size` fronts, from 0; `incarnation` from [`crate::incarnation_at`]; `version` is sent to all.
    pub fn new(
        me: usize,
        cluster_size: usize,
        incarnation: u32,
        seed: u64,
        version: u8,
        timing: Timing,
        keys: Keys,
    ) -> Membership {
        let cluster_size = cluster_size.clamp(1, usize::from(u16::MAX));
        let who = PeerId { index: me as u16, incarnation };
        let codec = BoundedCodec { cluster_size: cluster_size as u16 };
        let swim = Foca::new(
            who,
            foca_config(cluster_size, timing, 0),
            FocaRng(Rand64::new(u128::from(seed) << 1)),
            codec,
        );
        let mut membership = Membership {
            swim,
            me,
            cluster_size,
            first_incarnation: incarnation,
            keys,
            version,
            timing,
            // The seed is the same for all processes of a place.
            rng: Rand64::new(u128::from(incarnation) << 64 | u128::from(seed) << 1 | 1),
            number: 0,
            peers: vec![PeerState { tokens: DATAGRAM_BURST, ..PeerState::default() }; cluster_size],
            timers: TimerWheel::new(TICK),
            stalled: Duration::ZERO,
            slowness: 0,
            timely_timers: 0,
            pending_hellos: VecDeque::new(),
            hello_rounds: 0,
            proven: Vec::new(),
            survey: (Vec::new(), 0, Duration::ZERO),
            survey_in_minority: false,
            majority_confirmed: None,
            last_majority_sample: None,
            last_failed: 0,
            surveys_until: Duration::ZERO,
            next_query_start: 0,
            last_received: Duration::ZERO,
            left: false,
            connectivity: if cluster_size == 1 { Connectivity::Majority } else { Connectivity::Isolated },
            since: Duration::ZERO,
            view: 0,
            datagrams_in: 0,
            datagrams_out: 0,
            bytes_out: 0,
            longest_datagram: 0,
            refused: [0; Refused::ALL.len()],
        };
        // Spread out, where many fronts start together.
        let first = timing.period.mul_f64(membership.rng.rand_float() / 4.0);
        membership.timers.schedule(first, (first, TimerEvent::Hello));
        membership
    }

    /// When [`Membership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        self.timers.next_due().map_or(Duration::MAX, |at| at.saturating_add(self.stalled))
    }

    /// Runs all timers that are due.
    pub fn handle_timeout(&mut self, now: Duration, host: &mut impl Host) {
        self.detect_stall(now, host);
        if self.left {
            return;
        }
        while let Some((_, due)) = self.timers.pop_due(now - self.stalled) {
            match due {
                // A front that does not hear a majority may be cut off itself and must not declare others dead.
                // They stay suspects until a majority of the cluster has answered a survey that began after the
                // suspicion. So it has no false death to spread when it is back.
                TimerEvent::SuspicionTimeout(timer, since) if self.is_unconfirmed(&timer, since) => {
                    self.surveys_until = now + self.timing.period * 2 * SILENT_PERIODS;
                    let at = now - self.stalled + self.timing.period;
                    self.timers.schedule(at, (at, TimerEvent::SuspicionTimeout(timer, since)));
                }
                TimerEvent::Swim(timer) | TimerEvent::SuspicionTimeout(timer, _) => {
                    if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                        let suspected = &mut self.peers[usize::from(member_id.index)].suspected;
                        suspected.take_if(|of| *of == (member_id.incarnation, *incarnation));
                    }
                    let _ = self.with_foca(now, host, |swim, output| swim.handle_timer(timer, output));
                }
                TimerEvent::Hello => {
                    self.send_hellos(host);
                    self.run_survey(now, host);
                    self.query_members(host);
                    let at = now - self.stalled + self.timing.period;
                    self.timers.schedule(at, (at, TimerEvent::Hello));
                }
            }
        }
        self.update_connectivity(now, host);
    }

    /// Whether the suspicion still stands and no majority has answered since it began. A refuted suspicion is dropped;
    /// repeated false suspicions would otherwise fill the memory.
    fn is_unconfirmed(&self, verdict: &Timer<PeerId>, since: Duration) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = verdict else { return false };
        let stands =
            |m: &foca::Member<PeerId>| m.state() == State::Suspect && m.incarnation() == *incarnation;
        self.majority_confirmed.is_none_or(|at| at < since)
            && self.swim.iter_members().any(|member| member.id() == member_id && stands(member))
    }

    /// The number of timers that are set.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Handles a datagram from the address of a place of the cluster.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        source: usize,
        datagram: &[u8],
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        self.detect_stall(now, host);
        self.datagrams_in += 1;
        let taken = self.accept(now, source, datagram, host);
        match taken {
            Ok(()) => self.update_connectivity(now, host),
            Err(why) => self.refused[why as usize] += 1,
        }
        taken
    }

    /// Counts a datagram from an address that no front of the cluster has.
    pub fn unknown_sender(&mut self) {
        self.datagrams_in += 1;
        self.refused[Refused::WrongSender as usize] += 1;
    }

    /// Announces that this front leaves; nothing is sent or accepted after it.
    pub fn leave(&mut self, now: Duration, host: &mut impl Host) {
        if !self.left {
            let _ = self.with_foca(now, host, |swim, output| swim.leave_cluster(output));
            self.left = true;
        }
    }

    /// Sends a body of up to [`MAX_BODY_BYTES`] bytes for another part of the program to a front; false if the
    /// front's incarnation is not known, or the body is too long. The receiver refuses what is meant for an earlier
    /// incarnation.
    pub fn send_payload(&mut self, to: usize, body: &[u8], host: &mut impl Host) -> bool {
        let heard = self.peers.get(to).map(|peer| PeerId { index: to as u16, incarnation: peer.incarnation });
        let heard = heard.filter(|who| who.incarnation > 0);
        let known =
            || self.swim.iter_members().map(|member| *member.id()).find(|who| usize::from(who.index) == to);
        match heard.or_else(known).filter(|_| !self.left && to != self.me && body.len() <= MAX_BODY_BYTES) {
            Some(who) => {
                self.send(kind::PAYLOAD, who, body, host);
                true
            }
            None => false,
        }
    }

    /// Whether this front's own timers have repeatedly been late.
    pub fn slow(&self) -> bool {
        self.slowness > SLOW_ABOVE
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// This front's place in the cluster.
    pub fn me(&self) -> usize {
        self.me
    }

    /// This front's current incarnation.
    pub fn incarnation(&self) -> u32 {
        self.swim.identity().incarnation
    }

    /// This front's connectivity, and since when.
    pub fn connectivity(&self) -> (Connectivity, Duration) {
        (self.connectivity, self.since)
    }

    /// Version of the view: changes with every change of who is present.
    pub fn view_version(&self) -> u64 {
        self.view
    }

    /// All places of the cluster, this front included.
    pub fn peers(&self) -> Vec<Peer> {
        let mut all: Vec<Peer> = self
            .peers
            .iter()
            .enumerate()
            .map(|(index, peer)| Peer {
                index,
                liveness: Liveness::Unknown,
                incarnation: peer.incarnation,
                last_received: peer.last_received,
                reported: peer.reported,
            })
            .collect();
        for member in self.swim.iter_membership_state() {
            let peer = &mut all[usize::from(member.id().index)];
            peer.incarnation = member.id().incarnation;
            peer.liveness = match member.state() {
                State::Alive => Liveness::Alive,
                State::Suspect => Liveness::Suspect,
                State::Down => Liveness::Dead,
            };
        }
        all[self.me] = Peer {
            index: self.me,
            liveness: Liveness::Alive,
            incarnation: self.incarnation(),
            last_received: None,
            reported: Some(self.connectivity),
        };
        all
    }

    /// The places that are alive or suspect, this front included, in ascending order.
    pub fn present(&self) -> Vec<usize> {
        let others = self.swim.iter_members().map(|member| usize::from(member.id().index));
        let mut all: Vec<usize> = others.chain([self.me]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    // Timing and connectivity.

    /// Time in which this front did not run counts against nobody, since no answer could be read in it. After a stall
    /// the front is isolated until a hello sent since has been answered.
    fn detect_stall(&mut self, now: Duration, host: &mut impl Host) {
        let elapsed = now - self.stalled;
        let late = self.timers.next_due().map_or(Duration::ZERO, |at| elapsed.saturating_sub(at));
        if late * LATE_DIVISOR > self.timing.period {
            self.stalled += late;
            (self.slowness, self.timely_timers) = ((self.slowness + 1).min(MAX_SLOWNESS), 0);
            self.update_timing();
        } else {
            self.timely_timers += 1;
            if self.timely_timers >= TIMELY_TIMERS && self.slowness > 0 {
                (self.slowness, self.timely_timers) = (self.slowness - 1, 0);
                self.update_timing();
            }
        }
        if late > self.timing.period {
            host.event(Event::Stalled(late));
            self.discard_proofs(now, host);
            self.send_hellos(host);
        }
    }

    /// A slow front waits longer before it declares others dead.
    fn update_timing(&mut self) {
        // Only the timing differs, which may change at run time.
        let _ = self.swim.set_config(foca_config(self.cluster_size, self.timing, self.slowness));
    }

    /// Discards all proofs that other fronts hear this one.
    fn discard_proofs(&mut self, now: Duration, host: &mut impl Host) {
        self.proven.clear();
        self.pending_hellos.clear();
        self.survey = Default::default();
        (self.survey_in_minority, self.majority_confirmed, self.last_majority_sample) = (false, None, None);
        if self.cluster_size > 1 && self.connectivity != Connectivity::Isolated {
            (self.connectivity, self.since) = (Connectivity::Isolated, now);
            host.event(Event::ConnectivityChanged(Connectivity::Isolated));
        }
    }

    /// Recomputes the connectivity after any change.
    fn update_connectivity(&mut self, now: Duration, host: &mut impl Host) {
        if self.cluster_size == 1 {
            return;
        }
        // A suspect whose datagrams still arrive is suspected by others only.
        let heard = |member: &foca::Member<PeerId>| {
            let heard = self.peers[usize::from(member.id().index)].last_received;
            member.state() == State::Alive || heard.is_some_and(|at| at + self.timing.period * 2 > now)
        };
        let alive = self.swim.iter_members().filter(|member| heard(member)).count() + 1;
        if self.connectivity != Connectivity::Isolated
            && now > self.last_received + self.timing.period * (SILENT_PERIODS + self.slowness)
        {
            return self.discard_proofs(now, host);
        }
        let sure = self.proven.len() >= REQUIRED_PROOFS.min(self.cluster_size / 2);
        let connectivity = match alive {
            _ if self.proven.is_empty() => Connectivity::Isolated,
            1 => Connectivity::Isolated,
            n if sure && !self.survey_in_minority && 2 * n > self.cluster_size => Connectivity::Majority,
            _ => Connectivity::Minority,
        };
        if connectivity != self.connectivity {
            (self.connectivity, self.since) = (connectivity, now);
            host.event(Event::ConnectivityChanged(connectivity));
            if connectivity == Connectivity::Isolated {
                self.discard_proofs(now, host);
            }
        }
    }

    // Sending.

    /// Sends hellos to fronts that may not know this one, or that this one may not know.
    fn send_hellos(&mut self, host: &mut impl Host) {
        self.hello_rounds = self.hello_rounds.wrapping_add(1);
        let unsure = self.connectivity == Connectivity::Isolated
            || self.proven.len() < REQUIRED_PROOFS.min(self.cluster_size / 2);
        let most = match unsure {
            true => REQUIRED_PROOFS,
            false if self.hello_rounds.is_multiple_of(PERIODS_PER_DEAD_HELLO) => 1,
            false => 0,
        };
        let present = self.present();
        let unknown = |i: &usize| *i != self.me && (unsure || present.binary_search(i).is_err());
        let others: Vec<usize> = (0..self.cluster_size).filter(unknown).collect();
        // A suspect that answers is alive, whatever others report; it may never receive the rumour to refute it.
        let suspects = self.swim.iter_members().filter(|member| member.state() == State::Suspect);
        let suspects: Vec<usize> = suspects.map(|member| member.id().index.into()).collect();
        self.send_hellos_to(suspects, SUSPECTS_PER_PERIOD, host);
        self.send_hellos_to(others, most, host);
    }

    /// Sends hellos to up to `most` of them, drawn at random; returns the hellos' numbers.
    fn send_hellos_to(&mut self, mut others: Vec<usize>, most: usize, host: &mut impl Host) -> Vec<u64> {
        let mut numbers = Vec::new();
        for at in 0..most.min(others.len()) {
            let with = at + self.rng.rand_range(0..(others.len() - at) as u64) as usize;
            others.swap(at, with);
            numbers.push(self.number + 1);
            self.pending_hellos.push_back(self.number + 1);
            if self.pending_hellos.len() > MAX_PENDING_HELLOS {
                self.pending_hellos.pop_front();
            }
            let to = PeerId { index: others[at] as u16, incarnation: 0 };
            self.send(kind::HELLO, to, &[], host);
        }
        numbers
    }

    /// While others fail or seem to, asks a sample of the whole cluster which of them hear this front. Where the
    /// front is itself cut off, that shows long before each of the others has been found dead one by one.
    fn run_survey(&mut self, now: Duration, host: &mut impl Host) {
        let (asked, answered, since) = std::mem::take(&mut self.survey);
        if !asked.is_empty() {
            self.survey_in_minority = 2 * (answered + 1) <= asked.len() + 1;
            // In a small cluster all others were asked. In a large one a sample may succeed by chance: two in a row are
            // needed before any front is declared dead.
            let major = Some(since).filter(|_| !self.survey_in_minority);
            let sure = if asked.len() + 1 == self.cluster_size {
                major
            } else {
                major.and(self.last_majority_sample)
            };
            self.last_majority_sample = major;
            self.majority_confirmed = sure.or(self.majority_confirmed);
        }
        let failed = self.swim.iter_membership_state().filter(|m| m.state() != State::Alive).count();
        if failed >= (self.cluster_size / SURVEY_FAILED_DIVISOR).max(1) && failed != self.last_failed {
            self.surveys_until = now + self.timing.period * 2 * SILENT_PERIODS;
        }
        self.last_failed = failed;
        if now < self.surveys_until || self.survey_in_minority {
            let others = (0..self.cluster_size).filter(|&i| i != self.me).collect();
            let asked = self.send_hellos_to(others, SURVEY_SIZE, host);
            self.survey = (asked, 0, now);
        }
    }

    /// Asks one present front for members that this front does not have as alive.
    fn query_members(&mut self, host: &mut impl Host) {
        let alive = self.swim.iter_members().filter(|member| member.state() == State::Alive);
        let alive: Vec<usize> = alive.map(|member| member.id().index.into()).chain([self.me]).collect();
        if self.connectivity == Connectivity::Isolated
            || alive.len() == self.cluster_size
            || self.swim.num_members() == 0
        {
            return;
        }
        let others: Vec<PeerId> = self.swim.iter_members().map(|member| *member.id()).collect();
        let to = others[self.rng.rand_range(0..others.len() as u64) as usize];
        let from = self.next_query_start;
        self.next_query_start =
            if from + MEMBER_QUERY_SPAN >= self.cluster_size { 0 } else { from + MEMBER_QUERY_SPAN };
        let mut known = vec![0u8; MEMBER_QUERY_SPAN.min(self.cluster_size - from).div_ceil(8)];
        for place in alive.into_iter().filter(|place| (from..from + MEMBER_QUERY_SPAN).contains(place)) {
            known[(place - from) / 8] |= 1 << ((place - from) % 8);
        }
        let body = postcard::to_allocvec(&(from as u16, known)).unwrap_or_default();
        self.send(kind::MEMBER_QUERY, to, &body, host);
    }

    /// Sends the members that the asker lacks, as many as fit, starting at a random one.
    fn answer_member_query(&mut self, to: PeerId, from: usize, known: &[u8], host: &mut impl Host) {
        let is_missing = |member: &&foca::Member<PeerId>| {
            let place = usize::from(member.id().index).checked_sub(from).filter(|at| at / 8 < known.len());
            *member.id() != to && place.is_some_and(|at| known[at / 8] & 1 << (at % 8) == 0)
        };
        let mut members: Vec<foca::Member<PeerId>> =
            self.swim.iter_members().filter(is_missing).cloned().collect();
        if members.is_empty() {
            return;
        }
        let first = self.rng.rand_range(0..members.len() as u64) as usize;
        members.rotate_left(first);
        let mut body = Vec::new();
        for member in members {
            let bytes = postcard::to_allocvec(&member).unwrap_or_default();
            if body.len() + bytes.len() > MAX_BODY_BYTES {
                break;
            }
            body.extend(bytes);
        }
        self.send(kind::MEMBER_LIST, to, &body, host);
    }

    /// Takes over members from the answer to a member query.
    fn apply_member_list(
        &mut self,
        now: Duration,
        mut body: &[u8],
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        let codec = BoundedCodec { cluster_size: self.cluster_size as u16 };
        let mut members = Vec::new();
        while !body.is_empty() {
            let (member, rest) =
                postcard::take_from_bytes::<foca::Member<PeerId>>(body).map_err(|_| Refused::Malformed)?;
            codec.check_identity(member.id()).map_err(|_| Refused::Implausible)?;
            // Only live members: deaths are detected, not taken over.
            if member.state() == State::Alive {
                members.push(member);
            }
            body = rest;
        }
        let _ = self.with_foca(now, host, |swim, output| swim.apply_many(members.into_iter(), false, output));
        Ok(())
    }

    fn send(&mut self, kind: u8, to: PeerId, body: &[u8], host: &mut impl Host) {
        self.number += 1;
        let head = Head {
            kind,
            from: *self.swim.identity(),
            to,
            number: self.number,
            cluster_size: self.cluster_size as u16,
        };
        let datagram = self.keys.sign(self.version, &head, self.connectivity as u8, body);
        self.datagrams_out += 1;
        self.bytes_out += datagram.len() as u64;
        self.longest_datagram = self.longest_datagram.max(datagram.len());
        host.send(to.index.into(), &datagram);
    }

    /// Runs a call of the library, and carries out what it asks for.
    fn with_foca(
        &mut self,
        now: Duration,
        host: &mut impl Host,
        call: impl FnOnce(
            &mut Foca<PeerId, BoundedCodec, FocaRng, NoCustomBroadcast>,
            &mut FocaOutput,
        ) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let mut output = FocaOutput::default();
        let done = call(&mut self.swim, &mut output);
        for (after, timer) in output.timers {
            let at = now - self.stalled + after;
            let due = match timer {
                Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                    // One time-out for a suspicion, however often the library confirms it.
                    let peer = &mut self.peers[usize::from(member_id.index)];
                    if peer.suspected.replace((member_id.incarnation, incarnation))
                        == Some((member_id.incarnation, incarnation))
                    {
                        continue;
                    }
                    TimerEvent::SuspicionTimeout(timer, now)
                }
                _ => TimerEvent::Swim(timer),
            };
            self.timers.schedule(at, (at, due));
        }
        // The library may address an earlier incarnation of this very place.
        for (to, body) in output.sends {
            if usize::from(to.index) != self.me {
                self.send(kind::SWIM, to, &body, host);
            }
        }
        for event in output.events {
            self.view += u64::from(event != Event::Rejoined);
            host.event(event);
        }
        done
    }

    // Receiving.

    fn accept(
        &mut self,
        now: Duration,
        source: usize,
        datagram: &[u8],
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        let (head, reported, body) = self.keys.verify(self.version, datagram)?;
        let (from, to) = (usize::from(head.from.index), head.to);
        if usize::from(head.cluster_size) != self.cluster_size {
            return Err(Refused::ClusterSize);
        }
        let incarnations = self.first_incarnation..=self.incarnation();
        let any_incarnation = to.incarnation == 0 && head.kind == kind::HELLO;
        if usize::from(to.index) != self.me
            || !any_incarnation && !incarnations.contains(&to.incarnation)
            || self.left
        {
            return Err(Refused::WrongRecipient);
        }
        if from != source || from == self.me {
            return Err(Refused::WrongSender);
        }
        if head.from.incarnation > MAX_INCARNATION {
            return Err(Refused::FutureIncarnation);
        }
        let peer = &mut self.peers[from];
        let outdated = head.from.incarnation < peer.incarnation;
        if head.from.incarnation > peer.incarnation {
            (peer.incarnation, peer.window) = (head.from.incarnation, ReplayWindow::default());
        }
        if !outdated && !peer.window.accept(head.number) {
            return Err(Refused::Replayed);
        }
        peer.tokens = (peer.tokens + DATAGRAMS_PER_SECOND * now.saturating_sub(peer.refilled).as_secs_f64())
            .min(DATAGRAM_BURST);
        peer.refilled = now;
        if peer.tokens < 1.0 {
            return Err(Refused::RateLimited);
        }
        peer.tokens -= 1.0;
        if outdated {
            // Its clock may have been set back: reply with the remembered incarnation, and do nothing else.
            if head.kind == kind::HELLO {
                self.answer_hello(&head, host);
            }
            return Err(Refused::OldIncarnation);
        }
        peer.reported = reported.and_then(Connectivity::of).or(peer.reported.filter(|_| reported.is_some()));
        if !any_incarnation {
            (peer.last_received, self.last_received) = (Some(now), now);
        }
        match head.kind {
            kind::HELLO => {
                self.answer_hello(&head, host);
                Ok(())
            }
            kind::HELLO_REPLY => {
                // A later version may append fields.
                let ((number, known), _) =
                    postcard::take_from_bytes::<(u64, u32)>(body).map_err(|_| Refused::Malformed)?;
                self.hello_answered(now, head.from, number, known, host)
            }
            kind::SWIM => {
                // The protocol's sender must be the authenticated sender.
                let header = postcard::take_from_bytes::<Header<PeerId>>(body);
                let own = header.is_ok_and(|(header, _)| header.src == head.from);
                let taken =
                    own && self.with_foca(now, host, |swim, output| swim.handle_data(body, output)).is_ok();
                if taken { Ok(()) } else { Err(Refused::Implausible) }
            }
            kind::MEMBER_QUERY => {
                let ((from, known), _) =
                    postcard::take_from_bytes::<(u16, Vec<u8>)>(body).map_err(|_| Refused::Malformed)?;
                self.answer_member_query(head.from, usize::from(from), &known, host);
                Ok(())
            }
            kind::MEMBER_LIST => self.apply_member_list(now, body, host),
            kind::PAYLOAD => {
                host.deliver(from, body);
                Ok(())
            }
            _ => Err(Refused::UnknownKind),
        }
    }

    /// Answers a hello with this front's incarnation and the one it remembers of the asker.
    fn answer_hello(&mut self, hello: &Head, host: &mut impl Host) {
        let known = self.swim.iter_membership_state().find(|m| m.id().index == hello.from.index);
        let known = known
            .map_or(0, |member| member.id().incarnation)
            .max(self.peers[usize::from(hello.from.index)].incarnation);
        let body = postcard::to_allocvec(&(hello.number, known)).unwrap_or_default();
        self.send(kind::HELLO_REPLY, hello.from, &body, host);
    }

    /// Handles the reply to a hello: it proves that both fronts hear each other.
    fn hello_answered(
        &mut self,
        now: Duration,
        from: PeerId,
        number: u64,
        known: u32,
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        let Some(at) = self.pending_hellos.iter().position(|&hello| hello == number) else {
            return Err(Refused::Replayed);
        };
        self.pending_hellos.remove(at);
        self.survey.1 += usize::from(self.survey.0.contains(&number));
        let index = usize::from(from.index);
        if !self.proven.contains(&index) {
            self.proven.push(index);
        }
        if known >= MAX_INCARNATION {
            return Err(Refused::Implausible);
        }
        // The peer remembers a later incarnation of this place, so the clock was set back: go above the remembered one.
        if known > self.incarnation() {
            let above = 1 + self.rng.rand_range(0..INCARNATION_JUMP) as u32;
            let next = PeerId {
                index: self.me as u16,
                incarnation: known.saturating_add(above).min(MAX_INCARNATION),
            };
            self.first_incarnation = next.incarnation;
            let _ = self.with_foca(now, host, |swim, output| swim.change_identity(next, output));
        }
        let known = self.swim.iter_members().find(|member| *member.id() == from).cloned();
        match known {
            None => drop(self.with_foca(now, host, |swim, output| swim.announce(from, output))),
            Some(suspect) if suspect.state() == State::Suspect => {
                // Only for this front: the others need a proof of their own.
                let alive = foca::Member::new(from, suspect.incarnation().saturating_add(1), State::Alive);
                let _ = self
                    .with_foca(now, host, |swim, output| swim.apply_many([alive].into_iter(), false, output));
            }
            Some(_) => {}
        }
        Ok(())
    }
}

/// The library's configuration for a cluster of this size and a front of this slowness.
fn foca_config(cluster_size: usize, timing: Timing, slowness: u32) -> Config {
    let growth = (cluster_size as f64).log10().max(1.0);
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often = |periods: u32, members: usize| {
        Some(PeriodicParams { frequency: timing.period * periods, num_members: some(members) })
    };
    Config {
        probe_period: timing.period,
        probe_rtt: timing.period / 3,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new((4.0 * growth).ceil() as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: (timing.period * timing.suspicion_periods).mul_f64(growth) * (1 + slowness),
        remove_down_after: Some(Duration::from_secs(3600)),
        max_packet_size: some(MAX_BODY_BYTES),
        notify_down_members: true,
        periodic_announce: often(10, 1),
        periodic_announce_to_down_members: often(4, 1),
        periodic_gossip: often(1, 2),
    }
}
