//! Configuration in force: routes, services, workspaces and limits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;

use crate::{cold, placement::Regions};

/// How often a request may run, and the form of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once, unless the route allows streams to be resumed; the answer is a stream of events.
    Stream,
}

/// Service to which a route sends a share of its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Route: where requests of one host and path prefix go, and how they are treated.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix of the paths.
    pub prefix: String,
    /// How often a request may run.
    pub kind: Kind,
    /// Longest time until the answer; the default where a caller sends no time limit.
    pub timeout: Duration,
    /// Time within which a whole answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub target_gap: Duration,
    /// Largest number of servers that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services that share the requests; never empty.
    pub targets: Vec<Target>,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a stream that broke off may be resumed at another server.
    pub resumable: bool,
    /// Regions in which requests may be served.
    pub regions: Regions,
    /// Whether requests carry prompts with shared parts, so that servers which may hold them are preferred.
    pub shares_prompts: bool,
}

impl Route {
    /// Returns whether a request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns a service at random by the weights of the targets.
    pub fn pick_service(&self, random: &mut impl Rng) -> &Arc<str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = random.random_range(0..total.max(1));
        for target in &self.targets {
            if remaining < target.weight {
                return &target.service;
            }
            remaining -= target.weight;
        }
        &self.targets[0].service
    }
}

/// Model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one engine processes at once.
    pub slots: u32,
    /// Prompt tokens that one engine reads per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Milliseconds of one generation step without load.
    pub step_ms: f64,
    /// Milliseconds that each request which is generating adds to a step.
    pub step_ms_per_call: f64,
    /// Steps after which an engine checks for waiting requests.
    pub stride: f64,
    /// Models that the engines can hold.
    pub models: Vec<Weights>,
}

/// Weights of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Name of the model.
    pub model: String,
    /// Number of pieces of each version.
    pub pieces: usize,
    /// Bytes of a piece; the last one may be shorter.
    pub piece_bytes: usize,
    /// Number of layers; 0 if engines can't load them apart.
    pub layers: usize,
}

/// Origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address from which weights can be read.
    pub address: SocketAddr,
    /// Availability zone of the origin.
    pub zone: String,
}

/// Service: a group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Model engines; `None` for plain services.
    pub engine: Option<Engine>,
    /// Limit of cold servers; `None` if they get requests as the others do.
    pub cold: Option<cold::Policy>,
}

/// Workspace, whose callers identify themselves by keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Priority that overrides the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Regions in which requests may be served.
    pub regions: Regions,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time that receiving a request head may take.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reason why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and the request has none that a workspace holds.
    BadKey,
}

/// Route and workspace of an allowed request.
#[derive(Debug, Clone)]
pub struct Authorized {
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Workspace of the caller's key; `None` if the route needs no key.
    pub workspace: Option<Arc<Workspace>>,
}

impl Authorized {
    /// Returns the priority of the request; 0 is served first.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the regions in which the request may be served; those of the route and of the workspace both bind.
    pub fn regions(&self) -> Regions {
        let route = &self.route.regions;
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(
            || route.clone(),
            |workspace| route.intersect(&workspace.regions),
        )
    }
}

/// Parts that a configuration is built from.
#[derive(Debug, Clone, Default)]
pub struct Parts {
    /// Version; grows with each configuration.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services that routes lead to.
    pub services: Vec<Service>,
    /// Workspaces with their keys; `None` if no route needs keys.
    pub workspaces: Option<Vec<(Workspace, Vec<String>)>>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Origin of weights.
    pub origin: Option<Origin>,
}

/// Configuration, indexed for lookups.
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
    /// Builds the indexes of a configuration.
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

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the origin of weights; `None` if the configuration names none.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Returns a service by name; `None` if it is unknown.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the route and workspace of a request. The longest matching prefix of the host decides.
    ///
    /// # Errors
    /// [`Denial`] if no route matches, or if the route needs a key that no workspace holds.
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

    /// Returns the route and workspace of a request, like [`Config::authorize`], for a workspace that is given by name.
    ///
    /// # Errors
    /// [`Denial`] if no route matches, or if the route needs a key and no workspace has the name.
    pub fn authorize_workspace(
        &self,
        host: &str,
        path: &str,
        workspace: Option<&str>,
    ) -> Result<Authorized, Denial> {
        let mut keys = self.keys.iter().flatten();
        let key = keys.find(|(_, known)| Some(&*known.name) == workspace);
        self.authorize(host, path, key.map(|(key, _)| key.as_str()))
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
    for (workspace, workspace_keys) in workspaces {
        let workspace = Arc::new(workspace);
        keys.extend(
            workspace_keys
                .into_iter()
                .map(|key| (key, Arc::clone(&workspace))),
        );
    }
    keys
}
