//! Threads beside the worker. The system may refuse one (`pthread_create(3)`, EAGAIN): that is an error like any other.

/// Starts a thread.
///
/// # Errors
/// If the system lacks the resources for one; `body` is dropped then.
pub fn start(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let started = std::thread::Builder::new().name(name.to_owned()).spawn(body);
    started.map(drop).map_err(|e| format!("starting thread {name}: {e}"))
}
