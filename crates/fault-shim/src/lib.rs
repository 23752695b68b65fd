//! Faults of the machine, for tests. The rig writes a control file and starts a process with this library preloaded
//! (`LD_PRELOAD`) and `JUNIPERDOCK_FAULTS` naming the file; the library maps it and looks at it at every call, so faults
//! begin and end while the process runs. Without the variable every call goes through. Never part of a deployment.
//!
//! Errors are those that Linux documents for each call: accept (ECONNABORTED, ENFILE, ENOBUFS), socket (ENFILE, ENOBUFS),
//! connect (EADDRNOTAVAIL, ENETUNREACH), send (ENOBUFS), recv (ENOMEM), reads, writes and waits (EINTR), connections opened
//! here (ETIMEDOUT, EHOSTUNREACH, ECONNRESET), writes and syncs of regular files (ENOSPC, EIO).

mod calls;
