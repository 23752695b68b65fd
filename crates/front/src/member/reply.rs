//! What a member answers to one statement, and what the dispatcher is told of it.

use super::PoolContext;
use crate::messages::{AttemptEnd, DispatcherMessage, Job};
use juniperdock_deployment::{self as deployment, Origin};
use juniperdock_pg as pg;
use juniperdock_router::host::{AttemptOutcome, Report, Role};
use juniperdock_server_clock::{PositionSample, Verdict};
use std::time::Duration;

/// The longest load report that is read.
const MAX_REPORT: usize = 1 << 10;

/// What a member has answered so far to one query.
#[derive(Default)]
pub struct Reply {
    pub raw: Vec<u8>,
    pub described: bool,
    pub has_row: bool,
    pub complete: bool,
    /// The value of the row, if it answers a probe; otherwise it is in `raw` only.
    pub value: Vec<u8>,
    keeps_value: bool,
    pub error: Option<String>,
    /// The answer to an empty query.
    pub is_empty_query: bool,
    pub role: Option<Role>,
    /// In microseconds since 1970.
    pub position_unix: Option<i64>,
    pub position: Option<Duration>,
    pub load_text: Option<String>,
    pub load: Option<Report>,
    pub ready: bool,
}

impl Reply {
    /// A reply to this job of which nothing has come yet.
    pub fn to(job: &Job) -> Reply {
        Reply { keeps_value: matches!(job, Job::Probe { .. }), ..Reply::default() }
    }

    /// The outcome of a complete answer, once the member is ready again; anything else is no answer.
    pub fn outcome(&self) -> Option<AttemptOutcome> {
        match self.error.as_deref() {
            _ if !self.ready => None,
            Some(pg::NO_PRIMARY | pg::TOO_FAR_BEHIND) => Some(AttemptOutcome::Misplaced),
            Some(pg::TOO_MANY_CONNECTIONS) => Some(AttemptOutcome::Full),
            Some(code) if pg::is_statement_error(code) => Some(AttemptOutcome::Invalid),
            Some(_) => Some(AttemptOutcome::Errored),
            None if self.complete => Some(AttemptOutcome::Committed),
            None => None,
        }
    }

    /// Adds a message of the answer.
    ///
    /// # Errors
    /// If it is no part of an answer of one row, or comes out of turn.
    pub fn add(&mut self, kind: u8, body: &[u8]) -> Result<(), String> {
        // The messages must come in this order, each once: description, row, completion; or one error.
        let require = |in_turn: bool| {
            if in_turn { Ok(()) } else { Err("expected one answer of one row".to_owned()) }
        };
        match kind {
            b'S' => match pg::parameter(body) {
                Some(("node_role", "leader")) => self.role = Some(Role::Primary),
                Some(("node_role", "follower")) => self.role = Some(Role::Replica),
                Some(("replay_position", ms)) => {
                    self.position_unix = ms.parse::<f64>().ok().and_then(deployment::micros);
                }
                Some(("server_load", text)) if text.len() <= MAX_REPORT => {
                    self.load_text = Some(text.to_owned());
                }
                _ => {}
            },
            b'T' => {
                require(!self.described && self.error.is_none() && pg::has_one_column(body))?;
                self.described = true;
            }
            b'D' => {
                require(self.described && !self.has_row)?;
                let value = pg::single_column(body).ok_or("expected a row of one column")?;
                self.has_row = true;
                if self.keeps_value {
                    self.value = value.to_vec();
                }
            }
            b'C' => {
                require(self.has_row && !self.complete)?;
                self.complete = true;
            }
            b'E' => {
                require(!self.described && self.error.is_none())?;
                let code = pg::error_field(body, b'C').ok_or("expected a code in an error")?;
                self.error = Some(code.to_owned());
            }
            b'Z' => self.ready = true,
            b'I' => self.is_empty_query = true,
            b'N' | b'K' | b'R' => {}
            other => {
                return Err(format!("expected an answer, found a message of type {:?}", other as char));
            }
        }
        Ok(())
    }
}

/// Parses a member's load report. A member that has made no report yet sends 0 in all fields: that tells nothing, not
/// even its role.
pub(super) fn parse_report(text: &str, origin: &Origin) -> Result<Report, String> {
    let fields = || text.split(',').filter_map(|part| part.trim().split_once('='));
    if fields().any(|(name, at)| name == "x0" && at.parse() == Ok(0.0)) {
        return Ok(Report::default());
    }
    deployment::parse_report(fields(), origin)
}

/// Parses a server's load report and checks its position; the result is dated by the origin as it is after that.
pub fn load_report(
    context: &PoolContext,
    server: usize,
    text: &str,
    asked: Duration,
) -> Result<Report, String> {
    let reported = parse_report(text, &context.clock.origin())?;
    check_position(context, server, reported.role, reported.position, asked)?;
    parse_report(text, &context.clock.origin())
}

/// Checks a position against the time: no server can have a commit from the future, so either its clock is wrong or
/// this process's is behind. If the latter is proven, the dispatcher discards what it knew before.
pub fn check_position(
    context: &PoolContext,
    server: usize,
    role: Option<Role>,
    position: Option<Duration>,
    asked: Duration,
) -> Result<(), String> {
    let Some(position) = position else { return Ok(()) };
    let (primary, now) = (role == Some(Role::Primary), context.clock.now());
    match context.clock.judge(PositionSample { server, position, primary, asked, now }) {
        Verdict::Plausible => Ok(()),
        Verdict::Behind(by) => {
            let _ = context.dispatcher.send(DispatcherMessage::ClockAdvanced(by));
            Ok(())
        }
        Verdict::Implausible => Err("expected a position in the past".to_owned()),
    }
}

/// Reports the outcome of a job to the dispatcher.
pub fn report_outcome(
    context: &PoolContext,
    member: usize,
    job: &Job,
    outcome: AttemptOutcome,
    reply: Reply,
) {
    let message = match job {
        Job::Submit(submit) => {
            let (role, position, load) = (reply.role, reply.position, reply.load);
            let (request_id, sent, row, at) = (submit.request_id, submit.at, reply.raw, context.clock.now());
            DispatcherMessage::AttemptEnded(Box::new(AttemptEnd {
                request_id,
                member,
                outcome,
                role,
                position,
                load,
                sent,
                at,
                row,
            }))
        }
        Job::Probe { .. } => {
            let text = String::from_utf8(reply.value);
            let reported = text.map_err(|e| e.to_string()).and_then(|text| {
                let asked = if let Job::Probe { at } = job { *at } else { Duration::ZERO };
                load_report(context, member, &text, asked)
            });
            match reported {
                Ok(report) => DispatcherMessage::Probed { member, outcome, report },
                Err(why) => {
                    slog::warn!(context.log, "the load report of a probe is invalid"; "why" => why);
                    DispatcherMessage::Probed {
                        member,
                        outcome: AttemptOutcome::Spoilt,
                        report: Report::default(),
                    }
                }
            }
        }
    };
    let _ = context.dispatcher.send(message);
}
