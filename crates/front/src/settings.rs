//! What the front is told at its start: the environment, the configuration and the terms inside it. Each
//! reader gives the few values that one part needs, or says what was expected and where.

use crate::configuration::{read_with_list, read_without_list};
use juniperdock_deployment::{self as deployment, Indices};
use juniperdock_router::host::Consistency;
use juniperdock_router::routing::Router;
use juniperdock_server_list::ServerList;
use juniperdock_settings::term;
use serde_json::Value;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Buffers for an answer hold at most one in so many parts of the memory.
const MAX_ANSWER_MEMORY_DIVISOR: usize = 64;
/// Descriptors of the front's own: standard streams, listener, list, selector, signals.
const RESERVED_DESCRIPTORS: usize = 14;

/// The configuration as it was read, and where it lies.
pub struct Settings {
    path: String,
    /// All but the server list.
    json: Value,
    known_list: Result<ServerList, String>,
}

/// The txn types by name.
pub struct TxnTypes {
    pub names: Indices<String>,
    /// Which of them write.
    pub writes: Vec<bool>,
    /// The longest time that one of them has.
    pub max_time_limit: Duration,
}

/// How the descriptors are shared out.
pub struct Descriptors {
    /// Connections to members, and clients, each this many at most.
    pub max_connections: usize,
    /// Clients beyond those that are only told that there is no room.
    pub refusal_slots: usize,
    /// Clients beyond this many leave when idle for long, beyond `crowd` when idle for less.
    pub close_long_idle_above: usize,
    pub close_idle_above: usize,
}

/// Where a front listens for its fellows, and where they are, or why that is not known.
pub type PeerAddresses = (SocketAddr, Vec<Result<SocketAddr, String>>);

/// An address and port, or what was expected instead.
pub fn parse_address(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name}: expected an address and port, found {text:?}"))
}

impl Settings {
    /// Reads the file that `GW_CONFIG` names.
    pub fn read() -> Result<Settings, String> {
        let path = std::env::var("GW_CONFIG").map_err(|e| format!("GW_CONFIG: {e}"))?;
        let (json, known_list) = read_with_list(&path)?;
        juniperdock_settings::is_new(&json).map_err(|why| format!("GW_CONFIG: {path}: {why}"))?;
        Ok(Settings { path, json, known_list })
    }

    /// A configuration that lies nowhere yet.
    pub fn from_json(json: Value) -> Settings {
        Settings { path: String::new(), json, known_list: Err("none is told".to_owned()) }
    }

    /// Every term and limit that the front reads has its form; addresses may still come from elsewhere.
    pub fn check(&self) -> Result<(), String> {
        for field in ["listen", "discovery"] {
            match &self.json[field] {
                Value::Null => {}
                found => drop(parse_address(field, found.as_str().unwrap_or(&found.to_string()))?),
            }
        }
        self.routers().map(drop)?;
        self.descriptors().map(drop)?;
        ["Bounds.ConnectTimeout", "Bounds.ConnIdle", "Guarantees.GraceToAnswer"]
            .iter()
            .try_for_each(|path| self.millis(path).map(drop))?;
        self.txn_types().map(drop)
    }

    /// An address: the environment counts before the file.
    pub fn address(&self, variable: &str, field: &str) -> Result<SocketAddr, String> {
        let text = std::env::var(variable).ok().or_else(|| self.json[field].as_str().map(str::to_owned));
        let text = text.ok_or_else(|| format!("expected {variable}, or {field} in GW_CONFIG"))?;
        parse_address(variable, &text)
    }

    pub fn seed(&self) -> Result<u64, String> {
        let seed = self.json["seed"].as_str().ok_or("expected a text in seed of GW_CONFIG")?;
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: expected hex digits, found {seed:?}"))
    }

    pub fn get(&self, path: &str) -> Option<String> {
        term(&self.json["settings"], path)
    }

    /// A time in milliseconds among the terms.
    pub fn millis(&self, path: &str) -> Result<Duration, String> {
        let ms = self.get(path).and_then(|ms| deployment::micros(ms.parse().ok()?));
        ms.map(deployment::span).ok_or_else(|| format!("settings: expected a time in {path}"))
    }

    /// Makes routers of these terms, as often as one is needed.
    pub fn routers(&self) -> Result<impl Fn() -> Result<Router, String> + Send + use<>, String> {
        let (seed, settings) = (self.seed()?, self.json["settings"].clone());
        deployment::open(seed, &|path| term(&settings, path)).map_err(|why| format!("settings: {why}"))?;
        Ok(move || Ok(deployment::open(seed, &|path| term(&settings, path))?.0))
    }

    /// The txn types, as clients' actors need them.
    pub fn txn_types(&self) -> Result<TxnTypes, String> {
        let (_, levels) = deployment::open(self.seed()?, &|path| self.get(path))?;
        let (mut names, mut max_time_limit) = (Indices::default(), Duration::ZERO);
        for i in 0..levels.len() {
            let name = self.get(&format!("Services.{i}.Name"));
            names.index(name.ok_or_else(|| format!("settings: expected a name for txn type {i}"))?);
            max_time_limit = max_time_limit.max(self.millis(&format!("Services.{i}.HardLimit"))?);
        }
        let writes = levels.into_iter().map(|level| level == Consistency::Write).collect();
        Ok(TxnTypes { names, writes, max_time_limit })
    }

    pub fn zones(&self) -> Vec<String> {
        self.get("Zones").unwrap_or_default().split(',').map(str::to_owned).collect()
    }

    pub fn descriptors(&self) -> Result<Descriptors, String> {
        let sockets = self.json["limits"]["sockets"].as_u64();
        let sockets = sockets.ok_or("expected a number in limits.sockets of GW_CONFIG")?;
        let sockets = usize::try_from(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
        let available = sockets
            .checked_sub(RESERVED_DESCRIPTORS)
            .ok_or_else(|| format!("limits.sockets: expected over {RESERVED_DESCRIPTORS}"))?;
        let refusal_slots = available / 16;
        Ok(Descriptors {
            max_connections: (available - refusal_slots) / 2,
            refusal_slots,
            close_long_idle_above: sockets / 6,
            close_idle_above: sockets / 4,
        })
    }

    /// Bytes of memory, where a limit is told.
    pub fn memory(&self) -> Option<usize> {
        let mb = self.json["limits"]["memory_mb"].as_u64().and_then(|mb| usize::try_from(mb).ok());
        mb.map(|mb| mb << 20)
    }

    /// The longest answer taken, in bytes: never more than a part of the memory; without a limit, a value of
    /// the usual size.
    pub fn largest_answer(&self) -> usize {
        self.memory().map_or(0, |bytes| bytes / MAX_ANSWER_MEMORY_DIVISOR).max(juniperdock_pg::LONGEST)
    }

    /// This front's place in its tier, and how many there are.
    pub fn front_index(&self) -> Result<(usize, usize), String> {
        let number = |path: &str| {
            let number = self.get(path).and_then(|text| text.parse::<usize>().ok());
            number.ok_or_else(|| format!("settings: expected a number in {path}"))
        };
        let (me, fronts) = (number("Me")?, number("Balancers")?);
        if me >= fronts {
            Err(format!("settings: expected Me below Balancers, found {me} of {fronts}"))
        } else {
            Ok((me, fronts))
        }
    }

    /// What this front is called.
    pub fn name(&self, me: usize) -> String {
        let name = std::env::var("GW_NAME").ok().or_else(|| self.json["name"].as_str().map(str::to_owned));
        name.unwrap_or_else(|| format!("front {me}"))
    }

    /// Where this front listens for its fellows and where they are, by their places; `None` where the
    /// settings do not allow it. A name that can't be found is told in its place.
    pub fn peer_addresses(&self) -> Result<Option<PeerAddresses>, String> {
        if self.get("Bounds.Peers").is_some_and(|allowed| allowed != "true" && allowed != "1") {
            return Ok(None);
        }
        let resolve = |field: &str, text: &str| {
            let found = text.to_socket_addrs().map_err(|e| format!("{field}: {text}: {e}"))?.next();
            found.ok_or_else(|| format!("{field}: {text}: no address"))
        };
        let resolve_field = |field: &str, value: &Value| {
            let text = value.as_str().ok_or_else(|| format!("expected a text in {field} of GW_CONFIG"))?;
            resolve(field, text)
        };
        let listen = resolve_field("peer_listen", &self.json["peer_listen"])?;
        let peers = self.json["peers"].as_array().ok_or("expected a list in peers of GW_CONFIG")?;
        let (me, fronts) = self.front_index()?;
        if peers.len() != fronts {
            return Err(format!(
                "peers: expected {fronts} addresses, as Balancers tells, found {}",
                peers.len()
            ));
        }
        let at = |(i, peer)| if i == me { Ok(listen) } else { resolve_field(&format!("peers[{i}]"), peer) };
        Ok(Some((listen, peers.iter().enumerate().map(at).collect())))
    }

    /// The server list as last seen; it is not kept here any longer.
    pub fn take_known_list(&mut self) -> Result<ServerList, String> {
        std::mem::replace(&mut self.known_list, Err("it has been taken".to_owned()))
    }

    /// Reads the file again: where the list is to be had, and which other fields differ from the start's.
    pub fn reread(&self) -> Result<(SocketAddr, Vec<&'static str>), String> {
        let new = read_without_list(&self.path)?;
        let discovery = new["discovery"].as_str().ok_or("expected a text in discovery of GW_CONFIG")?;
        let discovery = parse_address("discovery", discovery)?;
        let others = ["name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings"];
        Ok((discovery, others.into_iter().filter(|field| new[field] != self.json[field]).collect()))
    }
}
