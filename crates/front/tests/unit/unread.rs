//! The end of a client that is behind unread bytes.

use super::*;

const WINDOW: usize = 65_535;
const PIECE: usize = 16 << 10;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn read(unread: &UnreadInput, bytes: usize, all_read: bool, at: Duration) {
    unread.record_read(bytes, all_read, at, at);
}

/// Reads full windows one after the other; the receive buffer is empty in between until the client's machine has sent more.
fn read_windows(unread: &UnreadInput, until: Duration) -> Duration {
    let mut now = Duration::ZERO;
    while now < until {
        for _ in 0..WINDOW / PIECE {
            read(unread, PIECE, false, now);
            now += ms(4);
        }
        read(unread, WINDOW % PIECE, true, now);
        now += ms(1);
    }
    now
}

/// Guards against requests that are sent on long after their client has left, as the buffer was empty for a moment.
#[test]
fn client_whose_buffer_is_empty_for_a_moment_between_full_windows_may_have_left() {
    let unread = UnreadInput::default();
    read(&unread, PIECE, false, Duration::ZERO);
    assert!(!unread.may_hide_end(MAX_UNREAD_TIME));
    let now = read_windows(&unread, ms(60));
    assert!(unread.may_hide_end(now));
}

#[test]
fn client_of_which_nothing_more_comes_is_believed_after_a_while() {
    let unread = UnreadInput::default();
    let now = read_windows(&unread, ms(60));
    read(&unread, 0, true, now);
    let end = unread.settles_at().expect("it settles");
    assert!(end <= now + SETTLING_TIME);
    assert!(unread.may_hide_end(end - ms(1)));
    assert!(!unread.may_hide_end(end));
    read(&unread, 0, true, end);
    assert_eq!(unread.settles_at(), None);
    // What comes after that counts anew.
    read(&unread, PIECE, false, end);
    assert!(!unread.may_hide_end(end + MAX_UNREAD_TIME));
    assert!(unread.may_hide_end(end + MAX_UNREAD_TIME + ms(1)));
}

#[test]
fn bytes_that_can_not_have_filled_the_buffer_hide_no_end() {
    let unread = UnreadInput::default();
    for turn in 0..100 {
        read(&unread, PIECE, false, ms(turn));
        read(&unread, SMALLEST_WINDOW_BYTES - PIECE - 1, true, ms(turn));
        assert!(!unread.may_hide_end(ms(turn) + ms(1000)), "after {turn} turns");
    }
    read(&unread, PIECE, false, ms(100));
    read(&unread, SMALLEST_WINDOW_BYTES - PIECE, true, ms(100));
    assert_eq!(unread.settles_at(), Some(ms(100) + SETTLING_TIME));
}
