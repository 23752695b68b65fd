//! Injects faults of the operating system, for tests. The rig writes a control file and starts a process with this
//! library preloaded (`LD_PRELOAD`) and `JUNIPERDOCK_FAULTS` set to the path of the file. The library maps the file and
//! reads it at every call, so faults can begin and end while the process runs. Without the variable no call is
//! changed. It is never part of a deployment.
//!
//! The injected errors are those that Linux documents for each call: accept (ECONNABORTED, ENFILE, ENOBUFS), socket
//! (ENFILE, ENOBUFS), connect (EADDRNOTAVAIL, ENETUNREACH), send (ENOBUFS), recv (ENOMEM), sendmsg (ENOBUFS, ENOMEM, ETOOMANYREFS), recvmsg (ENOMEM), reads, writes and waits
//! (EINTR), connections opened by this process (ETIMEDOUT, EHOSTUNREACH, ECONNRESET), writes and syncs of regular
//! files (ENOSPC, EIO), mappings for stacks (ENOMEM).

mod calls;
