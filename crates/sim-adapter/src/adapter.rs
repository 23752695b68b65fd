//! The instances of this process, the server lists that they share, and the reply being written.

use crate::membership::{self, MEMBERSHIP_TIMER, MembershipActions};
use crate::message::Message;
use juniperdock_deployment::{self as deployment, Indices, Origin};
use juniperdock_membership::Membership;
use juniperdock_router::host::{AttemptOutcome, Host, ListedStart, ListedState, Report, Role, SessionWrite};
use juniperdock_router::routing::Router;
use std::collections::HashMap;
use std::fmt::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// One entry of a shared server list, as received.
struct Entry {
    store: String,
    cell: u64,
    zone: usize,
    state: ListedState,
    primary: bool,
    started_at: Option<i64>,
}

/// The simulator's ids of one instance and their indices.
struct Ids {
    front: u64,
    origin: Origin,
    /// Number of txn types.
    txn_types: usize,
    stores: Indices<String>,
    cells: Indices<u64>,
    txns: HashMap<u64, usize>,
    txn_ids: Vec<u64>,
    free: Vec<usize>,
}

impl Ids {
    fn store_index(&self, name: &str) -> Result<usize, String> {
        self.stores.known(name).ok_or_else(|| format!("expected a store of a list, found {name:?}"))
    }

    fn add_txn(&mut self, id: u64) -> Result<usize, String> {
        if self.txns.contains_key(&id) {
            return Err(format!("expected a new id, found {id} again"));
        }
        let at = self.free.pop().unwrap_or_else(|| {
            self.txn_ids.push(id);
            self.txn_ids.len() - 1
        });
        self.txn_ids[at] = id;
        self.txns.insert(id, at);
        Ok(at)
    }

    /// Decodes the field `Stand`: 4 x position in ms + role, with position 0 for a position that was not reported.
    fn parse_stand(&self, stand: i64) -> (Option<Role>, Option<Duration>) {
        let role = match stand % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        (role, Some(stand / 4).filter(|&p| p > 0).and_then(|p| self.origin.position(p * 1000)))
    }
}

/// One router instance of this process.
struct Instance {
    router: Router,
    ids: Ids,
    /// Its membership, and when that is due next.
    membership: Option<Membership>,
    membership_due: Duration,
}

/// Writes the router's requests as actions for the simulator.
struct RouterActions<'a> {
    ids: &'a mut Ids,
    out: &'a mut String,
}

impl RouterActions<'_> {
    fn write_action(&mut self, action: std::fmt::Arguments<'_>) {
        self.out.write_fmt(action).expect("writing to a String never fails");
        self.out.push('\n');
    }
}

fn ms(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

impl Host for RouterActions<'_> {
    fn send(&mut self, txn: usize, member: usize, _until: Duration) {
        // The simulator sends at once, and the submission stays valid until its client gives up.
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        let store = self.ids.stores.id(member);
        writeln!(self.out, "PLACE Front={front} Corr={id} Store={store} GiveUpAfter=0")
            .expect("writing to a String never fails");
    }

    fn cancel(&mut self, txn: usize, submission: u32) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        self.write_action(format_args!("ABORT_ATTEMPT Front={front} Corr={id} N={submission}"));
    }

    fn decline(&mut self, txn: usize, retry_after: Option<Duration>) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        match retry_after {
            Some(wait) => {
                self.write_action(format_args!(
                    "OVERLOAD_REPLY Front={front} Corr={id} ComeBack={}",
                    ms(wait)
                ));
            }
            None => self.write_action(format_args!("OVERLOAD_REPLY Front={front} Corr={id}")),
        }
    }

    fn answer_unknown(&mut self, txn: usize) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        self.write_action(format_args!("ABORT Front={front} Corr={id}"));
    }

    fn release_txn(&mut self, txn: usize) {
        self.ids.txns.remove(&self.ids.txn_ids[txn]);
        self.ids.free.push(txn);
    }

    fn release_member(&mut self, member: usize) {
        self.ids.stores.forget(member);
    }

    fn probe(&mut self, member: usize) {
        let (front, store) = (self.ids.front, self.ids.stores.id(member));
        writeln!(self.out, "PROBE Front={front} Store={store}").expect("writing to a String never fails");
    }

    fn set_timer(&mut self, at: Duration, handle: u64) {
        let fire_at = (self.ids.origin.start + at.as_micros() as i64) as f64 / 1000.0;
        let front = self.ids.front;
        self.write_action(format_args!("REMIND Front={front} FireAt={fire_at} Handle={handle}"));
    }

    fn subscribe_to_member_list(&mut self) {
        let front = self.ids.front;
        self.write_action(format_args!("LISTEN Front={front} On=1"));
    }
}

/// All instances and the state of the protocol.
#[derive(Default)]
pub struct Adapter {
    clock: i64,
    turn: u64,
    lists: Vec<Vec<Entry>>,
    /// The list that is being read, and how many entries are still missing.
    partial_list: Option<(usize, usize)>,
    instances: HashMap<u64, Instance>,
    out: String,
    /// Instances have a membership, if their settings allow it.
    membership: bool,
}

impl Adapter {
    /// An adapter without instances. `membership`: new instances get a membership if their settings allow it.
    pub fn new(membership: bool) -> Adapter {
        Adapter { membership, ..Adapter::default() }
    }

    /// The reply so far.
    pub fn reply(&self) -> &str {
        &self.out
    }

    /// Starts a new reply.
    pub fn clear_reply(&mut self) {
        self.out.clear();
    }

    /// Processes one line; true if it ends the batch.
    pub fn process(&mut self, text: &str) -> Result<bool, String> {
        let message = Message::new(text);
        if self.partial_list.is_some() != (message.name == "ROW") {
            return Err(match self.partial_list {
                Some((_, left)) => format!("expected {left} more ROW, found {text:?}"),
                None => format!("expected no ROW outside a ROSTER, found {text:?}"),
            });
        }
        match message.name {
            "ROUND" => {
                self.clock = message.millis("Time")?.ok_or("ROUND: expected a field Time")?;
                self.turn = message.required("turn")?;
            }
            "COMMIT" => {
                writeln!(self.out, "READY turn={}", self.turn).expect("writing to a String never fails");
                return Ok(true);
            }
            "ROSTER" => {
                let (list, entries): (usize, usize) = (message.required("List")?, message.required("Hosts")?);
                if list > 15 {
                    return Err(format!("ROSTER: expected a List from 0 to 15, found {list}"));
                }
                while self.lists.len() <= list {
                    self.lists.push(Vec::new());
                }
                self.lists[list].clear();
                self.partial_list = (entries > 0).then_some((list, entries));
            }
            "ROW" => self.add_entry(&message)?,
            "BORN" => {
                let instance = new_instance(&message, self.clock, self.membership)?;
                let on_request = message.text("Discovery") == Some("on_request");
                let front = instance.ids.front;
                self.instances.insert(front, instance);
                self.with_membership(front, |membership, now, actions| {
                    membership.handle_timeout(now, actions)
                });
                if on_request {
                    self.with_router(front, |router, now, host| router.discovery_lost(now, host))?;
                }
            }
            "RETIRE" => {
                let front: u64 = message.required("Front")?;
                self.instances.remove(&front).ok_or_else(|| unknown_instance(front))?;
            }
            "UPDATE" => self.update_list(&message)?,
            _ => self.instance_event(&message)?,
        }
        Ok(false)
    }

    fn add_entry(&mut self, message: &Message) -> Result<(), String> {
        let Some((list, left)) = self.partial_list else { return Ok(()) };
        self.lists[list].push(Entry {
            store: message.required("Store")?,
            cell: message.required("Cell")?,
            zone: message.optional("RegionPart")?.unwrap_or(0),
            state: match message.text("Health") {
                Some("up") | None => ListedState::Up,
                Some("draining") => ListedState::Draining,
                Some("removed") => ListedState::Removed,
                Some(other) => {
                    return Err(format!("ROW: expected up, draining or removed in Health, found {other:?}"));
                }
            },
            primary: message.optional::<f64>("IsPrimary")?.unwrap_or(0.0) > 0.5,
            started_at: message.millis("CameUp")?.filter(|&at| at != 0),
        });
        self.partial_list = (left > 1).then_some((list, left - 1));
        Ok(())
    }

    fn update_list(&mut self, message: &Message) -> Result<(), String> {
        let front: u64 = message.required("Front")?;
        let complete = match message.text("How") {
            Some("Partial") => false,
            Some("Complete" | "Persisted") => true,
            Some("Error") => {
                return self.with_router(front, |router, now, host| router.discovery_lost(now, host));
            }
            other => return Err(format!("UPDATE: expected a known How, found {other:?}")),
        };
        let list: usize = message.required("List")?;
        let entries = std::mem::take(
            self.lists.get_mut(list).ok_or_else(|| format!("UPDATE: expected a known List, found {list}"))?,
        );
        let clock = self.clock;
        let result = self.with_router(front, |router, now, host| {
            let mut named = Vec::with_capacity(entries.len());
            for entry in &entries {
                let (member, group) =
                    (host.ids.stores.index(entry.store.clone()), host.ids.cells.index(entry.cell));
                let start = entry.started_at.map(|told| {
                    let up_for = deployment::span(clock.saturating_sub(told));
                    ListedStart { told, up_for }
                });
                router.member_listed(now, member, group, entry.zone, entry.state, entry.primary, start);
                named.push(member);
            }
            router.list_completed(now, complete.then_some(&named), host);
        });
        self.lists[list] = entries;
        result
    }

    fn instance_event(&mut self, message: &Message) -> Result<(), String> {
        let known =
            ["JOB_IN", "ATTEMPT_END", "TICK_DUE", "CANCELLED_BY_CLIENT", "HEALTH_RESULT", "MEMO", "ACCEPTED"];
        if !known.contains(&message.name) {
            return Err(format!("expected a known message, found {:?}", message.name));
        }
        let front: u64 = message.required("Front")?;
        let ids = &mut self.instances.get_mut(&front).ok_or_else(|| unknown_instance(front))?.ids;
        match message.name {
            "JOB_IN" => {
                let (kind, cell): (usize, u64) = (message.required("Class")?, message.required("Shard")?);
                if kind >= ids.txn_types {
                    return Err(format!("JOB_IN: expected a Class below {}, found {kind}", ids.txn_types));
                }
                let left = message.span("Left")?.ok_or("JOB_IN: expected a field Left")?;
                let retried = message.flag("IsRetry")?;
                let tenant: Option<usize> = message.optional("Org")?;
                let (session, wrote_ago) = (message.optional("ClientKey")?, message.span("WroteMsAgo")?);
                let session_write = |now: Duration| match wrote_ago {
                    None => SessionWrite::Untold,
                    Some(Duration::ZERO) => SessionWrite::Never,
                    Some(ago) => SessionWrite::At(now.saturating_sub(ago)),
                };
                let txn = ids.add_txn(message.required("Corr")?)?;
                let group = ids.cells.index(cell);
                self.with_router(front, |router, now, host| {
                    router.txn_arrived(
                        now,
                        txn,
                        kind,
                        group,
                        left,
                        retried,
                        tenant,
                        session,
                        session_write(now),
                        0,
                        host,
                    );
                })
            }
            "ATTEMPT_END" => {
                let (over, took) = (message.flag("DoneFlag")?, message.span("CostTime")?.unwrap_or_default());
                let outcome = parse_outcome(message)?;
                let member = ids.store_index(message.text("Store").unwrap_or_default())?;
                let (role, position) = ids.parse_stand(message.optional("Stand")?.unwrap_or(0));
                let Some(&txn) = ids.txns.get(&message.required::<u64>("Corr")?) else { return Ok(()) };
                self.with_router(front, |router, now, host| {
                    router.submission_ended(now, txn, over, member, outcome, role, position, took, host);
                })
            }
            "TICK_DUE" => {
                let handle = message.required("Handle")?;
                if handle == MEMBERSHIP_TIMER {
                    self.with_membership(front, |membership, now, actions| {
                        membership.handle_timeout(now, actions)
                    });
                    return Ok(());
                }
                self.with_router(front, |router, now, host| router.timer_fired(now, handle, host))
            }
            "CANCELLED_BY_CLIENT" => {
                let Some(&txn) = ids.txns.get(&message.required::<u64>("Corr")?) else { return Ok(()) };
                self.with_router(front, |router, now, host| router.client_left(now, txn, host))
            }
            "HEALTH_RESULT" => {
                let outcome = parse_outcome(message)?;
                let member = ids.store_index(message.text("Store").unwrap_or_default())?;
                let report = parse_report(message, ids)?;
                self.with_router(front, |router, now, host| {
                    router.probe_ended(now, member, outcome, report, host);
                })
            }
            "MEMO" => {
                let payload = message.text("Payload").unwrap_or("-");
                let bytes = membership::parse_hex(payload)
                    .ok_or_else(|| format!("MEMO: expected hex digits, found {payload:?}"))?;
                let from: usize = message.required("From")?;
                // The membership counts refused datagrams itself.
                self.with_membership(front, |membership, now, actions| {
                    let _ = membership.handle_datagram(now, from, &bytes, actions);
                });
                Ok(())
            }
            // Only streamed txn types report the start of an answer, and no decision depends on it.
            _ => Ok(()),
        }
    }

    /// Calls an instance's membership, if it has one, and sets its next timer.
    fn with_membership(
        &mut self,
        front: u64,
        input: impl FnOnce(&mut Membership, Duration, &mut MembershipActions),
    ) {
        let Some(Instance { ids, membership: Some(membership), membership_due, .. }) =
            self.instances.get_mut(&front)
        else {
            return;
        };
        let now = ids.origin.since_start(self.clock);
        input(membership, now, &mut MembershipActions { front, out: &mut self.out });
        let next = membership.next_timeout();
        if next != *membership_due || now >= *membership_due {
            *membership_due = next;
            RouterActions { ids, out: &mut self.out }.set_timer(next, MEMBERSHIP_TIMER);
        }
    }

    /// Calls an instance's router; a panic is reported to the simulator.
    fn with_router(
        &mut self,
        front: u64,
        input: impl FnOnce(&mut Router, Duration, &mut RouterActions),
    ) -> Result<(), String> {
        let Instance { router, ids, .. } =
            self.instances.get_mut(&front).ok_or_else(|| unknown_instance(front))?;
        let now = ids.origin.since_start(self.clock);
        let mut host = RouterActions { ids, out: &mut self.out };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| input(router, now, &mut host))) {
            let why = panic.downcast_ref::<String>().map(String::as_str);
            let why = why.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a panic without text");
            let why = why.replace(['\n', '\r'], " ");
            writeln!(self.out, "BROKEN Front={front} Msg={why}").expect("writing to a String never fails");
        }
        Ok(())
    }
}

fn unknown_instance(front: u64) -> String {
    format!("expected the Front of an existing instance, found Front={front}")
}

/// Translates the field `Verdict`.
fn parse_outcome(message: &Message) -> Result<AttemptOutcome, String> {
    Ok(match message.text("Verdict").unwrap_or_default() {
        "OK" => AttemptOutcome::Committed,
        "INTERNAL" => AttemptOutcome::Errored,
        "RESOURCE_EXHAUSTED" => AttemptOutcome::Full,
        "DEADLINE_EXCEEDED" => AttemptOutcome::TimedOut,
        "UNAVAILABLE" => AttemptOutcome::Unreachable,
        "ABORTED" => AttemptOutcome::Dropped,
        "CANCELLED" => AttemptOutcome::Cancelled,
        "TOO_LATE" => AttemptOutcome::Moot,
        "NOT_FOUND" => AttemptOutcome::Misplaced,
        other => return Err(format!("{}: expected a known Verdict, found {other:?}", message.name)),
    })
}

/// Translates the field `Stats`.
fn parse_report(message: &Message, ids: &Ids) -> Result<Report, String> {
    let fields = message.text("Stats").unwrap_or("").split(',').filter_map(|part| part.split_once(':'));
    deployment::parse_report(fields, &ids.origin).map_err(|why| format!("{}: {why}", message.name))
}

/// Creates an instance from its settings.
fn new_instance(message: &Message, clock: i64, membership_enabled: bool) -> Result<Instance, String> {
    let (router, consistencies) =
        deployment::build_router(message.required("Entropy")?, &|path| message.text(path).map(str::to_owned))
            .map_err(|why| format!("BORN: {why}"))?;
    let zero = message.millis("Specifics.Zero")?.unwrap_or(clock);
    let ids = Ids {
        front: message.required("Front")?,
        origin: Origin { start: clock, zero },
        txn_types: consistencies.len(),
        stores: Indices::default(),
        cells: Indices::default(),
        txns: HashMap::new(),
        txn_ids: Vec::new(),
        free: Vec::new(),
    };
    let membership = (membership_enabled && message.flag("Bounds.Peers")?)
        .then(|| Ok::<_, String>((message.required("Me")?, message.required("Balancers")?)))
        .transpose()?
        .map(|(index, cluster_size)| {
            Ok::<_, String>(membership::new_membership(
                index,
                cluster_size,
                clock,
                message.required("Entropy")?,
            ))
        })
        .transpose()?;
    Ok(Instance { router, ids, membership, membership_due: Duration::MAX })
}
