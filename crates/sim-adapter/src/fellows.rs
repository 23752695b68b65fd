//! What instances send each other, where the simulator lets them: the program's membership over SHARE and MEMO.

use juniperdock_membership::{Event, Host, Keys, Membership, NEWEST_VERSION, Timing, incarnation_at};
use std::fmt::Write;
use std::time::Duration;

/// Handle of reminders that are no router's.
pub const REMINDER: u64 = 1 << 52 | 1;
/// As the operators' file has it where it does not say.
const EVERY: Duration = Duration::from_millis(500);
/// Any time; lives count from it by the simulator's clock.
const UNIX: Duration = Duration::from_secs(1_790_000_000);

/// Writes what a membership wants sent as actions.
pub struct Letters<'a> {
    pub front: u64,
    pub out: &'a mut String,
}

impl Host for Letters<'_> {
    fn send(&mut self, to: usize, datagram: &[u8]) {
        write!(self.out, "SHARE Front={} Peer={to} Payload=", self.front).expect("a String takes all");
        for byte in datagram {
            write!(self.out, "{byte:02x}").expect("a String takes all");
        }
        self.out.push('\n');
    }

    fn event(&mut self, event: Event) {
        let said = match event {
            Event::ConnectivityChanged(standing) => format!("standing {}", standing.name()),
            Event::Down(other) => format!("fellow down {other}"),
            _ => return,
        };
        writeln!(self.out, "REMARK Front={} Msg={said}", self.front).expect("a String takes all");
    }
}

/// An instance's part, born at a time of the simulator's clock in microseconds.
pub fn born(me: usize, tier: usize, clock: i64, seed: u64) -> Membership {
    // All of one simulator are one fleet: nobody else reaches them.
    let keys = Keys::parse(&["5a".repeat(32)]).expect("a good key");
    let life = incarnation_at(UNIX + Duration::from_micros(clock.max(0) as u64));
    Membership::new(me, tier, life, seed, NEWEST_VERSION, Timing::with_period(EVERY), keys)
}

/// The bytes of hex digits; `-` for none.
pub fn bytes(payload: &str) -> Option<Vec<u8>> {
    let digits = if payload == "-" { "" } else { payload };
    let good = digits.len().is_multiple_of(2) && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).ok();
    good.then(|| (0..digits.len()).step_by(2).map(byte).collect::<Option<Vec<u8>>>())?
}
