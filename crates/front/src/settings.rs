//! What the front is told at its start: the environment, the configuration and the terms inside it. Each
//! reader gives the few values that one part needs, or says what was expected and where.

use crate::configuration::{configuration, with_known};
use juniperdock_deployment::{self as deployment, Indices};
use juniperdock_router::host::Consistency;
use juniperdock_router::routing::Router;
use juniperdock_server_list::ServerList;
use juniperdock_settings::term;
use serde_json::Value;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Buffers for an answer hold at most one in so many parts of the memory.
const MEMORY_PARTS: usize = 64;
/// Descriptors of the front's own: standard streams, listener, list, selector, signals.
const OWN: usize = 14;

/// The configuration as it was read, and where it lies.
pub struct Settings {
    path: String,
    /// All but the server list.
    whole: Value,
    known: Result<ServerList, String>,
}

/// The txn types by name.
pub struct TxnTypes {
    pub names: Indices<String>,
    /// Which of them write.
    pub writes: Vec<bool>,
    /// The longest time that one of them has.
    pub longest: Duration,
}

/// How the descriptors are shared out.
pub struct Descriptors {
    /// Connections to members, and clients, each this many at most.
    pub most: usize,
    /// Clients beyond those that are only told that there is no room.
    pub standing: usize,
    /// Clients beyond this many leave when idle for long, beyond `crowd` when idle for less.
    pub keep: usize,
    pub crowd: usize,
}

/// Where a front listens for its fellows, and where they are, or why that is not known.
pub type Places = (SocketAddr, Vec<Result<SocketAddr, String>>);

/// An address and port, or what was expected instead.
pub fn socket(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name}: expected an address and port, found {text:?}"))
}

impl Settings {
    /// Reads the file that `GW_CONFIG` names.
    pub fn read() -> Result<Settings, String> {
        let path = std::env::var("GW_CONFIG").map_err(|e| format!("GW_CONFIG: {e}"))?;
        let (whole, known) = with_known(&path)?;
        juniperdock_settings::is_new(&whole).map_err(|why| format!("GW_CONFIG: {path}: {why}"))?;
        Ok(Settings { path, whole, known })
    }

    /// A configuration that lies nowhere yet.
    pub fn of(whole: Value) -> Settings {
        Settings { path: String::new(), whole, known: Err("none is told".to_owned()) }
    }

    /// Every term and limit that the front reads has its form; addresses may still come from elsewhere.
    pub fn check(&self) -> Result<(), String> {
        for field in ["listen", "discovery"] {
            match &self.whole[field] {
                Value::Null => {}
                found => drop(socket(field, found.as_str().unwrap_or(&found.to_string()))?),
            }
        }
        self.routers().map(drop)?;
        self.descriptors().map(drop)?;
        ["Bounds.ConnectTimeout", "Bounds.ConnIdle", "Guarantees.GraceToAnswer"]
            .iter()
            .try_for_each(|term| self.millis(term).map(drop))?;
        self.txn_types().map(drop)
    }

    /// An address: the environment counts before the file.
    pub fn address(&self, variable: &str, field: &str) -> Result<SocketAddr, String> {
        let text = std::env::var(variable).ok().or_else(|| self.whole[field].as_str().map(str::to_owned));
        let text = text.ok_or_else(|| format!("expected {variable}, or {field} in GW_CONFIG"))?;
        socket(variable, &text)
    }

    pub fn seed(&self) -> Result<u64, String> {
        let seed = self.whole["seed"].as_str().ok_or("expected a text in seed of GW_CONFIG")?;
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: expected hex digits, found {seed:?}"))
    }

    pub fn term(&self, path: &str) -> Option<String> {
        term(&self.whole["settings"], path)
    }

    /// A time in milliseconds among the terms.
    pub fn millis(&self, path: &str) -> Result<Duration, String> {
        let ms = self.term(path).and_then(|ms| deployment::micros(ms.parse().ok()?));
        ms.map(deployment::span).ok_or_else(|| format!("settings: expected a time in {path}"))
    }

    /// Makes routers of these terms, as often as one is needed.
    pub fn routers(&self) -> Result<impl Fn() -> Result<Router, String> + Send + use<>, String> {
        let (seed, terms) = (self.seed()?, self.whole["settings"].clone());
        deployment::open(seed, &|path| term(&terms, path)).map_err(|why| format!("settings: {why}"))?;
        Ok(move || Ok(deployment::open(seed, &|path| term(&terms, path))?.0))
    }

    /// The txn types, as clients' actors need them.
    pub fn txn_types(&self) -> Result<TxnTypes, String> {
        let (_, levels) = deployment::open(self.seed()?, &|path| self.term(path))?;
        let (mut names, mut longest) = (Indices::default(), Duration::ZERO);
        for i in 0..levels.len() {
            let name = self.term(&format!("Services.{i}.Name"));
            names.index(name.ok_or_else(|| format!("settings: expected a name for txn type {i}"))?);
            longest = longest.max(self.millis(&format!("Services.{i}.HardLimit"))?);
        }
        let writes = levels.into_iter().map(|level| level == Consistency::Write).collect();
        Ok(TxnTypes { names, writes, longest })
    }

    pub fn zones(&self) -> Vec<String> {
        self.term("Zones").unwrap_or_default().split(',').map(str::to_owned).collect()
    }

    pub fn descriptors(&self) -> Result<Descriptors, String> {
        let sockets = self.whole["limits"]["sockets"].as_u64();
        let sockets = sockets.ok_or("expected a number in limits.sockets of GW_CONFIG")?;
        let sockets = usize::try_from(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
        let shared =
            sockets.checked_sub(OWN).ok_or_else(|| format!("limits.sockets: expected over {OWN}"))?;
        let standing = shared / 16;
        Ok(Descriptors { most: (shared - standing) / 2, standing, keep: sockets / 6, crowd: sockets / 4 })
    }

    /// Bytes of memory, where a limit is told.
    pub fn memory(&self) -> Option<usize> {
        let mb = self.whole["limits"]["memory_mb"].as_u64().and_then(|mb| usize::try_from(mb).ok());
        mb.map(|mb| mb << 20)
    }

    /// The longest answer taken, in bytes: never more than a part of the memory; without a limit, a value of
    /// the usual size.
    pub fn largest_answer(&self) -> usize {
        self.memory().map_or(0, |bytes| bytes / MEMORY_PARTS).max(juniperdock_pg::LONGEST)
    }

    /// This front's place in its tier, and how many there are.
    pub fn place(&self) -> Result<(usize, usize), String> {
        let number = |path: &str| {
            let number = self.term(path).and_then(|text| text.parse::<usize>().ok());
            number.ok_or_else(|| format!("settings: expected a number in {path}"))
        };
        let (me, tier) = (number("Me")?, number("Balancers")?);
        if me >= tier {
            Err(format!("settings: expected Me below Balancers, found {me} of {tier}"))
        } else {
            Ok((me, tier))
        }
    }

    /// What this front is called.
    pub fn name(&self, me: usize) -> String {
        let name = std::env::var("GW_NAME").ok().or_else(|| self.whole["name"].as_str().map(str::to_owned));
        name.unwrap_or_else(|| format!("front {me}"))
    }

    /// Where this front listens for its fellows and where they are, by their places; `None` where the
    /// settings do not allow it. A name that can't be found is told in its place.
    pub fn fellows(&self) -> Result<Option<Places>, String> {
        if self.term("Bounds.Peers").is_some_and(|allowed| allowed != "true" && allowed != "1") {
            return Ok(None);
        }
        let find = |field: &str, text: &str| {
            let found = text.to_socket_addrs().map_err(|e| format!("{field}: {text}: {e}"))?.next();
            found.ok_or_else(|| format!("{field}: {text}: no address"))
        };
        let text = |field: &str, value: &Value| {
            let text = value.as_str().ok_or_else(|| format!("expected a text in {field} of GW_CONFIG"))?;
            find(field, text)
        };
        let listen = text("peer_listen", &self.whole["peer_listen"])?;
        let peers = self.whole["peers"].as_array().ok_or("expected a list in peers of GW_CONFIG")?;
        let (me, tier) = self.place()?;
        if peers.len() != tier {
            return Err(format!(
                "peers: expected {tier} addresses, as Balancers tells, found {}",
                peers.len()
            ));
        }
        let at = |(i, peer)| if i == me { Ok(listen) } else { text(&format!("peers[{i}]"), peer) };
        Ok(Some((listen, peers.iter().enumerate().map(at).collect())))
    }

    /// The server list as last seen; it is not kept here any longer.
    pub fn take_known(&mut self) -> Result<ServerList, String> {
        std::mem::replace(&mut self.known, Err("it has been taken".to_owned()))
    }

    /// Reads the file again: where the list is to be had, and which other fields differ from the start's.
    pub fn again(&self) -> Result<(SocketAddr, Vec<&'static str>), String> {
        let again = configuration(&self.path)?;
        let discovery = again["discovery"].as_str().ok_or("expected a text in discovery of GW_CONFIG")?;
        let discovery = socket("discovery", discovery)?;
        let other = ["name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings"];
        Ok((discovery, other.into_iter().filter(|field| again[field] != self.whole[field]).collect()))
    }
}
