//! The side that is to serve.

/// How far the taker has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing agreed yet.
    AwaitingVersion,
    /// A version is agreed; it may say that it is ready.
    Preparing,
    /// It holds the listener and clients, and serves none of them.
    Receiving,
    /// It serves.
    Serving,
    /// The giver has gone on without it, or said what makes no sense: it ends.
    Failed,
}

/// The taker's side of one hand-over. Each input says whether it fits; after one that does not, the taker
/// ends.
#[derive(Debug)]
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

    pub fn on_version(&mut self, version: u16) -> bool {
        let supported = (crate::SUPPORTED_VERSIONS.0..=crate::SUPPORTED_VERSIONS.1).contains(&version);
        self.advance(&[Stage::AwaitingVersion], if supported { Stage::Preparing } else { Stage::Failed })
            && supported
    }

    pub fn on_listener(&mut self) -> bool {
        self.advance(&[Stage::Preparing], Stage::Receiving)
    }

    /// A client came; it may be served at once only if this says so.
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

    pub fn on_commit(&mut self) -> bool {
        self.advance(&[Stage::Receiving], Stage::Serving)
    }

    /// The giver's end of the line has ended: whether this process goes on serving.
    pub fn on_disconnected(&mut self) -> bool {
        if self.stage != Stage::Serving {
            self.stage = Stage::Failed;
        }
        self.stage == Stage::Serving
    }

    /// Clients that came.
    pub fn received_clients(&self) -> u64 {
        self.received_clients
    }
}
