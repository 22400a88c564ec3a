//! A configuration with its indexes, made once for each version and shared by all
//! who look things up in it: with over a thousand routes, lists are too slow.

use crate::{Channel, Plant, Template};
use std::collections::HashMap;
use std::ops::Deref;

#[derive(Clone, Default)]
pub struct Pattern {
    template: Template,
    /// Routes of a host in lower case, those of longer prefixes first.
    hosts: HashMap<String, Vec<usize>>,
    channels: HashMap<String, usize>,
    plants: HashMap<String, usize>,
    /// By plant, the shortest aim for the start of a run.
    aims: HashMap<String, f64>,
}

impl Deref for Pattern {
    type Target = Template;
    fn deref(&self) -> &Template {
        &self.template
    }
}

impl From<Template> for Pattern {
    fn from(template: Template) -> Pattern {
        let mut p = Pattern::default();
        for (n, c) in template.channels.iter().enumerate() {
            p.hosts.entry(c.host.to_ascii_lowercase()).or_default().push(n);
            p.channels.insert(c.name.clone(), n);
            let aim = p.aims.entry(c.plant.clone()).or_insert(f64::MAX);
            *aim = aim.min(c.start_setpoint_ms);
        }
        for routes in p.hosts.values_mut() {
            routes.sort_by_key(|n| std::cmp::Reverse(template.channels[*n].prefix.len()));
        }
        p.plants = template.plants.iter().enumerate().map(|(n, s)| (s.name.clone(), n)).collect();
        p.template = template;
        p
    }
}

impl Pattern {
    /// The route of a request: by host, then by the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Channel> {
        let host = match host.rsplit_once(':') {
            Some((h, port)) if port.bytes().all(|b| b.is_ascii_digit()) => h,
            _ => host,
        };
        let routes = match self.hosts.get(host) {
            Some(r) => r,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().map(|n| &self.template.channels[*n]).find(|c| path.starts_with(&c.prefix))
    }

    pub fn plant(&self, name: &str) -> Option<&Plant> {
        self.plants.get(name).map(|n| &self.template.plants[*n])
    }

    pub fn channel(&self, name: &str) -> Option<&Channel> {
        self.channels.get(name).map(|n| &self.template.channels[*n])
    }

    /// The shortest aim for the start of a run that any route of a plant has.
    pub fn aim_ms(&self, plant: &str) -> f64 {
        self.aims.get(plant).copied().unwrap_or(f64::MAX)
    }
}
