//! Code shared by all hosts of the router: converts the settings given at start into the router's types, and ids into
//! small indices. It only translates; it decides nothing.

use juniperdock_router::host::{ColdStart, Consistency, Effect, FrontInfo, Report, Role, Scope, TxnType};
use juniperdock_router::routing::Router;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::str::FromStr;
use std::time::Duration;

/// Assigns small indices to ids in the order in which they first occur. The index of a forgotten id is reused for the
/// next new one.
///
/// ```
/// use juniperdock_deployment::Indices;
///
/// let mut members = Indices::default();
/// assert_eq!(members.index("m-7".to_owned()), 0);
/// assert_eq!(members.index("m-3".to_owned()), 1);
/// assert_eq!(members.index("m-7".to_owned()), 0);
/// assert_eq!(members.known("m-3"), Some(1));
/// assert_eq!(members.id(0), "m-7");
/// members.forget(0);
/// assert_eq!((members.known("m-7"), members.index("m-9".to_owned())), (None, 0));
/// assert_eq!(members.index("m-7".to_owned()), 2);
/// ```
#[derive(Debug)]
pub struct Indices<K> {
    of: HashMap<K, usize>,
    ids: Vec<K>,
    free: Vec<usize>,
}

impl<K> Default for Indices<K> {
    fn default() -> Self {
        Indices { of: HashMap::new(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> Indices<K> {
    /// Returns the index of an id, assigning one if it is new.
    pub fn index(&mut self, id: K) -> usize {
        if let Some(&at) = self.of.get(&id) {
            return at;
        }
        let at = self.free.pop().unwrap_or(self.ids.len());
        self.of.insert(id.clone(), at);
        match self.ids.get_mut(at) {
            Some(slot) => *slot = id,
            None => self.ids.push(id),
        }
        at
    }

    /// Removes an id and frees its index for reuse.
    pub fn forget(&mut self, index: usize) {
        if self.of.remove(&self.ids[index]).is_some() {
            self.free.push(index);
        }
    }

    /// Returns the index of an id if it has one.
    pub fn known<Q: Eq + Hash + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.of.get(id).copied()
    }

    /// Returns the id at an index; after [`Self::forget`], the removed id until the index is reused.
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }

    /// The number of indices ever assigned, including free ones.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no index was ever assigned.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

/// The start time of an instance and the zero point of replay positions, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    pub start: i64,
    pub zero: i64,
}

impl Origin {
    /// The time from the start to a reading of the host's clock; zero for a reading before it.
    pub fn since_start(&self, clock: i64) -> Duration {
        span(clock - self.start)
    }

    /// Converts a replay position to time since the start. `None` for one before the start, which proves nothing that
    /// this instance can use.
    pub fn position(&self, micros: i64) -> Option<Duration> {
        let since = self.zero.checked_add(micros)?.checked_sub(self.start)?;
        u64::try_from(since).ok().map(Duration::from_micros)
    }
}

/// Converts microseconds to a duration; negative values become zero.
pub fn span(micros: i64) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// Converts milliseconds to microseconds; `None` if they are not finite or out of range.
pub fn micros(ms: f64) -> Option<i64> {
    let us = (ms * 1000.0).round();
    (us.is_finite() && us.abs() < 9e15).then_some(us as i64)
}

/// Parses the report of a member about itself; unknown fields are ignored.
///
/// # Errors
/// If a value is not a finite number.
pub fn parse_report<'a>(
    fields: impl Iterator<Item = (&'a str, &'a str)>,
    origin: &Origin,
) -> Result<Report, String> {
    let mut report = Report::default();
    for (name, value) in fields {
        let number = || value.parse::<f64>().ok().filter(|v| v.is_finite());
        let value = number().ok_or_else(|| format!("expected a number in {name}, found {value:?}"))?;
        match name {
            // Rounded down: a position that was not reached must never be claimed.
            "x0" => report.position = origin.position((value * 1e6 + 1e-3).floor() as i64),
            "x1" => report.role = Some(if value > 0.5 { Role::Primary } else { Role::Replica }),
            "q" => report.queue = Some(value),
            "busy" => report.busy = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

/// Looks settings up by path, such as `Services.0.Value`. A list of plain values is joined by commas, and the length of
/// a list of records is found under `.count`.
struct Settings<'a>(&'a dyn Fn(&str) -> Option<String>);

impl Settings<'_> {
    fn text(&self, path: &str) -> Option<String> {
        (self.0)(path).filter(|text| !text.is_empty())
    }

    fn opt<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        let parse =
            |v: String| v.parse().map_err(|_| format!("expected a valid value in {path}, found {v:?}"));
        self.text(path).map(parse).transpose()
    }

    fn span(&self, path: &str) -> Result<Option<Duration>, String> {
        let micros = |ms| micros(ms).ok_or_else(|| format!("expected a time in {path}, found {ms}"));
        Ok(self.opt::<f64>(path)?.map(micros).transpose()?.map(span))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(format!("expected a yes or no in {path}, found {v:?}")),
        }
    }

    /// Returns the number at `path`, if it is set; it must lie between 0 and `max`.
    fn within(&self, path: &str, max: f64) -> Result<Option<f64>, String> {
        let number = self.opt::<f64>(path)?;
        match number.filter(|n| !(0.0..=max).contains(n)) {
            Some(n) => Err(format!("expected a number from 0 to {max} in {path}, found {n}")),
            None => Ok(number),
        }
    }

    fn txn_type(&self, i: usize) -> Result<TxnType, String> {
        let path = |key: &str| format!("Services.{i}.{key}");
        let effect = match self.text(&path("Effect")).as_deref() {
            Some("pure") => Effect::Repeatable,
            Some("token") => Effect::Referenced {
                window: self.span(&path("Window"))?.unwrap_or_default(),
                scope: match self.text(&path("DedupScope")).as_deref() {
                    Some("all") => Scope::Everywhere,
                    Some("zone") => Scope::Zone,
                    _ => Scope::Group,
                },
            },
            Some("side_effect") | None => Effect::OnceOnly,
            Some(v) => return Err(format!("expected a known effect in {}, found {v:?}", path("Effect"))),
        };
        let nth = |path: &str| self.text(path).and_then(|all| all.split(',').nth(i).map(str::to_owned));
        let consistency = match nth("Specifics.ReadLevel").as_deref().unwrap_or("loose") {
            "update" => Consistency::Write,
            "latest" => Consistency::Fresh,
            "own_writes" => Consistency::Session,
            "recent" => {
                let age = nth("Specifics.MaxAge").and_then(|age| micros(age.parse().ok()?));
                let age = age.ok_or_else(|| format!("expected a time for {i} in Specifics.MaxAge"))?;
                Consistency::Bounded(span(age))
            }
            "loose" | "" => Consistency::Loose,
            v => return Err(format!("expected a known read level, found {v:?}")),
        };
        Ok(TxnType {
            sla: self.span(&path("Objective"))?.unwrap_or_default(),
            value: self.opt(&path("Value"))?.unwrap_or(1.0),
            late_value: self.opt(&path("LateWorth"))?.unwrap_or(0.0),
            effect,
            consistency,
        })
    }
}

/// Builds the router of one instance from its settings; returns it with the consistency level of each txn type.
///
/// # Errors
/// If a setting has an invalid value.
pub fn build_router(
    seed: u64,
    lookup: &dyn Fn(&str) -> Option<String>,
) -> Result<(Router, Vec<Consistency>), String> {
    let settings = Settings(lookup);
    let type_count: usize = settings.opt("Services.count")?.unwrap_or(0);
    let types = (0..type_count).map(|i| settings.txn_type(i)).collect::<Result<Vec<_>, _>>()?;
    let consistencies = types.iter().map(|txn_type| txn_type.consistency).collect();
    let front = FrontInfo {
        index: settings.opt("Me")?.unwrap_or(0),
        fronts: settings.opt("Balancers")?.unwrap_or(1),
        zone: settings.opt("Zone")?.unwrap_or(0),
    };
    let cold = ColdStart {
        share: settings.opt("Guarantees.ColdFrom")?.unwrap_or(1.0),
        warm_up: settings.span("Guarantees.WarmUp")?.unwrap_or_default(),
        multiple: settings.opt("Guarantees.TipMultiple")?.unwrap_or(1.0),
        window: settings.span("Guarantees.OverloadFor")?.unwrap_or(Duration::from_secs(1)),
    };
    let mut router = Router::new(seed, front, types, cold);
    router.set_max_submissions(settings.opt("Bounds.TryLimit")?.unwrap_or(1));
    if settings.flag("Bounds.Cancel")? {
        router.allow_cancelling();
    }
    // Without reports, the answer to a probe contains neither role nor position.
    let reports = settings.text("LoadInfo.Via").is_none_or(|via| via != "off");
    router.allow_probes(settings.flag("Bounds.MayProbe")? && reports);
    if settings.flag("Bounds.RetryAfter")? {
        router.set_max_retry_after(settings.span("Bounds.MaxRetryAfter")?.unwrap_or_default());
    }
    if matches!(settings.text("Specifics.ServerChecks").as_deref(), Some("reject" | "hold")) {
        router.assume_members_check_reads();
    }
    // Only this setting decides who tracks the writes of a session. Where the router does, a host may still pass an
    // age, and trusting a missing one would let a read miss what its own session wrote (rule 5).
    if settings.text("Specifics.SessionMarks").as_deref() == Some("client") {
        router.trust_client_session_marks();
    }
    if settings.flag("Guarantees.GoneIsAdvice")? {
        router.treat_removal_as_advisory();
    }
    let tenants: usize = settings.opt("Tenants.count")?.unwrap_or(0);
    let quota = |i: usize| settings.within(&format!("Tenants.{i}.QuotaRps"), f64::MAX);
    let quotas: Option<Vec<f64>> = (0..tenants).map(quota).collect::<Result<_, _>>()?;
    let over_quota_value = settings.within("OverShareWorth", 1.0)?.unwrap_or(1.0);
    // Quotas apply only if every tenant has one.
    if let Some(quotas) = quotas.filter(|quotas| !quotas.is_empty()) {
        router.set_tenant_quotas(&quotas, over_quota_value);
    }
    Ok((router, consistencies))
}
