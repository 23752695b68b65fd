//! One front's whole part: what it grants, what it claims, what it lets pass.

use crate::claim::Claim;
use crate::fence::Fence;
use crate::grants::{Answer, Grants, Holder};
use crate::place::{first, order};
use crate::words::{Words, word};
use crate::{TaskId, majority};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An owner asks for more time so often while its time lasts.
const RENEWALS: u32 = 4;
/// It looks whether anything is to be done so often.
const LOOKS: u32 = 16;
/// Beyond a majority so many parts of the tier are asked, so that some may be lost.
const SPARE: usize = 10;

/// What a front sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The fronts that are there, itself with them, in order.
    pub present: &'a [usize],
    /// It hears a majority, is not slow, and is not about to go: else it holds no duty.
    pub eligible: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This front owns a duty under a term from now on.
    Acquired(TaskId, u64),
    /// It has given it back.
    Gave(TaskId, u64),
    /// Its time ran out before it was renewed.
    Lapsed(TaskId, u64),
    /// An effect of an older term was refused.
    StaleEffect(TaskId, u64, usize),
}

/// What the driver does for it.
pub trait Host {
    fn send(&mut self, to: usize, body: &[u8]);
    fn event(&mut self, event: Event);
    /// An effect of a duty's owner, which has passed the fence.
    fn effect(&mut self, from: usize, duty: TaskId, term: u64, payload: &[u8]);
    /// A word to this front as the owner of a duty.
    fn report(&mut self, from: usize, duty: TaskId, term: u64, payload: &[u8]);
    /// Something told by a front that needs no owner, and is fenced by nothing.
    fn announcement(&mut self, from: usize, duty: TaskId, payload: &[u8]);
}

/// How one duty stands, as this front knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stands {
    pub duty: TaskId,
    pub term: u64,
    pub owner: Option<usize>,
    /// Until when, by the own clock; none where only its effects were heard of.
    pub until: Option<Duration>,
    pub mine: bool,
    /// Effects that this front has sent out, or carried out for others.
    pub effects: u64,
    pub refused: u64,
}

/// Which duties there are: those that always have an owner, and those that are ordered.
pub type TaskSet = BTreeSet<TaskId>;

#[derive(Debug)]
struct Post {
    claim: Claim,
    /// When it asks next.
    next: Duration,
    /// Since when another would be asking.
    better: Option<Duration>,
    /// All that are there are asked: the last round was granted by too few.
    wide: bool,
}

/// One front among those that share duties. All times are spans since the driver's start.
#[derive(Debug)]
pub struct LeaseManager {
    me: Holder,
    tier: usize,
    lasts: Duration,
    rng: Rand64,
    grants: Grants,
    fence: Fence,
    standing: TaskSet,
    ordered: TaskSet,
    posts: BTreeMap<TaskId, Post>,
    /// Counts the rounds of all claims, from 1.
    round: u32,
    /// By duty: who sent the newest effect that passed, and how many did.
    seen: BTreeMap<TaskId, (usize, u64)>,
    sent: BTreeMap<TaskId, u64>,
    next: Duration,
    left: bool,
}

impl LeaseManager {
    /// `me` of `tier` fronts in one life of its process; a grant lasts for `lasts`, the same at all fronts.
    pub fn new(
        now: Duration,
        me: usize,
        tier: usize,
        life: u32,
        seed: u64,
        lasts: Duration,
        standing: TaskSet,
    ) -> LeaseManager {
        LeaseManager {
            me: Holder { front: me as u16, life },
            tier,
            lasts,
            rng: Rand64::new(u128::from(seed) << 2 | 3),
            grants: Grants::new(now, lasts, life),
            fence: Fence::default(),
            standing,
            ordered: TaskSet::new(),
            posts: BTreeMap::new(),
            round: 0,
            seen: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: now,
            left: false,
        }
    }

    /// When [`LeaseManager::due`] is to be called next.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// This front wants a duty for work of its own, whoever else is there; or no more.
    pub fn order(&mut self, now: Duration, duty: TaskId, wanted: bool) {
        if wanted {
            self.ordered.insert(duty)
        } else {
            self.ordered.remove(&duty)
        };
        self.next = now;
    }

    /// The term under which this front owns a duty now.
    pub fn held_term(&self, now: Duration, duty: TaskId) -> Option<u64> {
        self.posts.get(&duty)?.claim.held(now).map(|(term, _)| term)
    }

    /// Duties that are this front's own now, with their terms.
    pub fn held_tasks(&self, now: Duration) -> Vec<(TaskId, u64)> {
        let held = |(&duty, post): (&TaskId, &Post)| Some((duty, post.claim.held(now)?.0));
        self.posts.iter().filter_map(held).collect()
    }

    /// Who has a duty by what this front has granted.
    pub fn owner(&self, now: Duration, duty: TaskId) -> Option<usize> {
        if self.held_term(now, duty).is_some() {
            return Some(self.me.front.into());
        }
        self.grants.holder(now, duty).map(|(holder, ..)| holder.front.into())
    }

    /// This place is known to others in a later life than this process began with.
    pub fn raise_term_floor(&mut self, life: u32) {
        self.grants.raise_term_floor(life);
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Duration, sight: FleetView, host: &mut impl Host) {
        if now < self.next || self.left {
            return;
        }
        self.next = now + self.lasts / LOOKS;
        let mut words = Outbox::new(self.me.life);
        let duties: TaskSet =
            self.standing.iter().chain(&self.ordered).chain(self.posts.keys()).copied().collect();
        for duty in duties {
            self.look(now, duty, sight, &mut words, host);
        }
        words.send(host);
    }

    fn look(
        &mut self,
        now: Duration,
        duty: TaskId,
        sight: FleetView,
        words: &mut Outbox,
        host: &mut impl Host,
    ) {
        let me = usize::from(self.me.front);
        let lapsed = self.posts.get_mut(&duty).and_then(|post| post.claim.lapse(now));
        if let Some(term) = lapsed {
            host.event(Event::Lapsed(duty, term));
        }
        let held = self.held_term(now, duty);
        let ordered = self.ordered.contains(&duty);
        let its = self.standing.contains(&duty) && first(duty, sight.present) == Some(me);
        // Whoever is better placed gets it, but not for one that is seen and lost again.
        let better = !ordered && !its;
        if let Some(post) = self.posts.get_mut(&duty) {
            post.better = post.better.or(Some(now)).filter(|_| better);
        }
        let stays =
            self.posts.get(&duty).and_then(|post| post.better).is_some_and(|at| now < at + self.lasts);
        let wants =
            sight.eligible && (ordered || its || held.is_some() && stays && self.standing.contains(&duty));
        if !wants {
            if let Some(post) = self.posts.remove(&duty)
                && (held.is_some() || post.claim.partly())
            {
                self.give_back(duty, post, held, sight, words, host);
            }
            return;
        }
        let life = self.me.life;
        let newest = self.grants.newest(duty).max(self.fence.newest(duty));
        let post = self.posts.entry(duty).or_insert_with(|| {
            let mut claim = Claim::new(self.me.front, life);
            claim.told(newest);
            Post { claim, next: now, better: None, wide: false }
        });
        if now < post.next {
            return;
        }
        let late = now.saturating_sub(post.claim.asked()) >= self.lasts / RENEWALS;
        if held.is_none() && post.claim.partly() && late {
            // Some have granted it and too few: two may ask at once. It lets go, and asks again at a time by chance.
            let term = post.claim.give();
            post.wide = true;
            post.next = now + self.lasts.mul_f64(self.rng.rand_float() / 4.0);
            self.grants.give(self.me, duty, term);
            let others = sight.present.iter().filter(|&&front| front != me);
            others.for_each(|&front| words.to(front).say(word::GIVE, duty, term, 0));
            return;
        }
        self.round += 1;
        let round = self.round;
        let term = post.claim.ask(now, round);
        let wide = std::mem::take(&mut post.wide);
        post.next = now + self.lasts / RENEWALS;
        let most =
            if wide || held.is_none() { self.tier } else { majority(self.tier) + self.tier / SPARE + 1 };
        // The same of them each time, so that no grant is left behind at others.
        let asked = order(duty ^ u64::MAX >> 1, sight.present, most);
        for front in asked.into_iter().filter(|&front| front != me) {
            words.to(front).say(word::ASK, duty, term, round);
        }
        if self.grants.ask(now, self.me, duty, term) == Answer::Granted {
            self.granted(now, me, duty, term, round, host);
        }
    }

    fn granted(
        &mut self,
        now: Duration,
        from: usize,
        duty: TaskId,
        term: u64,
        round: u32,
        host: &mut impl Host,
    ) {
        let Some(post) = self.posts.get_mut(&duty) else { return };
        if post.claim.granted(now, from as u16, term, round, self.tier, self.lasts) {
            host.event(Event::Acquired(duty, term));
        }
    }

    fn give_back(
        &mut self,
        duty: TaskId,
        mut post: Post,
        held: Option<u64>,
        sight: FleetView,
        words: &mut Outbox,
        host: &mut impl Host,
    ) {
        let term = post.claim.give();
        self.grants.give(self.me, duty, term);
        let me = usize::from(self.me.front);
        let others = sight.present.iter().filter(|&&front| front != me);
        others.for_each(|&front| words.to(front).say(word::GIVE, duty, term, 0));
        if let Some(term) = held {
            host.event(Event::Gave(duty, term));
        }
    }

    /// Gives all back; nothing is asked for, granted or done after it.
    pub fn leave(&mut self, now: Duration, sight: FleetView, host: &mut impl Host) {
        let mut words = Outbox::new(self.me.life);
        for (duty, post) in std::mem::take(&mut self.posts) {
            let held = post.claim.held(now).map(|(term, _)| term);
            self.give_back(duty, post, held, sight, &mut words, host);
        }
        words.send(host);
        self.left = true;
    }

    /// The one place through which every effect leaves: the clock is read last, right before each is handed on.
    /// False if this front does not own the duty under that term, or no longer.
    pub fn send_effect(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        duty: TaskId,
        term: u64,
        to: &[usize],
        payload: &[u8],
        host: &mut impl Host,
    ) -> bool {
        let mut words = Words::of(self.me.life);
        words.tell(word::EFFECT, duty, term, payload);
        let bodies = words.bodies();
        for &to in to {
            if self.left || self.held_term(clock(), duty) != Some(term) {
                return false;
            }
            *self.sent.entry(duty).or_default() += 1;
            if to != usize::from(self.me.front) {
                bodies.iter().for_each(|body| host.send(to, body));
            } else if self.passes(to, duty, term).is_ok() {
                host.effect(to, duty, term, payload);
            }
        }
        true
    }

    /// A word to whoever owns a duty under a term.
    pub fn report(&mut self, to: usize, duty: TaskId, term: u64, payload: &[u8], host: &mut impl Host) {
        if to == usize::from(self.me.front) {
            return host.report(to, duty, term, payload);
        }
        let mut words = Words::of(self.me.life);
        words.tell(word::REPORT, duty, term, payload);
        words.bodies().iter().for_each(|body| host.send(to, body));
    }

    /// Tells others something that does no harm whoever tells it, however late.
    pub fn tell(&mut self, duty: TaskId, to: &[usize], payload: &[u8], host: &mut impl Host) {
        let mut words = Words::of(self.me.life);
        words.tell(word::TELL, duty, 0, payload);
        let bodies = words.bodies();
        for &to in to.iter().filter(|&&to| to != usize::from(self.me.front) && !self.left) {
            bodies.iter().for_each(|body| host.send(to, body));
        }
    }

    fn passes(&mut self, from: usize, duty: TaskId, term: u64) -> Result<(), u64> {
        self.fence.passes(duty, term, self.grants.newest(duty))?;
        let seen = self.seen.entry(duty).or_insert((from, 0));
        *seen = (from, seen.1 + 1);
        Ok(())
    }

    /// A body has come from a front. The error: it can't be read; what stood before the fault counts.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: usize,
        body: &[u8],
        host: &mut impl Host,
    ) -> Result<(), &'static str> {
        const FAULT: &str = "a word about duties can't be read";
        if self.left {
            return Ok(());
        }
        let (life, mut rest) = postcard::take_from_bytes::<u32>(body).map_err(|_| FAULT)?;
        let holder = Holder { front: from as u16, life };
        let mut words = Outbox::new(self.me.life);
        while !rest.is_empty() {
            let ((what, duty, term), after) =
                postcard::take_from_bytes::<(u8, TaskId, u64)>(rest).map_err(|_| FAULT)?;
            if matches!(what, word::EFFECT | word::REPORT | word::TELL) {
                let (payload, after) = postcard::take_from_bytes::<&[u8]>(after).map_err(|_| FAULT)?;
                rest = after;
                if what == word::TELL {
                    host.announcement(from, duty, payload);
                } else if what == word::REPORT {
                    // Also to an earlier term of this front: it may have risen on the word's way.
                    let mine = term as u16 == self.me.front;
                    if self.held_term(now, duty).is_some_and(|held| mine && term <= held) {
                        host.report(from, duty, term, payload);
                    }
                } else if let Err(newest) = self.passes(from, duty, term) {
                    host.event(Event::StaleEffect(duty, term, from));
                    words.to(from).say(word::NEWEST, duty, newest, 0);
                } else {
                    host.effect(from, duty, term, payload);
                }
                continue;
            }
            let (number, after) = postcard::take_from_bytes::<u32>(after).map_err(|_| FAULT)?;
            rest = after;
            match what {
                word::ASK => match self.grants.ask(now, holder, duty, term) {
                    Answer::Granted => words.to(from).say(word::GRANT, duty, term, number),
                    Answer::Refused { newest, wait } => {
                        let ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                        words.to(from).say(word::REFUSE, duty, newest, ms);
                    }
                    Answer::Quiet => {}
                },
                word::GRANT => self.granted(now, from, duty, term, number, host),
                word::REFUSE | word::NEWEST => {
                    let held = self.held_term(now, duty).is_some();
                    let Some(post) = self.posts.get_mut(&duty) else { continue };
                    post.claim.told(term);
                    if what == word::REFUSE && !held {
                        let wait = Duration::from_millis(number.into()).min(self.lasts);
                        let lot = self.lasts.mul_f64(self.rng.rand_float() / f64::from(LOOKS));
                        post.next = post.next.max(now + wait + lot);
                    }
                }
                word::GIVE => {
                    self.grants.give(holder, duty, term);
                    // Who waited for it asks again, not all at one time.
                    let lot = self.lasts.mul_f64(self.rng.rand_float() / f64::from(LOOKS));
                    let waits = self.posts.get_mut(&duty).filter(|post| post.claim.held(now).is_none());
                    waits.into_iter().for_each(|post| post.next = post.next.min(now + lot));
                }
                // Of a later version: what follows can't be followed.
                _ => break,
            }
        }
        words.send(host);
        Ok(())
    }

    /// How each duty stands that this front knows of.
    pub fn stands(&self, now: Duration) -> Vec<Stands> {
        let all: TaskSet = self
            .standing
            .iter()
            .chain(&self.ordered)
            .chain(self.posts.keys())
            .chain(self.seen.keys())
            .copied()
            .chain(self.grants.duties())
            .collect();
        let one = |duty: TaskId| {
            let (refused, sent) = (self.fence.refused(duty), self.sent.get(&duty).copied().unwrap_or(0));
            let (last, passed) = self.seen.get(&duty).map_or((None, 0), |&(from, n)| (Some(from), n));
            let known = self.fence.newest(duty);
            let mine = self.posts.get(&duty).and_then(|post| post.claim.held(now));
            let other = self.grants.holder(now, duty);
            let (term, owner, until) = match (mine, other) {
                (Some((term, until)), _) => (term, Some(self.me.front.into()), Some(until)),
                (_, Some((holder, term, until))) => (term, Some(holder.front.into()), Some(until)),
                _ => (known, last, None),
            };
            let effects = sent.max(passed);
            Stands { duty, term, owner, until, mine: mine.is_some(), effects, refused }
        };
        all.into_iter().map(one).collect()
    }

    /// It has started too lately to grant anything.
    pub fn quiet(&self, now: Duration) -> bool {
        self.grants.quiet(now)
    }
}

/// Words to several fronts.
struct Outbox {
    life: u32,
    to: BTreeMap<usize, Words>,
}

impl Outbox {
    fn new(life: u32) -> Outbox {
        Outbox { life, to: BTreeMap::new() }
    }

    fn to(&mut self, front: usize) -> &mut Words {
        let life = self.life;
        self.to.entry(front).or_insert_with(|| Words::of(life))
    }

    fn send(self, host: &mut impl Host) {
        for (front, words) in self.to {
            words.bodies().iter().for_each(|body| host.send(front, body));
        }
    }
}
