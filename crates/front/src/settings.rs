//! The front's configuration at its start: environment variables, the configuration file and the settings inside it.
//! Each accessor returns the few values that one part needs, or an error with what was expected and where.

use crate::configuration::{read_with_list, read_without_list};
use crate::memory::Memory;
use juniperdock_deployment::{self as deployment, Indices};
use juniperdock_router::host::Consistency;
use juniperdock_router::routing::Router;
use juniperdock_server_list::ServerList;
use juniperdock_settings::term;
use serde_json::Value;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// The buffer of one answer takes at most this fraction of the memory limit.
const MAX_ANSWER_MEMORY_DIVISOR: usize = 64;
/// File descriptors reserved for the front itself: standard streams, listener, discovery, selector, signals.
const RESERVED_DESCRIPTORS: usize = 14;

/// The environment variable with the address of discovery.
pub const DISCOVERY_ENV: &str = "GW_DISCOVERY";

/// The configuration as it was read, with its path.
pub struct Settings {
    path: String,
    /// Everything except the server list.
    json: Value,
    known_list: Result<ServerList, String>,
}

/// The configured txn types.
pub struct TxnTypes {
    pub names: Indices<String>,
    /// By index, whether the type writes.
    pub writes: Vec<bool>,
    /// By index, whether its requests have an idempotency key.
    pub keyed: Vec<bool>,
    /// The largest `HardLimit` of all types.
    pub max_time_limit: Duration,
}

/// How many connections the limits on file descriptors and memory allow.
pub struct ConnectionLimits {
    /// Maximum number of connections to members.
    pub max_server_connections: usize,
    /// Maximum number of clients.
    pub max_clients: usize,
    /// Further clients that are accepted only to be refused with an error.
    pub refusal_slots: usize,
    /// Above this number of clients, those that have been idle for long are disconnected.
    pub close_long_idle_above: usize,
    /// Above this number of clients, those that have been idle for a shorter time are disconnected, too.
    pub close_idle_above: usize,
}

/// The address on which a front listens for its peers, and the address of each front or why it is unknown.
pub type PeerAddresses = (SocketAddr, Vec<Result<SocketAddr, String>>);

/// Parses an address with a port; `name` appears in the error.
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

    /// Wraps a configuration that was not read from a file.
    pub fn from_json(json: Value) -> Settings {
        Settings { path: String::new(), json, known_list: Err("no server list configured".to_owned()) }
    }

    /// Validates every setting and limit that the front reads; addresses may still come from the environment.
    pub fn check(&self) -> Result<(), String> {
        for field in ["listen", "discovery"] {
            match &self.json[field] {
                Value::Null => {}
                found => drop(parse_address(field, found.as_str().unwrap_or(&found.to_string()))?),
            }
        }
        self.routers().map(drop)?;
        self.connection_limits().map(drop)?;
        ["Bounds.ConnectTimeout", "Bounds.ConnIdle", "Guarantees.GraceToAnswer"]
            .iter()
            .try_for_each(|path| self.millis(path).map(drop))?;
        self.txn_types().map(drop)
    }

    /// Returns an address; the environment variable takes precedence over the file.
    pub fn address(&self, variable: &str, field: &str) -> Result<SocketAddr, String> {
        let text = std::env::var(variable).ok().or_else(|| self.json[field].as_str().map(str::to_owned));
        let text = text.ok_or_else(|| format!("expected {variable}, or {field} in GW_CONFIG"))?;
        parse_address(variable, &text)
    }

    /// Returns the address of discovery with which a process starts; one that a reload has put in force in the process
    /// before it goes before the environment and the file.
    pub fn discovery(&self, in_force: Option<SocketAddr>) -> Result<SocketAddr, String> {
        in_force.map_or_else(|| self.address(DISCOVERY_ENV, "discovery"), Ok)
    }

    /// Returns the seed for random decisions.
    pub fn seed(&self) -> Result<u64, String> {
        let seed = self.json["seed"].as_str().ok_or("expected a string in seed of GW_CONFIG")?;
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: expected hex digits, found {seed:?}"))
    }

    /// Returns the setting at that path as text.
    pub fn get(&self, path: &str) -> Option<String> {
        term(&self.json["settings"], path)
    }

    /// Returns a setting that is a time in milliseconds.
    pub fn millis(&self, path: &str) -> Result<Duration, String> {
        let ms = self.get(path).and_then(|ms| deployment::micros(ms.parse().ok()?));
        ms.map(deployment::span).ok_or_else(|| format!("settings: expected a time in {path}"))
    }

    /// Validates the settings and returns a function that creates routers from them.
    pub fn routers(&self) -> Result<impl Fn() -> Result<Router, String> + Send + use<>, String> {
        let (seed, settings) = (self.seed()?, self.json["settings"].clone());
        deployment::build_router(seed, &|path| term(&settings, path))
            .map_err(|why| format!("settings: {why}"))?;
        Ok(move || Ok(deployment::build_router(seed, &|path| term(&settings, path))?.0))
    }

    /// Returns the txn types, as the client actors need them.
    pub fn txn_types(&self) -> Result<TxnTypes, String> {
        let (_, levels) = deployment::build_router(self.seed()?, &|path| self.get(path))?;
        let (mut names, mut max_time_limit) = (Indices::default(), Duration::ZERO);
        for i in 0..levels.len() {
            let name = self.get(&format!("Services.{i}.Name"));
            names.index(name.ok_or_else(|| format!("settings: expected a name for txn type {i}"))?);
            max_time_limit = max_time_limit.max(self.millis(&format!("Services.{i}.HardLimit"))?);
        }
        let is_keyed = |i: usize| self.get(&format!("Services.{i}.Effect")).as_deref() == Some("token");
        let keyed = (0..levels.len()).map(is_keyed).collect();
        let writes = levels.into_iter().map(|level| level == Consistency::Write).collect();
        Ok(TxnTypes { names, writes, keyed, max_time_limit })
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> Vec<String> {
        self.get("Zones").unwrap_or_default().split(',').map(str::to_owned).collect()
    }

    /// Divides the file descriptors that `limits.sockets` allows between clients and members, as far as
    /// `limits.memory_mb` has the memory for them.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, String> {
        let sockets = self.json["limits"]["sockets"].as_u64();
        let sockets = sockets.ok_or("expected a number in limits.sockets of GW_CONFIG")?;
        let sockets = usize::try_from(sockets).map_err(|e| format!("limits.sockets: {e}"))?;
        let available = sockets
            .checked_sub(RESERVED_DESCRIPTORS)
            .ok_or_else(|| format!("limits.sockets: expected more than {RESERVED_DESCRIPTORS}"))?;
        let refusal_slots = available / 16;
        let half = (available - refusal_slots) / 2;
        let memory = Memory::new(self.memory()).limit();
        Ok(ConnectionLimits {
            max_server_connections: half.min(memory.max_server_connections()),
            max_clients: half.min(memory.max_clients()),
            refusal_slots,
            close_long_idle_above: sockets / 6,
            close_idle_above: sockets / 4,
        })
    }

    /// Returns the memory limit in bytes, if one is configured.
    pub fn memory(&self) -> Option<usize> {
        let mb = self.json["limits"]["memory_mb"].as_u64().and_then(|mb| usize::try_from(mb).ok());
        mb.map(|mb| mb << 20)
    }

    /// Returns the maximum size of an answer in bytes: a fraction of the memory limit, but at least `MAX_MESSAGE_LEN` of the
    /// `pg` package.
    pub fn largest_answer(&self) -> usize {
        self.memory()
            .map_or(0, |bytes| bytes / MAX_ANSWER_MEMORY_DIVISOR)
            .max(juniperdock_pg::MAX_MESSAGE_LEN)
    }

    /// Returns the index of this front in its cluster, and the number of fronts.
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

    /// Returns the name of this front: from the environment, else from the file, else made from its index.
    pub fn name(&self, me: usize) -> String {
        let name = std::env::var("GW_NAME").ok().or_else(|| self.json["name"].as_str().map(str::to_owned));
        name.unwrap_or_else(|| format!("front {me}"))
    }

    /// Returns the address on which this front listens for its peers, and the addresses of all fronts by index; `None`
    /// if the settings disable communication between fronts. A name that can't be resolved gives an error in its place.
    pub fn peer_addresses(&self) -> Result<Option<PeerAddresses>, String> {
        if self.get("Bounds.Peers").is_some_and(|allowed| allowed != "true" && allowed != "1") {
            return Ok(None);
        }
        let resolve = |field: &str, text: &str| {
            let found = text.to_socket_addrs().map_err(|e| format!("{field}: {text}: {e}"))?.next();
            found.ok_or_else(|| format!("{field}: {text}: no address found"))
        };
        let resolve_field = |field: &str, value: &Value| {
            let text = value.as_str().ok_or_else(|| format!("expected a string in {field} of GW_CONFIG"))?;
            resolve(field, text)
        };
        let listen = resolve_field("peer_listen", &self.json["peer_listen"])?;
        let peers = self.json["peers"].as_array().ok_or("expected a list in peers of GW_CONFIG")?;
        let (me, fronts) = self.front_index()?;
        if peers.len() != fronts {
            return Err(format!(
                "peers: expected {fronts} addresses, as set in Balancers, found {}",
                peers.len()
            ));
        }
        let at = |(i, peer)| if i == me { Ok(listen) } else { resolve_field(&format!("peers[{i}]"), peer) };
        Ok(Some((listen, peers.iter().enumerate().map(at).collect())))
    }

    /// Takes the last known server list out of the configuration.
    pub fn take_known_list(&mut self) -> Result<ServerList, String> {
        std::mem::replace(&mut self.known_list, Err("server list already taken".to_owned()))
    }

    /// Reads the file again. Returns the address of discovery, and which other fields differ from those at the start.
    pub fn reread(&self) -> Result<(SocketAddr, Vec<&'static str>), String> {
        let new = read_without_list(&self.path)?;
        let discovery = new["discovery"].as_str().ok_or("expected a string in discovery of GW_CONFIG")?;
        let discovery = parse_address("discovery", discovery)?;
        let others = ["name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings"];
        Ok((discovery, others.into_iter().filter(|field| new[field] != self.json[field]).collect()))
    }
}
