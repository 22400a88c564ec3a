//! A configuration with its indexes, made once for each version and shared by all
//! who look things up in it: with over a thousand routes, lists are too slow.

use crate::{Configuration, Route, Service};
use std::collections::HashMap;
use std::ops::Deref;

#[derive(Clone, Default)]
pub struct ConfigurationIndex {
    configuration: Configuration,
    /// Routes of a host in lower case, those of longer prefixes first.
    hosts: HashMap<String, Vec<usize>>,
    routes: HashMap<String, usize>,
    services: HashMap<String, usize>,
    /// By service, the shortest aim for the start of a run.
    target_starts: HashMap<String, f64>,
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
            let target_start = p.target_starts.entry(c.service.clone()).or_insert(f64::MAX);
            *target_start = target_start.min(c.target_start_ms);
        }
        for routes in p.hosts.values_mut() {
            routes.sort_by_key(|n| std::cmp::Reverse(configuration.routes[*n].prefix.len()));
        }
        p.services = configuration.services.iter().enumerate().map(|(n, s)| (s.name.clone(), n)).collect();
        p.configuration = configuration;
        p
    }
}

impl ConfigurationIndex {
    /// The route of a request: by host, then by the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = match host.rsplit_once(':') {
            Some((h, port)) if port.bytes().all(|b| b.is_ascii_digit()) => h,
            _ => host,
        };
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

    /// The shortest aim for the start of a run that any route of a service has.
    pub fn target_start_ms(&self, service: &str) -> f64 {
        self.target_starts.get(service).copied().unwrap_or(f64::MAX)
    }
}
