//! One front's part of the membership.

use crate::dice::Dice;
use crate::seal::{BODY, Head, Keys, Refused, kind};
use crate::who::{LATEST, Who};
use crate::window::Window;
use bytes::{Buf, BufMut};
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, Notification, PeriodicParams, State, Timer,
};
use juniperdock_timer_wheel::TimerWheel;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Timers are due at most this much late for being sorted.
const TICK: Duration = Duration::from_millis(1);
/// Hellos whose answers are still waited for.
const HELLOS: usize = 32;
/// A front that sees many fail asks so many at once who hears it, and one in so many of the tier are many.
const SURVEYED: usize = 16;
const MANY: usize = 20;
/// Places of the tier that one roll covers, in bits of 8 bytes.
const ROLLED: usize = 1024;
/// A front that knows nobody for sure asks so many at a time.
const ASKED: usize = 3;
/// Suspects that are asked in each period.
const SUSPECTS: usize = 2;
/// Now and then it asks one that it takes for dead, every so many periods.
const SELDOM: u32 = 6;
/// Periods without a datagram from anybody, after which a front takes itself for alone.
const QUIET: u32 = 4;
/// A timer late by this part of a period shows that this front is slow; by a whole one, that it stood still.
const LATE: u32 = 10;
/// Time-outs widen by a base for each of so many grades of slowness at most.
const STRAINS: u32 = 7;
/// With more grades than this a front is slow.
const SLOW: u32 = 2;
/// Timers in time, after which a front counts as a grade less slow.
const TIMELY: u32 = 16;
/// A life above one that is remembered is drawn among so many: two processes that were told the same one, by fronts that do
/// not hear each other, are told apart, and their datagrams.
const LIVES_ABOVE: u64 = 1024;
/// Datagrams a second taken from one fellow, and how many at once.
const RATE: f64 = 100.0;
const BURST: f64 = 200.0;

/// What a front knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// It has heard nobody for a while, or nothing since it stood still.
    Isolated,
    /// It hears a minority of the configured tier, itself counted in; or not yet enough since it was alone.
    Minority,
    /// It hears a majority of the configured tier.
    Majority,
}

impl Connectivity {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    Alive,
    Suspect,
    Dead,
    /// Not heard of yet.
    Unknown,
}

impl Liveness {
    pub fn name(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Dead => "dead",
            Liveness::Unknown => "unknown",
        }
    }
}

/// What has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Up(usize),
    Down(usize),
    /// The same place in a later life.
    Back(usize),
    /// Others took this front for dead; it goes on under a later life.
    Rejoined,
    ConnectivityChanged(Connectivity),
    /// It did not run for so long.
    Stood(Duration),
}

/// What is known of one front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fellow {
    pub index: usize,
    pub liveness: Liveness,
    /// Its life, later with each start; 0 if none is known.
    pub incarnation: u32,
    /// When a datagram of its own was last taken.
    pub heard: Option<Duration>,
    /// What it last said of itself, where it speaks version 2.
    pub says: Option<Connectivity>,
}

/// What the driver does for it.
pub trait Host {
    fn send(&mut self, to: usize, datagram: &[u8]);
    fn event(&mut self, event: Event);
    /// A body of [`Membership::post`] has come, sealed by its sender and new.
    fn deliver(&mut self, _from: usize, _body: &[u8]) {}
}

/// A suspect has so many periods to answer.
const SUSPICION: u32 = 3;

/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Each front asks one other in every period.
    pub every: Duration,
    /// A suspect has so many periods to answer, before it is slowed down by the tier's size or the own slowness.
    pub suspicion: u32,
}

impl Timing {
    /// The same for all drivers, by the period.
    pub fn with_period(every: Duration) -> Timing {
        Timing { every, suspicion: SUSPICION }
    }
}

/// The library's codec, bounded: no place outside the tier and no life that no front can be in gets into the state.
#[derive(Debug)]
struct Tongue {
    tier: u16,
}

#[derive(Debug)]
struct Absurd;

impl std::fmt::Display for Absurd {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("it says what can't be")
    }
}

impl std::error::Error for Absurd {}

impl Tongue {
    fn possible(&self, who: &Who) -> Result<(), Absurd> {
        let good = who.index < self.tier && who.life <= LATEST;
        if good { Ok(()) } else { Err(Absurd) }
    }
}

impl Codec<Who> for Tongue {
    type Error = Absurd;

    fn encode_header(&mut self, header: &Header<Who>, buf: impl BufMut) -> Result<(), Absurd> {
        foca::PostcardCodec.encode_header(header, buf).map_err(|_| Absurd)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Who>, Absurd> {
        let header: Header<Who> = foca::PostcardCodec.decode_header(buf).map_err(|_| Absurd)?;
        self.possible(&header.src)?;
        match &header.message {
            Message::PingReq { target: who, .. }
            | Message::IndirectPing { origin: who, .. }
            | Message::IndirectAck { target: who, .. }
            | Message::ForwardedAck { origin: who, .. } => self.possible(who)?,
            _ => {}
        }
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<Who>, buf: impl BufMut) -> Result<(), Absurd> {
        foca::PostcardCodec.encode_member(member, buf).map_err(|_| Absurd)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Who>, Absurd> {
        let member = foca::PostcardCodec.decode_member(buf).map_err(|_| Absurd)?;
        self.possible(member.id())?;
        Ok(member)
    }
}

/// What the library wants done.
#[derive(Default)]
struct Acts {
    sends: Vec<(Who, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Who>)>,
    events: Vec<Event>,
}

impl foca::Runtime<Who> for &mut Acts {
    fn notify(&mut self, told: Notification<'_, Who>) {
        self.events.push(match told {
            Notification::MemberUp(who) => Event::Up(who.index.into()),
            Notification::MemberDown(who) => Event::Down(who.index.into()),
            Notification::Rename(_, who) => Event::Back(who.index.into()),
            Notification::Rejoin(_) => Event::Rejoined,
            Notification::Active | Notification::Idle | Notification::Defunct => return,
        });
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.timers.push((after, event));
    }
}

#[derive(Debug)]
enum Due {
    Swim(Timer<Who>),
    /// A suspect is to be called dead, suspected since then.
    Verdict(Timer<Who>, Duration),
    Hello,
}

/// What is kept of each place of the tier.
#[derive(Clone, Debug, Default)]
struct Mark {
    life: u32,
    window: Window,
    heard: Option<Duration>,
    says: Option<Connectivity>,
    /// The life and incarnation in which it is suspected, while a verdict on that is still to come.
    suspected: Option<(u32, u16)>,
    /// Datagrams that would still be taken now, and when that was reckoned.
    room: f64,
    reckoned: Duration,
}

/// One front among its fellows. All times are spans since the driver's start.
pub struct Membership {
    swim: Foca<Who, Tongue, Dice, NoCustomBroadcast>,
    me: usize,
    tier: usize,
    /// The first life of this process: what was meant for an earlier one is refused.
    born: u32,
    keys: Keys,
    version: u8,
    times: Timing,
    rng: Rand64,
    number: u64,
    marks: Vec<Mark>,
    timers: TimerWheel<(Duration, Due)>,
    /// Time in which this front did not run: it counts for no timer.
    lost: Duration,
    strain: u32,
    timely: u32,
    hellos: VecDeque<u64>,
    turn: u32,
    /// Who has answered a question asked since this front was alone.
    proven: Vec<usize>,
    /// The survey under way: the hellos of it, how many were answered, and when it is over.
    survey: (Vec<u64>, usize, Duration),
    /// The last survey was answered by too few to be a majority of the tier; when the last began that was not.
    minor: bool,
    confirmed: Option<Duration>,
    /// When the survey before began, if a majority answered it.
    sampled: Option<Duration>,
    /// How many were not alive at the last look, and until when surveys go on.
    failed: usize,
    surveys_until: Duration,
    /// From which place on the next roll asks.
    rolled: usize,
    last_heard: Duration,
    left: bool,
    standing: Connectivity,
    since: Duration,
    view: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub longest: usize,
    pub refused: [u64; Refused::ALL.len()],
}

impl Membership {
    /// `me` of `tier` fronts, from 0; `life` as [`crate::incarnation_at`] gives it; `version` is spoken to all.
    pub fn new(
        me: usize,
        tier: usize,
        life: u32,
        seed: u64,
        version: u8,
        times: Timing,
        keys: Keys,
    ) -> Membership {
        let tier = tier.clamp(1, usize::from(u16::MAX));
        let who = Who { index: me as u16, life };
        let tongue = Tongue { tier: tier as u16 };
        let swim = Foca::new(who, config(tier, times, 0), Dice(Rand64::new(u128::from(seed) << 1)), tongue);
        let mut fellows = Membership {
            swim,
            me,
            tier,
            born: life,
            keys,
            version,
            times,
            // The seed is the same for all processes of a place.
            rng: Rand64::new(u128::from(life) << 64 | u128::from(seed) << 1 | 1),
            number: 0,
            marks: vec![Mark { room: BURST, ..Mark::default() }; tier],
            timers: TimerWheel::new(TICK),
            lost: Duration::ZERO,
            strain: 0,
            timely: 0,
            hellos: VecDeque::new(),
            turn: 0,
            proven: Vec::new(),
            survey: (Vec::new(), 0, Duration::ZERO),
            minor: false,
            confirmed: None,
            sampled: None,
            failed: 0,
            surveys_until: Duration::ZERO,
            rolled: 0,
            last_heard: Duration::ZERO,
            left: false,
            standing: if tier == 1 { Connectivity::Majority } else { Connectivity::Isolated },
            since: Duration::ZERO,
            view: 0,
            datagrams_in: 0,
            datagrams_out: 0,
            bytes_out: 0,
            longest: 0,
            refused: [0; Refused::ALL.len()],
        };
        // Not all at once, where many start together.
        let first = times.every.mul_f64(fellows.rng.rand_float() / 4.0);
        fellows.timers.schedule(first, (first, Due::Hello));
        fellows
    }

    /// When [`Membership::due`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        self.timers.next_due().map_or(Duration::MAX, |at| at.saturating_add(self.lost))
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Duration, host: &mut impl Host) {
        self.notice(now, host);
        if self.left {
            return;
        }
        while let Some((_, due)) = self.timers.pop_due(now - self.lost) {
            match due {
                // Who does not hear a majority has no ground to call others dead: it may be itself that is cut
                // off. They stay suspects until it has asked, since it began to suspect them, and a majority of
                // the tier has answered. So it has no wrong word to spread when it is back.
                Due::Verdict(timer, since) if self.doubtful(&timer, since) => {
                    self.surveys_until = now + self.times.every * 2 * QUIET;
                    let at = now - self.lost + self.times.every;
                    self.timers.schedule(at, (at, Due::Verdict(timer, since)));
                }
                Due::Swim(timer) | Due::Verdict(timer, _) => {
                    if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                        let suspected = &mut self.marks[usize::from(member_id.index)].suspected;
                        suspected.take_if(|of| *of == (member_id.life, *incarnation));
                    }
                    let _ = self.with(now, host, |swim, acts| swim.handle_timer(timer, acts));
                }
                Due::Hello => {
                    self.greet(host);
                    self.survey(now, host);
                    self.roll(host);
                    let at = now - self.lost + self.times.every;
                    self.timers.schedule(at, (at, Due::Hello));
                }
            }
        }
        self.look(now, host);
    }

    /// A suspicion that still stands, since which no majority has answered. One that was refuted is no business
    /// of this front any more: else whoever cries wolf would fill its memory.
    fn doubtful(&self, verdict: &Timer<Who>, since: Duration) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = verdict else { return false };
        let stands = |m: &foca::Member<Who>| m.state() == State::Suspect && m.incarnation() == *incarnation;
        self.confirmed.is_none_or(|at| at < since)
            && self.swim.iter_members().any(|member| member.id() == member_id && stands(member))
    }

    /// How many timers are set.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// A datagram has come from the address of a place of the tier.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        source: usize,
        datagram: &[u8],
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        self.notice(now, host);
        self.datagrams_in += 1;
        let taken = self.take(now, source, datagram, host);
        match taken {
            Ok(()) => self.look(now, host),
            Err(why) => self.refused[why as usize] += 1,
        }
        taken
    }

    /// A datagram from an address that nobody of the tier has.
    pub fn stranger(&mut self) {
        self.datagrams_in += 1;
        self.refused[Refused::Stranger as usize] += 1;
    }

    /// Says farewell; nothing is sent or taken after it.
    pub fn leave(&mut self, now: Duration, host: &mut impl Host) {
        if !self.left {
            let _ = self.with(now, host, |swim, acts| swim.leave_cluster(acts));
            self.left = true;
        }
    }

    /// Sends a body of up to [`BODY`] bytes for another part of the program to a front; false if its life is not
    /// known, or it is too long. What is meant for an earlier life is refused there.
    pub fn send_payload(&mut self, to: usize, body: &[u8], host: &mut impl Host) -> bool {
        let heard = self.marks.get(to).map(|mark| Who { index: to as u16, life: mark.life });
        let heard = heard.filter(|who| who.life > 0);
        let known =
            || self.swim.iter_members().map(|member| *member.id()).find(|who| usize::from(who.index) == to);
        match heard.or_else(known).filter(|_| !self.left && to != self.me && body.len() <= BODY) {
            Some(who) => {
                self.send(kind::OFFICE, who, body, host);
                true
            }
            None => false,
        }
    }

    /// Its own timers have been late again and again of late.
    pub fn slow(&self) -> bool {
        self.strain > SLOW
    }

    /// Other keys count from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    pub fn me(&self) -> usize {
        self.me
    }

    pub fn incarnation(&self) -> u32 {
        self.swim.identity().life
    }

    /// How it stands, and since when.
    pub fn connectivity(&self) -> (Connectivity, Duration) {
        (self.standing, self.since)
    }

    /// Counts the changes of who is there; another one with each.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// All places of the tier, itself with them.
    pub fn peers(&self) -> Vec<Fellow> {
        let mut all: Vec<Fellow> = self
            .marks
            .iter()
            .enumerate()
            .map(|(index, mark)| Fellow {
                index,
                liveness: Liveness::Unknown,
                incarnation: mark.life,
                heard: mark.heard,
                says: mark.says,
            })
            .collect();
        for member in self.swim.iter_membership_state() {
            let fellow = &mut all[usize::from(member.id().index)];
            fellow.incarnation = member.id().life;
            fellow.liveness = match member.state() {
                State::Alive => Liveness::Alive,
                State::Suspect => Liveness::Suspect,
                State::Down => Liveness::Dead,
            };
        }
        all[self.me] = Fellow {
            index: self.me,
            liveness: Liveness::Alive,
            incarnation: self.incarnation(),
            heard: None,
            says: Some(self.standing),
        };
        all
    }

    /// The places that are taken for alive or suspect, itself with them, in order.
    pub fn present(&self) -> Vec<usize> {
        let others = self.swim.iter_members().map(|member| usize::from(member.id().index));
        let mut all: Vec<usize> = others.chain([self.me]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    // What is noticed.

    /// Time in which this front did not run counts for nobody: no answer could be read in it. After a
    /// standstill it knows nothing for sure until somebody has answered a question asked since.
    fn notice(&mut self, now: Duration, host: &mut impl Host) {
        let elapsed = now - self.lost;
        let late = self.timers.next_due().map_or(Duration::ZERO, |at| elapsed.saturating_sub(at));
        if late * LATE > self.times.every {
            self.lost += late;
            (self.strain, self.timely) = ((self.strain + 1).min(STRAINS), 0);
            self.strained();
        } else {
            self.timely += 1;
            if self.timely >= TIMELY && self.strain > 0 {
                (self.strain, self.timely) = (self.strain - 1, 0);
                self.strained();
            }
        }
        if late > self.times.every {
            host.event(Event::Stood(late));
            self.doubt(now, host);
            self.greet(host);
        }
    }

    /// A front that is slow waits longer before it takes others for dead.
    fn strained(&mut self) {
        // Only times that may change are changed.
        let _ = self.swim.set_config(config(self.tier, self.times, self.strain));
    }

    /// Nothing that was heard so far shows that anybody hears this front now.
    fn doubt(&mut self, now: Duration, host: &mut impl Host) {
        self.proven.clear();
        self.hellos.clear();
        self.survey = Default::default();
        (self.minor, self.confirmed, self.sampled) = (false, None, None);
        if self.tier > 1 && self.standing != Connectivity::Isolated {
            (self.standing, self.since) = (Connectivity::Isolated, now);
            host.event(Event::ConnectivityChanged(Connectivity::Isolated));
        }
    }

    /// How it stands, after anything has changed.
    fn look(&mut self, now: Duration, host: &mut impl Host) {
        if self.tier == 1 {
            return;
        }
        // A suspect that is heard all the same is suspected by others.
        let heard = |member: &foca::Member<Who>| {
            let heard = self.marks[usize::from(member.id().index)].heard;
            member.state() == State::Alive || heard.is_some_and(|at| at + self.times.every * 2 > now)
        };
        let alive = self.swim.iter_members().filter(|member| heard(member)).count() + 1;
        if self.standing != Connectivity::Isolated
            && now > self.last_heard + self.times.every * (QUIET + self.strain)
        {
            return self.doubt(now, host);
        }
        let sure = self.proven.len() >= ASKED.min(self.tier / 2);
        let standing = match alive {
            _ if self.proven.is_empty() => Connectivity::Isolated,
            1 => Connectivity::Isolated,
            n if sure && !self.minor && 2 * n > self.tier => Connectivity::Majority,
            _ => Connectivity::Minority,
        };
        if standing != self.standing {
            (self.standing, self.since) = (standing, now);
            host.event(Event::ConnectivityChanged(standing));
            if standing == Connectivity::Isolated {
                self.doubt(now, host);
            }
        }
    }

    // What is sent.

    /// Asks some that may not know this front, or that it may not know.
    fn greet(&mut self, host: &mut impl Host) {
        self.turn = self.turn.wrapping_add(1);
        let unsure = self.standing == Connectivity::Isolated || self.proven.len() < ASKED.min(self.tier / 2);
        let most = match unsure {
            true => ASKED,
            false if self.turn.is_multiple_of(SELDOM) => 1,
            false => 0,
        };
        let present = self.present();
        let unknown = |i: &usize| *i != self.me && (unsure || present.binary_search(i).is_err());
        let others: Vec<usize> = (0..self.tier).filter(unknown).collect();
        // A suspect that answers is none, whatever is said of it; it may never hear the rumour and refute it.
        let suspects = self.swim.iter_members().filter(|member| member.state() == State::Suspect);
        let suspects: Vec<usize> = suspects.map(|member| member.id().index.into()).collect();
        self.hail(suspects, SUSPECTS, host);
        self.hail(others, most, host);
    }

    /// Says hello to so many of them, drawn by chance; gives the hellos' numbers.
    fn hail(&mut self, mut others: Vec<usize>, most: usize, host: &mut impl Host) -> Vec<u64> {
        let mut numbers = Vec::new();
        for at in 0..most.min(others.len()) {
            let with = at + self.rng.rand_range(0..(others.len() - at) as u64) as usize;
            others.swap(at, with);
            numbers.push(self.number + 1);
            self.hellos.push_back(self.number + 1);
            if self.hellos.len() > HELLOS {
                self.hellos.pop_front();
            }
            let to = Who { index: others[at] as u16, life: 0 };
            self.send(kind::HELLO, to, &[], host);
        }
        numbers
    }

    /// While others fail, or seem to, a front asks some of the whole tier who hears it: where it is itself cut
    /// off, that shows long before each of the others has been found missing one by one.
    fn survey(&mut self, now: Duration, host: &mut impl Host) {
        let (asked, answered, since) = std::mem::take(&mut self.survey);
        if !asked.is_empty() {
            self.minor = 2 * (answered + 1) <= asked.len() + 1;
            // Of a small tier all others were asked. Of a large one it was a sample, and one may be lucky: two in
            // a row are needed to call anybody dead.
            let major = Some(since).filter(|_| !self.minor);
            let sure = if asked.len() + 1 == self.tier { major } else { major.and(self.sampled) };
            self.sampled = major;
            self.confirmed = sure.or(self.confirmed);
        }
        let failed = self.swim.iter_membership_state().filter(|m| m.state() != State::Alive).count();
        if failed >= (self.tier / MANY).max(1) && failed != self.failed {
            self.surveys_until = now + self.times.every * 2 * QUIET;
        }
        self.failed = failed;
        if now < self.surveys_until || self.minor {
            let others = (0..self.tier).filter(|&i| i != self.me).collect();
            let asked = self.hail(others, SURVEYED, host);
            self.survey = (asked, 0, now);
        }
    }

    /// Asks one that is there for those that this front does not have for alive.
    fn roll(&mut self, host: &mut impl Host) {
        let alive = self.swim.iter_members().filter(|member| member.state() == State::Alive);
        let alive: Vec<usize> = alive.map(|member| member.id().index.into()).chain([self.me]).collect();
        if self.standing == Connectivity::Isolated || alive.len() == self.tier || self.swim.num_members() == 0
        {
            return;
        }
        let others: Vec<Who> = self.swim.iter_members().map(|member| *member.id()).collect();
        let to = others[self.rng.rand_range(0..others.len() as u64) as usize];
        let from = self.rolled;
        self.rolled = if from + ROLLED >= self.tier { 0 } else { from + ROLLED };
        let mut known = vec![0u8; ROLLED.min(self.tier - from).div_ceil(8)];
        for place in alive.into_iter().filter(|place| (from..from + ROLLED).contains(place)) {
            known[(place - from) / 8] |= 1 << ((place - from) % 8);
        }
        let body = postcard::to_allocvec(&(from as u16, known)).unwrap_or_default();
        self.send(kind::ROLL, to, &body, host);
    }

    /// Tells who asks of those that it does not have, as many as there is room for, from a place by chance on.
    fn call(&mut self, to: Who, from: usize, known: &[u8], host: &mut impl Host) {
        let lacks = |member: &&foca::Member<Who>| {
            let place = usize::from(member.id().index).checked_sub(from).filter(|at| at / 8 < known.len());
            *member.id() != to && place.is_some_and(|at| known[at / 8] & 1 << (at % 8) == 0)
        };
        let mut members: Vec<foca::Member<Who>> = self.swim.iter_members().filter(lacks).cloned().collect();
        if members.is_empty() {
            return;
        }
        let first = self.rng.rand_range(0..members.len() as u64) as usize;
        members.rotate_left(first);
        let mut body = Vec::new();
        for member in members {
            let bytes = postcard::to_allocvec(&member).unwrap_or_default();
            if body.len() + bytes.len() > BODY {
                break;
            }
            body.extend(bytes);
        }
        self.send(kind::CALLED, to, &body, host);
    }

    /// What another told of those that this front does not have.
    fn called(&mut self, now: Duration, mut body: &[u8], host: &mut impl Host) -> Result<(), Refused> {
        let tongue = Tongue { tier: self.tier as u16 };
        let mut members = Vec::new();
        while !body.is_empty() {
            let (member, rest) =
                postcard::take_from_bytes::<foca::Member<Who>>(body).map_err(|_| Refused::Malformed)?;
            tongue.possible(member.id()).map_err(|_| Refused::Absurd)?;
            // Only of life: that one is dead is found out, not taken over.
            if member.state() == State::Alive {
                members.push(member);
            }
            body = rest;
        }
        let _ = self.with(now, host, |swim, acts| swim.apply_many(members.into_iter(), false, acts));
        Ok(())
    }

    fn send(&mut self, kind: u8, to: Who, body: &[u8], host: &mut impl Host) {
        self.number += 1;
        let head =
            Head { kind, from: *self.swim.identity(), to, number: self.number, tier: self.tier as u16 };
        let datagram = self.keys.seal(self.version, &head, self.standing as u8, body);
        self.datagrams_out += 1;
        self.bytes_out += datagram.len() as u64;
        self.longest = self.longest.max(datagram.len());
        host.send(to.index.into(), &datagram);
    }

    /// Lets the library act, and carries out what it wants done.
    fn with(
        &mut self,
        now: Duration,
        host: &mut impl Host,
        call: impl FnOnce(&mut Foca<Who, Tongue, Dice, NoCustomBroadcast>, &mut Acts) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let mut acts = Acts::default();
        let done = call(&mut self.swim, &mut acts);
        for (after, timer) in acts.timers {
            let at = now - self.lost + after;
            let due = match timer {
                Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                    // One verdict on a suspicion, however often the library finds it confirmed.
                    let mark = &mut self.marks[usize::from(member_id.index)];
                    if mark.suspected.replace((member_id.life, incarnation))
                        == Some((member_id.life, incarnation))
                    {
                        continue;
                    }
                    Due::Verdict(timer, now)
                }
                _ => Due::Swim(timer),
            };
            self.timers.schedule(at, (at, due));
        }
        // The library may ask an earlier life of this very place.
        for (to, body) in acts.sends {
            if usize::from(to.index) != self.me {
                self.send(kind::SWIM, to, &body, host);
            }
        }
        for event in acts.events {
            self.view += u64::from(event != Event::Rejoined);
            host.event(event);
        }
        done
    }

    // What comes in.

    fn take(
        &mut self,
        now: Duration,
        source: usize,
        datagram: &[u8],
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        let (head, says, body) = self.keys.open(self.version, datagram)?;
        let (from, to) = (usize::from(head.from.index), head.to);
        if usize::from(head.tier) != self.tier {
            return Err(Refused::Tier);
        }
        let lives = self.born..=self.incarnation();
        let whoever = to.life == 0 && head.kind == kind::HELLO;
        if usize::from(to.index) != self.me || !whoever && !lives.contains(&to.life) || self.left {
            return Err(Refused::Elsewhere);
        }
        if from != source || from == self.me {
            return Err(Refused::Stranger);
        }
        if head.from.life > LATEST {
            return Err(Refused::Future);
        }
        let mark = &mut self.marks[from];
        let earlier = head.from.life < mark.life;
        if head.from.life > mark.life {
            (mark.life, mark.window) = (head.from.life, Window::default());
        }
        if !earlier && !mark.window.take(head.number) {
            return Err(Refused::Replayed);
        }
        mark.room = (mark.room + RATE * now.saturating_sub(mark.reckoned).as_secs_f64()).min(BURST);
        mark.reckoned = now;
        if mark.room < 1.0 {
            return Err(Refused::TooMany);
        }
        mark.room -= 1.0;
        if earlier {
            // Its clock may have been set back: it is told which life is remembered, and nothing else is done.
            if head.kind == kind::HELLO {
                self.here(&head, host);
            }
            return Err(Refused::Outlived);
        }
        mark.says = says.and_then(Connectivity::of).or(mark.says.filter(|_| says.is_some()));
        if !whoever {
            (mark.heard, self.last_heard) = (Some(now), now);
        }
        match head.kind {
            kind::HELLO => {
                self.here(&head, host);
                Ok(())
            }
            kind::HERE => {
                // A later version may put more behind it.
                let ((number, known), _) =
                    postcard::take_from_bytes::<(u64, u32)>(body).map_err(|_| Refused::Malformed)?;
                self.answered(now, head.from, number, known, host)
            }
            kind::SWIM => {
                // Nobody speaks the protocol in another's name.
                let header = postcard::take_from_bytes::<Header<Who>>(body);
                let own = header.is_ok_and(|(header, _)| header.src == head.from);
                let taken = own && self.with(now, host, |swim, acts| swim.handle_data(body, acts)).is_ok();
                if taken { Ok(()) } else { Err(Refused::Absurd) }
            }
            kind::ROLL => {
                let ((from, known), _) =
                    postcard::take_from_bytes::<(u16, Vec<u8>)>(body).map_err(|_| Refused::Malformed)?;
                self.call(head.from, usize::from(from), &known, host);
                Ok(())
            }
            kind::CALLED => self.called(now, body, host),
            kind::OFFICE => {
                host.deliver(from, body);
                Ok(())
            }
            _ => Err(Refused::Unknown),
        }
    }

    /// Answers a hello: which life this front is in, and which it remembers of the asker.
    fn here(&mut self, hello: &Head, host: &mut impl Host) {
        let known = self.swim.iter_membership_state().find(|m| m.id().index == hello.from.index);
        let known =
            known.map_or(0, |member| member.id().life).max(self.marks[usize::from(hello.from.index)].life);
        let body = postcard::to_allocvec(&(hello.number, known)).unwrap_or_default();
        self.send(kind::HERE, hello.from, &body, host);
    }

    /// Somebody has answered a hello: it hears this front, and this front hears it.
    fn answered(
        &mut self,
        now: Duration,
        from: Who,
        number: u64,
        known: u32,
        host: &mut impl Host,
    ) -> Result<(), Refused> {
        let Some(at) = self.hellos.iter().position(|&hello| hello == number) else {
            return Err(Refused::Replayed);
        };
        self.hellos.remove(at);
        self.survey.1 += usize::from(self.survey.0.contains(&number));
        let index = usize::from(from.index);
        if !self.proven.contains(&index) {
            self.proven.push(index);
        }
        if known >= LATEST {
            return Err(Refused::Absurd);
        }
        // It remembers a later life of this place: the clock was set back. This life is to count all the same.
        if known > self.incarnation() {
            let above = 1 + self.rng.rand_range(0..LIVES_ABOVE) as u32;
            let next = Who { index: self.me as u16, life: known.saturating_add(above).min(LATEST) };
            self.born = next.life;
            let _ = self.with(now, host, |swim, acts| swim.change_identity(next, acts));
        }
        let known = self.swim.iter_members().find(|member| *member.id() == from).cloned();
        match known {
            None => drop(self.with(now, host, |swim, acts| swim.announce(from, acts))),
            Some(suspect) if suspect.state() == State::Suspect => {
                // For this front alone: the others need a proof of their own.
                let alive = foca::Member::new(from, suspect.incarnation().saturating_add(1), State::Alive);
                let _ = self.with(now, host, |swim, acts| swim.apply_many([alive].into_iter(), false, acts));
            }
            Some(_) => {}
        }
        Ok(())
    }
}

/// The library's times for a tier of a size, and for a front that is slow.
fn config(tier: usize, times: Timing, strain: u32) -> Config {
    let grows = (tier as f64).log10().max(1.0);
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often = |periods: u32, members: usize| {
        Some(PeriodicParams { frequency: times.every * periods, num_members: some(members) })
    };
    Config {
        probe_period: times.every,
        probe_rtt: times.every / 3,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new((4.0 * grows).ceil() as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: (times.every * times.suspicion).mul_f64(grows) * (1 + strain),
        remove_down_after: Some(Duration::from_secs(3600)),
        max_packet_size: some(BODY),
        notify_down_members: true,
        periodic_announce: often(10, 1),
        periodic_announce_to_down_members: often(4, 1),
        periodic_gossip: often(1, 2),
    }
}
