//! The side of the process that was started to serve next.

/// How far the new process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No protocol version is agreed yet.
    AwaitingVersion,
    /// A version is agreed; the process waits for the runtime state from which it starts.
    ReceivingState,
    /// The process may report that it is ready.
    Preparing,
    /// The process receives the listener and clients, and serves none of them yet.
    Receiving,
    /// The process serves.
    Serving,
    /// The old process aborted the restart or sent an unexpected message; this process has to exit.
    Failed,
}

/// The new process's side of one hot restart. Each input returns whether it was expected at this stage; after one
/// that was not, the process has to exit.
#[derive(Clone, Debug)]
pub struct NewProcess {
    stage: Stage,
    received_clients: u64,
}

impl Default for NewProcess {
    fn default() -> Self {
        NewProcess { stage: Stage::AwaitingVersion, received_clients: 0 }
    }
}

impl NewProcess {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    fn advance(&mut self, from: &[Stage], to: Stage) -> bool {
        let expected = from.contains(&self.stage);
        self.stage = if expected { to } else { Stage::Failed };
        expected
    }

    /// Handles the protocol version chosen by the old process.
    pub fn on_version(&mut self, version: u16) -> bool {
        let next = match version {
            v if !(crate::SUPPORTED_VERSIONS.0..=crate::SUPPORTED_VERSIONS.1).contains(&v) => Stage::Failed,
            crate::VERSION_WITH_RUNTIME_STATE.. => Stage::ReceivingState,
            _ => Stage::Preparing,
        };
        self.advance(&[Stage::AwaitingVersion], next) && next != Stage::Failed
    }

    /// Handles the end of the runtime state from which this process starts.
    pub fn on_state_complete(&mut self) -> bool {
        self.advance(&[Stage::ReceivingState], Stage::Preparing)
    }

    /// Handles the arrival of the listener.
    pub fn on_listener(&mut self) -> bool {
        self.advance(&[Stage::Preparing], Stage::Receiving)
    }

    /// Handles the arrival of a client. Returns whether it may be served at once, or `None` if it was not expected.
    pub fn on_client(&mut self) -> Option<bool> {
        self.received_clients += 1;
        match self.stage {
            Stage::Receiving => Some(false),
            Stage::Serving => Some(true),
            _ => {
                self.stage = Stage::Failed;
                None
            }
        }
    }

    /// Handles the order to serve.
    pub fn on_commit(&mut self) -> bool {
        self.advance(&[Stage::Receiving], Stage::Serving)
    }

    /// Handles the end of the connection to the old process. Returns whether this process continues to serve.
    pub fn on_disconnected(&mut self) -> bool {
        if self.stage != Stage::Serving {
            self.stage = Stage::Failed;
        }
        self.stage == Stage::Serving
    }

    /// The number of clients received so far.
    pub fn received_clients(&self) -> u64 {
        self.received_clients
    }
}
