//! The membership of the instances, if the simulator enables it: they exchange datagrams through SHARE and MEMO.

use juniperdock_membership::{Event, Host, Keys, Membership, NEWEST_VERSION, Timing, incarnation_at};
use std::fmt::Write;
use std::time::Duration;

/// Handle of the membership's timers; the router never uses it.
pub const MEMBERSHIP_TIMER: u64 = 1 << 52 | 1;
/// The default of the operator configuration.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// An arbitrary wall-clock time for the start of the simulator's clock; incarnations are derived from it.
const UNIX_START: Duration = Duration::from_secs(1_790_000_000);

/// Writes the datagrams and events of a membership as actions for the simulator.
pub struct MembershipActions<'a> {
    pub front: u64,
    pub out: &'a mut String,
}

impl Host for MembershipActions<'_> {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        write!(self.out, "SHARE Front={} Peer={to} Payload=", self.front)
            .expect("writing to a String never fails");
        for byte in datagram {
            write!(self.out, "{byte:02x}").expect("writing to a String never fails");
        }
        self.out.push('\n');
    }

    fn event(&mut self, event: Event) {
        let text = match event {
            Event::ConnectivityChanged(connectivity) => format!("standing {}", connectivity.name()),
            Event::Down(other) => format!("fellow down {other}"),
            _ => return,
        };
        writeln!(self.out, "REMARK Front={} Msg={text}", self.front)
            .expect("writing to a String never fails");
    }
}

/// Creates an instance's membership. `clock` is the simulator's time in microseconds.
pub fn new_membership(index: usize, cluster_size: usize, clock: i64, seed: u64) -> Membership {
    // All instances of one simulator are one fleet, and nobody else can reach them, so a fixed key is enough.
    let keys = Keys::parse(&["5a".repeat(32)]).expect("a valid key");
    let incarnation = incarnation_at(UNIX_START + Duration::from_micros(clock.max(0) as u64));
    Membership::new(
        index,
        cluster_size,
        incarnation,
        seed,
        NEWEST_VERSION,
        Timing::with_period(HEARTBEAT_INTERVAL),
        keys,
    )
}

/// Decodes hex digits; `-` stands for no bytes.
pub fn parse_hex(payload: &str) -> Option<Vec<u8>> {
    let digits = if payload == "-" { "" } else { payload };
    let valid = digits.len().is_multiple_of(2) && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).ok();
    valid.then(|| (0..digits.len()).step_by(2).map(byte).collect::<Option<Vec<u8>>>())?
}
