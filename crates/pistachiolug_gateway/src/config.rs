//! Configuration in force: routes, services, workspaces and limits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Once,
    /// Once at most, unless the route lets streams resume; the answer is a stream of events.
    Stream,
}

/// Service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service's name.
    pub service: Arc<str>,
    /// Share relative to the route's other targets.
    pub weight: u32,
}

/// Where requests of one host and path go and what may be done with them.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Start of the paths.
    pub prefix: String,
    /// How often a request may run.
    pub kind: Kind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target_latency: Duration,
    /// Longest pause between a stream's events that is on time.
    pub target_gap: Duration,
    /// Largest number of servers that one attempt may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services; never empty.
    pub targets: Vec<Target>,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
}

impl Route {
    /// Tells whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Draws the service of one request by the targets' weights.
    pub fn pick_service(&self, random: &mut impl Rng) -> &Arc<str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = random.random_range(0..total.max(1));
        for target in &self.targets {
            if point < target.weight {
                return &target.service;
            }
            point -= target.weight;
        }
        &self.targets[0].service
    }
}

/// What is known of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one engine processes at once.
    pub slots: u32,
    /// Prompt tokens that one engine reads in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Milliseconds of one token step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub step_ms_per_call: f64,
    /// Steps between two looks at waiting work.
    pub stride: f64,
    /// Models that the engines hold.
    pub models: Vec<Weights>,
}

/// Weights of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Model's name.
    pub model: String,
    /// Number of pieces of each version.
    pub pieces: usize,
    /// Bytes of a piece; the last one may be shorter.
    pub piece_bytes: usize,
}

/// Origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// Group of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Set for services of model engines.
    pub engine: Option<Engine>,
}

/// Workspace whose callers hold keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Rank that goes before the route's; 0 goes first.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time a request head may take.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns bounds for the time before the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reason why a request has no place in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route fits host and path.
    NoRoute,
    /// The route needs a key that a workspace holds.
    BadKey,
}

/// Route and workspace of a request.
#[derive(Debug, Clone)]
pub struct Authorized {
    /// Route.
    pub route: Arc<Route>,
    /// Workspace; `None` on routes without keys.
    pub workspace: Option<Arc<Workspace>>,
}

impl Authorized {
    /// Returns the rank of the request; 0 goes first.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Parts that a configuration is built from.
#[derive(Debug, Clone, Default)]
pub struct Parts {
    /// Number that grows with each configuration.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces with their keys; `None` if no route needs keys.
    pub workspaces: Option<Vec<(Workspace, Vec<String>)>>,
    /// Bounds.
    pub limits: Limits,
    /// Origin of weights.
    pub origin: Option<Origin>,
}

/// Configuration, indexed.
#[derive(Debug, Clone, Default)]
pub struct Config {
    version: u64,
    /// Routes by host, longest prefix first.
    hosts: FxHashMap<String, Vec<Arc<Route>>>,
    services: FxHashMap<Arc<str>, Service>,
    keys: Option<FxHashMap<String, Arc<Workspace>>>,
    limits: Limits,
    origin: Option<Origin>,
}

impl Config {
    /// Indexes a configuration.
    pub fn new(parts: Parts) -> Self {
        let mut hosts: FxHashMap<String, Vec<Arc<Route>>> = FxHashMap::default();
        for route in parts.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            hosts,
            services: services
                .map(|service| (Arc::clone(&service.name), service))
                .collect(),
            keys: parts.workspaces.map(index_keys),
            limits: parts.limits,
            origin: parts.origin,
        }
    }

    /// Returns the number that grows with each configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on what callers send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route and workspace of a request.
    ///
    /// # Errors
    /// [`Denial`] if nothing allows the request.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Authorized, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let Some(keys) = self.keys.as_ref().filter(|_| !route.anonymous) else {
            return Ok(Authorized {
                route: Arc::clone(route),
                workspace: None,
            });
        };
        let workspace = key.and_then(|key| keys.get(key)).ok_or(Denial::BadKey)?;
        Ok(Authorized {
            route: Arc::clone(route),
            workspace: Some(Arc::clone(workspace)),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn index_keys(workspaces: Vec<(Workspace, Vec<String>)>) -> FxHashMap<String, Arc<Workspace>> {
    let mut keys = FxHashMap::default();
    for (workspace, held) in workspaces {
        let workspace = Arc::new(workspace);
        keys.extend(held.into_iter().map(|key| (key, Arc::clone(&workspace))));
    }
    keys
}
