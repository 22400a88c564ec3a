//! A configuration with its indexes, built once per revision and shared by all readers. With more
//! than a thousand routes, searching the lists is too slow.

use crate::{Configuration, Homes, Route, Service, Tenant};
use std::collections::{BTreeSet, HashMap};
use std::ops::Deref;

/// A hash that must be the same in every process and program version, because partitions are
/// selected by it.
pub fn placement_hash(text: &str) -> u64 {
    let h = text.bytes().fold(0xcbf29ce484222325u64, |h, b| (h ^ b as u64).wrapping_mul(0x100000001b3));
    (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15) >> 16
}

#[derive(Clone, Default)]
pub struct ConfigurationIndex {
    configuration: Configuration,
    /// Routes by lower-case host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    routes: HashMap<String, usize>,
    services: HashMap<String, usize>,
    /// By service, the shortest target start time of its routes, in milliseconds.
    target_starts: HashMap<String, f64>,
    /// By service, the routes that accept messages for it.
    message_routes: HashMap<String, Vec<usize>>,
    /// Tenants by key.
    tenant_keys: HashMap<String, usize>,
    /// Tenants by name.
    tenant_names: HashMap<String, usize>,
    /// Whether any route or tenant is restricted to regions.
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
    /// The route of a request, by host and then by the longest matching path prefix.
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

    /// The named route, if it still matches the host and path of a message that was accepted on it.
    /// The name may have been reused for another route since.
    pub fn route_covering(&self, name: &str, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or("");
        let covers =
            |route: &&Route| route.host.eq_ignore_ascii_case(without_port(host)) && path.starts_with(&route.prefix);
        self.route_named(name).filter(covers)
    }

    /// Whether a service has a rate limit or a single endpoint. As few partition owners as possible
    /// then deliver messages to it.
    pub fn is_metered(&self, service: &str) -> bool {
        self.service(service).is_some_and(|s| s.endpoint.is_some() || s.flow_per_s > 0.0)
    }

    /// Whether any service of the route is metered.
    pub fn has_metered_service(&self, route: &Route) -> bool {
        route.services().any(|service| self.is_metered(service))
    }

    /// The routes that accept messages for a service.
    pub fn message_routes(&self, service: &str) -> impl ExactSizeIterator<Item = &Route> + Clone {
        let routes = self.message_routes.get(service).map_or(&[][..], Vec::as_slice);
        routes.iter().map(|n| &self.configuration.routes[*n])
    }

    /// Whether requests must carry a tenant key.
    pub fn has_tenants(&self) -> bool {
        self.configuration.tenants.is_some()
    }

    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        self.tenant_keys.get(key).map(|n| &self.configuration.tenants()[*n])
    }

    /// The regions in which requests of a tenant on a route may be run and stored; `tenant` is empty
    /// if there is none.
    pub fn homes(&self, route: &Route, tenant: &str) -> Homes {
        let homes = Homes::of(&route.domains);
        match self.tenant_named(tenant) {
            Some(tenant) => homes.and(Homes::of(&tenant.domains)),
            None => homes,
        }
    }

    /// As `homes`, by route name; `None` if there is no such route.
    pub fn homes_on(&self, route: &str, tenant: &str) -> Option<Homes> {
        self.route_named(route).map(|route| self.homes(route, tenant))
    }

    /// Whether any route or tenant is restricted to regions.
    pub fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// The regions that any route or tenant is restricted to.
    pub fn home_regions(&self) -> BTreeSet<&str> {
        let routes = self.configuration.routes.iter().flat_map(|route| &route.domains);
        let tenants = self.configuration.tenants().iter().flat_map(|tenant| &tenant.domains);
        routes.chain(tenants).map(String::as_str).collect()
    }

    /// Whether any tenant has a rate limit.
    pub fn has_limits(&self) -> bool {
        self.configuration.tenants().iter().any(|tenant| tenant.flow_per_s > 0.0)
    }

    /// Whether a tenant has a rate limit.
    pub fn has_limit(&self, tenant: &str) -> bool {
        self.tenant_named(tenant).is_some_and(|tenant| tenant.flow_per_s > 0.0)
    }

    pub fn tenant_named(&self, name: &str) -> Option<&Tenant> {
        self.tenant_names.get(name).map(|n| &self.configuration.tenants()[*n])
    }

    /// The shortest target start time of the routes of a service.
    pub fn target_start_ms(&self, service: &str) -> f64 {
        self.target_starts.get(service).copied().unwrap_or(f64::MAX)
    }
}
