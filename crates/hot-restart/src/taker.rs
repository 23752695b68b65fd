//! The side that is to serve.

/// How far the taker has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing agreed yet.
    Greeting,
    /// A version is agreed; it may say that it is ready.
    Preparing,
    /// It holds the listener and clients, and serves none of them.
    Holding,
    /// It serves.
    Serving,
    /// The giver has gone on without it, or said what makes no sense: it ends.
    Refused,
}

/// The taker's side of one hand-over. Each input says whether it fits; after one that does not, the taker
/// ends.
#[derive(Debug)]
pub struct Taker {
    stage: Stage,
    clients: u64,
}

impl Default for Taker {
    fn default() -> Self {
        Taker { stage: Stage::Greeting, clients: 0 }
    }
}

impl Taker {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    fn step(&mut self, from: &[Stage], to: Stage) -> bool {
        let fits = from.contains(&self.stage);
        self.stage = if fits { to } else { Stage::Refused };
        fits
    }

    pub fn agreed(&mut self, version: u16) -> bool {
        let spoken = (crate::SUPPORTED_VERSIONS.0..=crate::SUPPORTED_VERSIONS.1).contains(&version);
        self.step(&[Stage::Greeting], if spoken { Stage::Preparing } else { Stage::Refused }) && spoken
    }

    pub fn listener(&mut self) -> bool {
        self.step(&[Stage::Preparing], Stage::Holding)
    }

    /// A client came; it may be served at once only if this says so.
    pub fn client(&mut self) -> Option<bool> {
        self.clients += 1;
        match self.stage {
            Stage::Holding => Some(false),
            Stage::Serving => Some(true),
            _ => {
                self.stage = Stage::Refused;
                None
            }
        }
    }

    pub fn commit(&mut self) -> bool {
        self.step(&[Stage::Holding], Stage::Serving)
    }

    /// The giver's end of the line has ended: whether this process goes on serving.
    pub fn gone(&mut self) -> bool {
        if self.stage != Stage::Serving {
            self.stage = Stage::Refused;
        }
        self.stage == Stage::Serving
    }

    /// Clients that came.
    pub fn clients(&self) -> u64 {
        self.clients
    }
}
