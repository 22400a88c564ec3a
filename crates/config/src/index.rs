//! A configuration with its indexes, made once for each version and shared by all
//! who look things up in it: with over a thousand routes, lists are too slow.

use crate::{Configuration, Homes, Route, Service, Tenant};
use std::collections::{BTreeSet, HashMap};
use std::ops::Deref;

/// A hash that is the same in every process and version of the program: partitions are chosen
/// by it.
pub fn placement_hash(text: &str) -> u64 {
    let h = text.bytes().fold(0xcbf29ce484222325u64, |h, b| (h ^ b as u64).wrapping_mul(0x100000001b3));
    (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15) >> 16
}

#[derive(Clone, Default)]
pub struct ConfigurationIndex {
    configuration: Configuration,
    /// Routes of a host in lower case, those of longer prefixes first.
    hosts: HashMap<String, Vec<usize>>,
    routes: HashMap<String, usize>,
    services: HashMap<String, usize>,
    /// By service, the shortest aim for the start of a run.
    target_starts: HashMap<String, f64>,
    /// By service, the routes on which messages for it come in.
    message_routes: HashMap<String, Vec<usize>>,
    /// By key, the tenant that holds it.
    tenant_keys: HashMap<String, usize>,
    /// By name.
    tenant_names: HashMap<String, usize>,
    /// Any route or tenant is bound to regions.
    has_homes: bool,
}

impl Deref for ConfigurationIndex {
    type Target = Configuration;
    fn deref(&self) -> &Configuration {
        &self.configuration
    }
}

impl From<Configuration> for ConfigurationIndex {
    fn from(configuration: Configuration) -> ConfigurationIndex {
        let mut p = ConfigurationIndex::default();
        for (n, c) in configuration.routes.iter().enumerate() {
            p.hosts.entry(c.host.to_ascii_lowercase()).or_default().push(n);
            p.routes.insert(c.name.clone(), n);
            for service in c.services() {
                if c.mode == "deferred" {
                    p.message_routes.entry(service.to_owned()).or_default().push(n);
                }
                let target_start = p.target_starts.entry(service.to_owned()).or_insert(f64::MAX);
                *target_start = target_start.min(c.target_start_ms);
            }
        }
        for routes in p.hosts.values_mut() {
            routes.sort_by_key(|n| std::cmp::Reverse(configuration.routes[*n].prefix.len()));
        }
        p.services = configuration.services.iter().enumerate().map(|(n, s)| (s.name.clone(), n)).collect();
        for (n, tenant) in configuration.tenants().iter().enumerate() {
            p.tenant_keys.extend(tenant.keys.iter().map(|key| (key.clone(), n)));
            p.tenant_names.insert(tenant.name.clone(), n);
        }
        p.has_homes = configuration.routes.iter().any(|route| !route.domains.is_empty())
            || configuration.tenants().iter().any(|tenant| !tenant.domains.is_empty());
        p.configuration = configuration;
        p
    }
}

/// A host without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

impl ConfigurationIndex {
    /// The route of a request: by host, then by the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let routes = match self.hosts.get(host) {
            Some(r) => r,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().map(|n| &self.configuration.routes[*n]).find(|c| path.starts_with(&c.prefix))
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|n| &self.configuration.services[*n])
    }

    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.get(name).map(|n| &self.configuration.routes[*n])
    }

    /// The route of that name, where it still has the host and path of a message that was taken
    /// in on it: another route may have been given the same name since.
    pub fn route_covering(&self, name: &str, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or("");
        let covers =
            |route: &&Route| route.host.eq_ignore_ascii_case(without_port(host)) && path.starts_with(&route.prefix);
        self.route_named(name).filter(covers)
    }

    /// Whether a service takes no more than so many messages a second, or has one endpoint:
    /// then as few owners as possible are to give it messages.
    pub fn is_metered(&self, service: &str) -> bool {
        self.service(service).is_some_and(|s| s.endpoint.is_some() || s.flow_per_s > 0.0)
    }

    /// Whether any of the services that a route's requests may go to is metered.
    pub fn has_metered_service(&self, route: &Route) -> bool {
        route.services().any(|service| self.is_metered(service))
    }

    /// The routes on which messages for a service come in.
    pub fn message_routes(&self, service: &str) -> impl ExactSizeIterator<Item = &Route> + Clone {
        let routes = self.message_routes.get(service).map_or(&[][..], Vec::as_slice);
        routes.iter().map(|n| &self.configuration.routes[*n])
    }

    /// Whether requests carry a tenant's key.
    pub fn has_tenants(&self) -> bool {
        self.configuration.tenants.is_some()
    }

    /// The tenant that holds a key.
    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        self.tenant_keys.get(key).map(|n| &self.configuration.tenants()[*n])
    }

    /// Where requests of a tenant on a route may be run and kept; `tenant` is empty where
    /// there is none.
    pub fn homes(&self, route: &Route, tenant: &str) -> Homes {
        let homes = Homes::of(&route.domains);
        match self.tenant_named(tenant) {
            Some(tenant) => homes.and(Homes::of(&tenant.domains)),
            None => homes,
        }
    }

    /// As `homes`, by the route's name; `None` if there is no such route.
    pub fn homes_on(&self, route: &str, tenant: &str) -> Option<Homes> {
        self.route_named(route).map(|route| self.homes(route, tenant))
    }

    /// Whether any route or tenant is bound to regions.
    pub fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// The regions that any route or tenant is bound to, in their order, each once.
    pub fn home_regions(&self) -> BTreeSet<&str> {
        let routes = self.configuration.routes.iter().flat_map(|route| &route.domains);
        let tenants = self.configuration.tenants().iter().flat_map(|tenant| &tenant.domains);
        routes.chain(tenants).map(String::as_str).collect()
    }

    /// Whether any tenant is held to a limit.
    pub fn has_limits(&self) -> bool {
        self.configuration.tenants().iter().any(|tenant| tenant.flow_per_s > 0.0)
    }

    /// Whether a tenant is held to a limit.
    pub fn has_limit(&self, tenant: &str) -> bool {
        self.tenant_named(tenant).is_some_and(|tenant| tenant.flow_per_s > 0.0)
    }

    /// A tenant by its name.
    pub fn tenant_named(&self, name: &str) -> Option<&Tenant> {
        self.tenant_names.get(name).map(|n| &self.configuration.tenants()[*n])
    }

    /// The shortest aim for the start of a run that any route of a service has.
    pub fn target_start_ms(&self, service: &str) -> f64 {
        self.target_starts.get(service).copied().unwrap_or(f64::MAX)
    }
}
