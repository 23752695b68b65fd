//! The functions of the C library that this library replaces.

use juniperdock_fault_controls::{Controls, LENGTH, VARIABLE};
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::cell::Cell;
use std::ffi::CStr;
use std::mem::transmute;
use std::ptr::{null, null_mut, read_volatile};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The next definition of a function in the search order: the C library's. Resolved at the first use.
struct Next(AtomicUsize, &'static CStr);

impl Next {
    const fn of(name: &'static CStr) -> Next {
        Next(AtomicUsize::new(0), name)
    }

    fn address(&self) -> usize {
        let cached = self.0.load(Ordering::Relaxed);
        if cached != 0 {
            return cached;
        }
        // SAFETY: the name is a C string; callers use the result only with the type of that function.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.1.as_ptr()) } as usize;
        self.0.store(found, Ordering::Relaxed);
        found
    }
}

/// Address of the mapped control file; 0 if there is none.
fn mapping() -> usize {
    static ADDRESS: OnceLock<usize> = OnceLock::new();
    *ADDRESS.get_or_init(|| {
        let mut name = VARIABLE.as_bytes().to_vec();
        name.push(0);
        // SAFETY: the calls get valid C strings; the file is never unmapped.
        unsafe {
            let path = libc::getenv(name.as_ptr().cast::<c_char>());
            if path.is_null() {
                return 0;
            }
            let file =
                libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDONLY | libc::O_CLOEXEC);
            if file < 0 {
                return 0;
            }
            let at = libc::mmap(null_mut(), LENGTH, libc::PROT_READ, libc::MAP_SHARED, file as c_int, 0);
            libc::syscall(libc::SYS_close, file);
            if at == libc::MAP_FAILED { 0 } else { at as usize }
        }
    })
}

/// The controls now in force.
fn controls() -> Controls {
    match mapping() {
        0 => Controls::default(),
        // SAFETY: the mapping has this size and is never removed. The read is volatile, since another process writes
        // to the file.
        at => unsafe { read_volatile(at as *const Controls) },
    }
}

/// Draws whether a fault with this rate, in parts of 65,536, applies to the present call.
fn drawn(rate: u32) -> bool {
    rate > 0 && (random() & 0xffff) < u64::from(rate)
}

/// Returns 53 random bits. Each thread has its own xorshift sequence, derived from the seed and the thread's number.
fn random() -> u64 {
    static THREADS: AtomicU64 = AtomicU64::new(1);
    thread_local!(static STATE: Cell<u64> = const { Cell::new(0) });
    STATE.with(|state| {
        let mut x = state.get();
        if x == 0 {
            let thread = THREADS.fetch_add(1, Ordering::Relaxed);
            x = (controls().seed ^ thread.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        x >> 11
    })
}

/// Sets `errno` and returns -1.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the pointer is to the calling thread's own variable.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}

/// Sleeps for a random time up to `held_up_us`, if this call is drawn for it.
fn delay(controls: &Controls) {
    if drawn(controls.held_up) {
        let nanos = random() % (u64::from(controls.held_up_us).max(1) * 1000);
        let duration =
            timespec { tv_sec: (nanos / 1_000_000_000) as i64, tv_nsec: (nanos % 1_000_000_000) as i64 };
        // SAFETY: the duration is valid, and a null pointer for the remaining time is allowed.
        unsafe { libc::syscall(libc::SYS_nanosleep, &raw const duration, null::<timespec>()) };
    }
}

/// One bit for each descriptor below 4096: set if this process connected it.
static CONNECTED: [AtomicU64; 64] = [const { AtomicU64::new(0) }; 64];

/// Returns whether this process connected the descriptor; `set` replaces the stored value. Descriptors beyond the
/// table count as not connected.
fn connected_here(fd: c_int, set: Option<bool>) -> bool {
    let Some(word) = usize::try_from(fd).ok().and_then(|fd| CONNECTED.get(fd / 64)) else { return false };
    let bit = 1u64 << (fd % 64);
    match set {
        Some(true) => word.fetch_or(bit, Ordering::Relaxed) & bit != 0,
        Some(false) => word.fetch_and(!bit, Ordering::Relaxed) & bit != 0,
        None => word.load(Ordering::Relaxed) & bit != 0,
    }
}

/// Draws the fault for a read or write of a socket: an error, or the number of bytes that it may transfer.
/// `exhausted` is the error for lack of memory or buffers.
fn inject(fd: c_int, length: size_t, exhausted: c_int) -> Result<size_t, c_int> {
    let controls = controls();
    delay(&controls);
    if drawn(controls.fails) {
        return Err(exhausted);
    }
    if drawn(controls.interrupted) {
        return Err(libc::EINTR);
    }
    if connected_here(fd, None) && drawn(controls.breaks) {
        // SAFETY: the descriptor is the caller's, who gets an error that says that the connection has ended.
        unsafe { libc::syscall(libc::SYS_shutdown, fd, libc::SHUT_RDWR) };
        return Err(one_of(&[libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET]));
    }
    // Packets are transferred as a whole.
    let is_short = length > 1 && drawn(controls.short) && !keeps_packet_boundaries(fd);
    Ok(if is_short { 1 + random() as usize % (length - 1) } else { length })
}

/// Draws whether a call that transfers a message with descriptors fails; `exhausted` are the errors for lack of memory
/// or buffers.
fn inject_message_error(exhausted: &[c_int]) -> Option<c_int> {
    let controls = controls();
    delay(&controls);
    if drawn(controls.fails) {
        return Some(one_of(exhausted));
    }
    drawn(controls.interrupted).then_some(libc::EINTR)
}

fn keeps_packet_boundaries(fd: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: the result fits into the variable, whose size is passed.
    let found = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut kind).cast(), &raw mut length)
    };
    found == 0 && kind == libc::SOCK_SEQPACKET
}

fn is_regular(fd: c_int) -> bool {
    let mut stat = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the buffer has the size of the result and is read only if the call succeeded.
    unsafe {
        libc::fstat(fd, stat.as_mut_ptr()) == 0 && stat.assume_init().st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

static CLOCK_GETTIME: Next = Next::of(c"clock_gettime");
static ACCEPT4: Next = Next::of(c"accept4");
static SOCKET: Next = Next::of(c"socket");
static CONNECT: Next = Next::of(c"connect");
static RECV: Next = Next::of(c"recv");
static SEND: Next = Next::of(c"send");
static SENDMSG: Next = Next::of(c"sendmsg");
static RECVMSG: Next = Next::of(c"recvmsg");
static WRITE: Next = Next::of(c"write");
static FSYNC: Next = Next::of(c"fsync");
static EPOLL_WAIT: Next = Next::of(c"epoll_wait");
static CLOSE: Next = Next::of(c"close");
static MMAP: Next = Next::of(c"mmap");

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut timespec) -> c_int {
    // SAFETY: the address is that of the C library's function, with this type; the caller's pointers are passed on.
    unsafe {
        let next: extern "C" fn(clockid_t, *mut timespec) -> c_int = transmute(CLOCK_GETTIME.address());
        let done = next(clock, at);
        if done == 0 && clock == libc::CLOCK_REALTIME {
            let offset_ms = controls().wall_clock_ms;
            let nanos = (*at).tv_nsec + offset_ms.rem_euclid(1000) * 1_000_000;
            (*at).tv_sec += offset_ms.div_euclid(1000) + nanos / 1_000_000_000;
            (*at).tv_nsec = nanos % 1_000_000_000;
        }
        done
    }
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    at: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let controls = controls();
    delay(&controls);
    if drawn(controls.fails) {
        return fail(one_of(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR]));
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int =
            transmute(ACCEPT4.address());
        let accepted = next(fd, at, length, flags);
        connected_here(accepted, Some(false));
        accepted
    }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && drawn(controls().fails) {
        return fail(one_of(&[libc::ENFILE, libc::ENOBUFS]));
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int, c_int, c_int) -> c_int = transmute(SOCKET.address());
        next(domain, kind, protocol)
    }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let controls = controls();
    delay(&controls);
    // SAFETY: the caller passes a valid address.
    let is_inet = unsafe { c_int::from((*to).sa_family) == libc::AF_INET };
    if is_inet && drawn(controls.fails) {
        return fail(one_of(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH]));
    }
    connected_here(fd, Some(is_inet));
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int = transmute(CONNECT.address());
        next(fd, to, length)
    }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let is_peek = flags & libc::MSG_PEEK != 0;
    match if is_peek { Ok(length) } else { inject(fd, length, libc::ENOMEM) } {
        Err(errno) => fail(errno) as ssize_t,
        // SAFETY: as above; the length is at most that of the caller's buffer.
        Ok(length) => unsafe {
            let next: extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t = transmute(RECV.address());
            next(fd, buffer, length, flags)
        },
    }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match inject(fd, length, libc::ENOBUFS) {
        Err(errno) => fail(errno) as ssize_t,
        // SAFETY: as above; the length is at most the caller's.
        Ok(length) => unsafe {
            let next: extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t =
                transmute(SEND.address());
            next(fd, bytes, length, flags)
        },
    }
}

/// # Safety
/// As `sendmsg(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if let Some(errno) = inject_message_error(&[libc::ENOBUFS, libc::ENOMEM, libc::ETOOMANYREFS]) {
        return fail(errno) as ssize_t;
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t = transmute(SENDMSG.address());
        next(fd, message, flags)
    }
}

/// # Safety
/// As `recvmsg(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    if let Some(errno) = inject_message_error(&[libc::ENOMEM]) {
        return fail(errno) as ssize_t;
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t = transmute(RECVMSG.address());
        next(fd, message, flags)
    }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let mut length = length;
    // Standard output and error are left alone: they may go to a file, too, but are not stored data.
    let rate = if fd > 2 { controls().disk } else { 0 };
    if rate > 0 && is_regular(fd) && drawn(rate) {
        if length < 2 || random().is_multiple_of(2) {
            return fail(one_of(&[libc::ENOSPC, libc::EIO])) as ssize_t;
        }
        length = 1 + random() as usize % (length - 1);
    }
    // SAFETY: as above; the length is at most the caller's.
    unsafe {
        let next: extern "C" fn(c_int, *const c_void, size_t) -> ssize_t = transmute(WRITE.address());
        next(fd, bytes, length)
    }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if drawn(controls().disk) {
        return fail(libc::EIO);
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int) -> c_int = transmute(FSYNC.address());
        next(fd)
    }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    let controls = controls();
    if drawn(controls.interrupted) {
        return fail(libc::EINTR);
    }
    // SAFETY: as above.
    let found = unsafe {
        let next: extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int =
            transmute(EPOLL_WAIT.address());
        next(fd, events, max_events, timeout)
    };
    delay(&controls);
    found
}

/// # Safety
/// As `close(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    connected_here(fd, Some(false));
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(c_int) -> c_int = transmute(CLOSE.address());
        next(fd)
    }
}

/// # Safety
/// As `mmap(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn mmap(
    at: *mut c_void,
    length: size_t,
    protection: c_int,
    flags: c_int,
    fd: c_int,
    offset: libc::off_t,
) -> *mut c_void {
    if flags & libc::MAP_STACK != 0 && drawn(controls().stacks) {
        fail(libc::ENOMEM);
        return libc::MAP_FAILED;
    }
    // SAFETY: as above.
    unsafe {
        let next: extern "C" fn(*mut c_void, size_t, c_int, c_int, c_int, libc::off_t) -> *mut c_void =
            transmute(MMAP.address());
        next(at, length, protection, flags, fd, offset)
    }
}
