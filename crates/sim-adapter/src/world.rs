//! The instances of this process, the lists they share, and the reply being written.

use crate::fellows::{self, Letters, REMINDER};
use crate::line::Line;
use juniperdock_deployment::{self as deployment, Indices, Origin};
use juniperdock_membership::Membership;
use juniperdock_router::host::{AttemptOutcome, Host, ListedState, Report, Role};
use juniperdock_router::routing::Router;
use std::collections::HashMap;
use std::fmt::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// One row of a shared list, as it came.
struct Row {
    store: String,
    cell: u64,
    zone: usize,
    state: ListedState,
    primary: bool,
    came_up: Option<i64>,
}

/// Ids of one instance and the indices that stand for them.
struct Ids {
    front: u64,
    origin: Origin,
    /// How many txn types there are.
    kinds: usize,
    stores: Indices<String>,
    cells: Indices<u64>,
    txns: HashMap<u64, usize>,
    txn_ids: Vec<u64>,
    free: Vec<usize>,
}

impl Ids {
    fn known_store(&self, name: &str) -> Result<usize, String> {
        self.stores.known(name).ok_or_else(|| format!("expected a store of a list, found {name:?}"))
    }

    fn new_txn(&mut self, id: u64) -> Result<usize, String> {
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

    /// 4 x position in ms + role; 0 for a position that is not told.
    fn stand(&self, stand: i64) -> (Option<Role>, Option<Duration>) {
        let role = match stand % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        (role, Some(stand / 4).filter(|&p| p > 0).and_then(|p| self.origin.position(p * 1000)))
    }
}

struct Instance {
    router: Router,
    ids: Ids,
    /// Its part among the fronts, and when that is to be looked at next.
    fellows: Option<Membership>,
    meets: Duration,
}

/// Writes the router's calls as actions.
struct Actions<'a> {
    ids: &'a mut Ids,
    out: &'a mut String,
}

impl Actions<'_> {
    fn put(&mut self, action: std::fmt::Arguments<'_>) {
        self.out.write_fmt(action).expect("a String takes all");
        self.out.push('\n');
    }
}

fn ms(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

impl Host for Actions<'_> {
    fn send(&mut self, txn: usize, member: usize, _until: Duration) {
        // What is sent here leaves at once, and lasts until its client gives up.
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        let store = self.ids.stores.id(member);
        writeln!(self.out, "PLACE Front={front} Corr={id} Store={store} GiveUpAfter=0")
            .expect("a String takes all");
    }

    fn cancel(&mut self, txn: usize, submission: u32) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        self.put(format_args!("ABORT_ATTEMPT Front={front} Corr={id} N={submission}"));
    }

    fn decline(&mut self, txn: usize, come_back: Option<Duration>) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        match come_back {
            Some(wait) => {
                self.put(format_args!("OVERLOAD_REPLY Front={front} Corr={id} ComeBack={}", ms(wait)));
            }
            None => self.put(format_args!("OVERLOAD_REPLY Front={front} Corr={id}")),
        }
    }

    fn answer_unknown(&mut self, txn: usize) {
        let (front, id) = (self.ids.front, self.ids.txn_ids[txn]);
        self.put(format_args!("ABORT Front={front} Corr={id}"));
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
        writeln!(self.out, "PROBE Front={front} Store={store}").expect("a String takes all");
    }

    fn set_timer(&mut self, at: Duration, handle: u64) {
        let fire_at = (self.ids.origin.start + at.as_micros() as i64) as f64 / 1000.0;
        let front = self.ids.front;
        self.put(format_args!("REMIND Front={front} FireAt={fire_at} Handle={handle}"));
    }

    fn subscribe_to_member_list(&mut self) {
        let front = self.ids.front;
        self.put(format_args!("LISTEN Front={front} On=1"));
    }
}

#[derive(Default)]
pub struct World {
    clock: i64,
    turn: u64,
    lists: Vec<Vec<Row>>,
    /// The list being read, and how many rows are still to come.
    filling: Option<(usize, usize)>,
    instances: HashMap<u64, Instance>,
    out: String,
    /// Instances know each other, where the settings let them speak.
    fellows: bool,
}

impl World {
    /// A world without instances; `fellows`: those to be born know each other, where the settings let them.
    pub fn new(fellows: bool) -> World {
        World { fellows, ..World::default() }
    }

    pub fn reply(&self) -> &str {
        &self.out
    }

    pub fn clear_reply(&mut self) {
        self.out.clear();
    }

    /// Takes in one line; true once it has closed the batch.
    pub fn event(&mut self, text: &str) -> Result<bool, String> {
        let line = Line::new(text);
        if self.filling.is_some() != (line.name == "ROW") {
            return Err(match self.filling {
                Some((_, left)) => format!("expected {left} more ROW, found {text:?}"),
                None => format!("expected no ROW outside a ROSTER, found {text:?}"),
            });
        }
        match line.name {
            "ROUND" => {
                self.clock = line.millis("Time")?.ok_or("ROUND: expected a field Time")?;
                self.turn = line.need("turn")?;
            }
            "COMMIT" => {
                writeln!(self.out, "READY turn={}", self.turn).expect("a String takes all");
                return Ok(true);
            }
            "ROSTER" => {
                let (list, rows): (usize, usize) = (line.need("List")?, line.need("Hosts")?);
                if list > 15 {
                    return Err(format!("ROSTER: expected a List from 0 to 15, found {list}"));
                }
                while self.lists.len() <= list {
                    self.lists.push(Vec::new());
                }
                self.lists[list].clear();
                self.filling = (rows > 0).then_some((list, rows));
            }
            "ROW" => self.row(&line)?,
            "BORN" => {
                let instance = born(&line, self.clock, self.fellows)?;
                let asks = line.text("Discovery") == Some("on_request");
                let front = instance.ids.front;
                self.instances.insert(front, instance);
                self.meet(front, |fellows, now, letters| fellows.handle_timeout(now, letters));
                if asks {
                    self.call(front, |router, now, host| router.discovery_lost(now, host))?;
                }
            }
            "RETIRE" => {
                let front: u64 = line.need("Front")?;
                self.instances.remove(&front).ok_or_else(|| unborn(front))?;
            }
            "UPDATE" => self.update(&line)?,
            _ => self.instance_event(&line)?,
        }
        Ok(false)
    }

    fn row(&mut self, line: &Line) -> Result<(), String> {
        let Some((list, left)) = self.filling else { return Ok(()) };
        self.lists[list].push(Row {
            store: line.need("Store")?,
            cell: line.need("Cell")?,
            zone: line.opt("RegionPart")?.unwrap_or(0),
            state: match line.text("Health") {
                Some("up") | None => ListedState::Up,
                Some("draining") => ListedState::Draining,
                Some("removed") => ListedState::Removed,
                Some(other) => {
                    return Err(format!("ROW: expected up, draining or removed in Health, found {other:?}"));
                }
            },
            primary: line.opt::<f64>("IsPrimary")?.unwrap_or(0.0) > 0.5,
            came_up: line.millis("CameUp")?.filter(|&at| at != 0),
        });
        self.filling = (left > 1).then_some((list, left - 1));
        Ok(())
    }

    fn update(&mut self, line: &Line) -> Result<(), String> {
        let front: u64 = line.need("Front")?;
        let complete = match line.text("How") {
            Some("Partial") => false,
            Some("Complete" | "Persisted") => true,
            Some("Error") => return self.call(front, |router, now, host| router.discovery_lost(now, host)),
            other => return Err(format!("UPDATE: expected a known How, found {other:?}")),
        };
        let list: usize = line.need("List")?;
        let rows = std::mem::take(
            self.lists.get_mut(list).ok_or_else(|| format!("UPDATE: expected a known List, found {list}"))?,
        );
        let clock = self.clock;
        let done = self.call(front, |router, now, host| {
            let mut named = Vec::with_capacity(rows.len());
            for row in &rows {
                let (member, group) =
                    (host.ids.stores.index(row.store.clone()), host.ids.cells.index(row.cell));
                let up_for = row.came_up.map(|at| deployment::span(clock - at));
                router.member_listed(now, member, group, row.zone, row.state, row.primary, up_for);
                named.push(member);
            }
            router.list_completed(now, complete.then_some(&named), host);
        });
        self.lists[list] = rows;
        done
    }

    fn instance_event(&mut self, line: &Line) -> Result<(), String> {
        let known =
            ["JOB_IN", "ATTEMPT_END", "TICK_DUE", "CANCELLED_BY_CLIENT", "HEALTH_RESULT", "MEMO", "ACCEPTED"];
        if !known.contains(&line.name) {
            return Err(format!("expected a known message, found {:?}", line.name));
        }
        let front: u64 = line.need("Front")?;
        let ids = &mut self.instances.get_mut(&front).ok_or_else(|| unborn(front))?.ids;
        match line.name {
            "JOB_IN" => {
                let (kind, cell): (usize, u64) = (line.need("Class")?, line.need("Shard")?);
                if kind >= ids.kinds {
                    return Err(format!("JOB_IN: expected a Class below {}, found {kind}", ids.kinds));
                }
                let left = line.span("Left")?.ok_or("JOB_IN: expected a field Left")?;
                let retried = line.flag("IsRetry")?;
                let tenant: Option<usize> = line.opt("Org")?;
                let (session, wrote) = (line.opt("ClientKey")?, line.span("WroteMsAgo")?);
                let txn = ids.new_txn(line.need("Corr")?)?;
                let group = ids.cells.index(cell);
                self.call(front, |router, now, host| {
                    router.txn_arrived(now, txn, kind, group, left, retried, tenant, session, wrote, 0, host);
                })
            }
            "ATTEMPT_END" => {
                let (over, took) = (line.flag("DoneFlag")?, line.span("CostTime")?.unwrap_or_default());
                let ending = ending(line)?;
                let member = ids.known_store(line.text("Store").unwrap_or_default())?;
                let (role, position) = ids.stand(line.opt("Stand")?.unwrap_or(0));
                let Some(&txn) = ids.txns.get(&line.need::<u64>("Corr")?) else { return Ok(()) };
                self.call(front, |router, now, host| {
                    router.submission_ended(now, txn, over, member, ending, role, position, took, host);
                })
            }
            "TICK_DUE" => {
                let handle = line.need("Handle")?;
                if handle == REMINDER {
                    self.meet(front, |fellows, now, letters| fellows.handle_timeout(now, letters));
                    return Ok(());
                }
                self.call(front, |router, now, host| router.timer_fired(now, handle, host))
            }
            "CANCELLED_BY_CLIENT" => {
                let Some(&txn) = ids.txns.get(&line.need::<u64>("Corr")?) else { return Ok(()) };
                self.call(front, |router, now, host| router.client_left(now, txn, host))
            }
            "HEALTH_RESULT" => {
                let ending = ending(line)?;
                let member = ids.known_store(line.text("Store").unwrap_or_default())?;
                let report = report(line, ids)?;
                self.call(front, |router, now, host| {
                    router.probe_ended(now, member, ending, report, host);
                })
            }
            "MEMO" => {
                let payload = line.text("Payload").unwrap_or("-");
                let bytes = fellows::bytes(payload)
                    .ok_or_else(|| format!("MEMO: expected hex digits, found {payload:?}"))?;
                let from: usize = line.need("From")?;
                // One that is refused is counted by the membership.
                self.meet(front, |fellows, now, letters| {
                    let _ = fellows.handle_datagram(now, from, &bytes, letters);
                });
                Ok(())
            }
            // Only streamed txn types have a start of their answer; nothing is decided on it.
            _ => Ok(()),
        }
    }

    /// Calls an instance's membership, if it has one.
    fn meet(&mut self, front: u64, input: impl FnOnce(&mut Membership, Duration, &mut Letters)) {
        let Some(Instance { ids, fellows: Some(fellows), meets, .. }) = self.instances.get_mut(&front) else {
            return;
        };
        let now = ids.origin.since_start(self.clock);
        input(fellows, now, &mut Letters { front, out: &mut self.out });
        let next = fellows.next_timeout();
        if next != *meets || now >= *meets {
            *meets = next;
            Actions { ids, out: &mut self.out }.set_timer(next, REMINDER);
        }
    }

    /// Calls the router of an instance; should it panic, the simulator is told.
    fn call(
        &mut self,
        front: u64,
        input: impl FnOnce(&mut Router, Duration, &mut Actions),
    ) -> Result<(), String> {
        let Instance { router, ids, .. } = self.instances.get_mut(&front).ok_or_else(|| unborn(front))?;
        let now = ids.origin.since_start(self.clock);
        let mut host = Actions { ids, out: &mut self.out };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| input(router, now, &mut host))) {
            let why = panic.downcast_ref::<String>().map(String::as_str);
            let why = why.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a panic without text");
            let why = why.replace(['\n', '\r'], " ");
            writeln!(self.out, "BROKEN Front={front} Msg={why}").expect("a String takes all");
        }
        Ok(())
    }
}

fn unborn(front: u64) -> String {
    format!("expected an instance that was born, found Front={front}")
}

fn ending(line: &Line) -> Result<AttemptOutcome, String> {
    Ok(match line.text("Verdict").unwrap_or_default() {
        "OK" => AttemptOutcome::Committed,
        "INTERNAL" => AttemptOutcome::Errored,
        "RESOURCE_EXHAUSTED" => AttemptOutcome::Full,
        "DEADLINE_EXCEEDED" => AttemptOutcome::TimedOut,
        "UNAVAILABLE" => AttemptOutcome::Unreachable,
        "ABORTED" => AttemptOutcome::Dropped,
        "CANCELLED" => AttemptOutcome::Cancelled,
        "TOO_LATE" => AttemptOutcome::Moot,
        "NOT_FOUND" => AttemptOutcome::Misplaced,
        other => return Err(format!("{}: expected a known Verdict, found {other:?}", line.name)),
    })
}

fn report(line: &Line, ids: &Ids) -> Result<Report, String> {
    let fields = line.text("Stats").unwrap_or("").split(',').filter_map(|part| part.split_once(':'));
    deployment::report(fields, &ids.origin).map_err(|why| format!("{}: {why}", line.name))
}

/// Reads what an instance is handed at its start.
fn born(line: &Line, clock: i64, speaks: bool) -> Result<Instance, String> {
    let (router, levels) =
        deployment::open(line.need("Entropy")?, &|path| line.text(path).map(str::to_owned))
            .map_err(|why| format!("BORN: {why}"))?;
    let zero = line.millis("Specifics.Zero")?.unwrap_or(clock);
    let ids = Ids {
        front: line.need("Front")?,
        origin: Origin { start: clock, zero },
        kinds: levels.len(),
        stores: Indices::default(),
        cells: Indices::default(),
        txns: HashMap::new(),
        txn_ids: Vec::new(),
        free: Vec::new(),
    };
    let fellows = (speaks && line.flag("Bounds.Peers")?)
        .then(|| Ok::<_, String>((line.need("Me")?, line.need("Balancers")?)))
        .transpose()?
        .map(|(me, tier)| Ok::<_, String>(fellows::born(me, tier, clock, line.need("Entropy")?)))
        .transpose()?;
    Ok(Instance { router, ids, fellows, meets: Duration::MAX })
}
