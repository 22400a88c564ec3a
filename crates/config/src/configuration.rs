use crate::homes::check_domains;
use crate::index::placement_hash;
use crate::tenant::{Tenant, TenantList, check_tenants};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};

/// The operator's configuration: routes (`routes`), services (`services`), limits.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Configuration {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(message, repeated, tag = "2")]
    #[serde(rename = "channels")]
    pub routes: Vec<Route>,
    #[prost(message, repeated, tag = "3")]
    #[serde(rename = "plants")]
    pub services: Vec<Service>,
    #[prost(message, required, tag = "4")]
    pub limits: WireLimits,
    /// `None` if the configuration defines no tenants; clients then need no key.
    #[prost(message, optional, tag = "5")]
    pub tenants: Option<TenantList>,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Route {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(string, tag = "3")]
    pub prefix: String,
    #[prost(string, tag = "4")]
    pub mode: String,
    #[prost(double, tag = "5")]
    #[serde(rename = "cutoffMs")]
    pub timeout_ms: f64,
    #[prost(double, tag = "6")]
    #[serde(rename = "setpointMs")]
    pub target_latency_ms: f64,
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    #[prost(string, tag = "8")]
    #[serde(rename = "plant")]
    pub service: String,
    #[prost(uint32, tag = "9")]
    pub tries: u32,
    #[prost(bool, tag = "10")]
    pub sequenced: bool,
    #[prost(double, tag = "11")]
    pub retain_s: f64,
    #[prost(bool, tag = "12")]
    pub notify: bool,
    #[prost(double, tag = "13")]
    #[serde(rename = "startSetpointMs")]
    pub target_start_ms: f64,
    /// Services that share the route, with their weights; if empty, `service` gets all requests.
    #[prost(btree_map = "string, double", tag = "14")]
    #[serde(deserialize_with = "weights")]
    pub mix: BTreeMap<String, f64>,
    /// Requests on this route carry no tenant key.
    #[prost(bool, tag = "15")]
    pub unkeyed: bool,
    /// The regions in which requests may be run, stored and cached; empty for any region.
    #[prost(string, repeated, tag = "16")]
    #[serde(deserialize_with = "null_as_default")]
    pub domains: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Service {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, optional, tag = "2")]
    pub probe: Option<String>,
    #[prost(uint32, tag = "3")]
    pub conn_limit: u32,
    #[prost(double, tag = "4")]
    pub flow_per_s: f64,
    #[prost(bool, tag = "5")]
    pub dedupes: bool,
    #[prost(string, optional, tag = "6")]
    pub endpoint: Option<String>,
    /// For functions: the memory of one processor on a worker. `boot_ms` is its start-up time and
    /// `max_inflight` the number of requests it may process concurrently.
    #[prost(double, tag = "7")]
    pub memory_mb: f64,
    #[prost(double, tag = "8")]
    pub boot_ms: f64,
    #[prost(uint32, tag = "9")]
    pub max_inflight: u32,
    /// The number of seconds for which a processor is cold after a start.
    #[prost(double, tag = "10")]
    #[serde(deserialize_with = "null_as_default")]
    pub cold_s: f64,
    /// Maximum requests per second to a cold processor, over all machines; 0 for no limit.
    #[prost(double, tag = "11")]
    #[serde(deserialize_with = "null_as_default")]
    pub cold_per_s: f64,
}

impl Service {
    pub fn is_function(&self) -> bool {
        self.max_inflight > 0
    }
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLimits {
    #[prost(uint64, tag = "1")]
    pub header_bytes: u64,
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    #[prost(double, tag = "3")]
    pub header_ms: f64,
    #[prost(double, tag = "4")]
    pub idle_ms: f64,
}

/// Deserializes `null` as the default value, like an absent field.
pub(crate) fn null_as_default<'de, D, T>(d: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + serde::Deserialize<'de>,
{
    let read: Option<T> = serde::Deserialize::deserialize(d)?;
    Ok(read.unwrap_or_default())
}

/// Deserializes weights by service, from an object of numbers or a list of items with a service
/// and a weight.
fn weights<'de, D: serde::Deserializer<'de>>(d: D) -> Result<BTreeMap<String, f64>, D::Error> {
    #[derive(serde::Deserialize)]
    struct Part {
        #[serde(rename = "plant")]
        service: String,
        #[serde(alias = "gain")]
        weight: f64,
    }
    #[derive(serde::Deserialize)]
    #[serde(untagged)]
    enum Mix {
        Map(BTreeMap<String, f64>),
        List(Vec<Part>),
    }
    let read: Option<Mix> = serde::Deserialize::deserialize(d)?;
    Ok(match read {
        None => BTreeMap::new(),
        Some(Mix::Map(m)) => m,
        Some(Mix::List(l)) => l.into_iter().map(|p| (p.service, p.weight)).collect(),
    })
}

impl Route {
    /// Hash of the route's host and prefix; it does not change when the route's service does.
    pub fn place_hash(&self) -> u64 {
        placement_hash(&format!("{}{}", self.host.to_ascii_lowercase(), self.prefix))
    }

    /// The services that requests may be sent to: those in `mix` if there are any, else `service`.
    pub fn services(&self) -> impl Iterator<Item = &str> + Clone {
        let own = self.mix.is_empty().then_some(self.service.as_str());
        self.mix.keys().map(String::as_str).chain(own)
    }

    /// The service for one request. With weights it is chosen by `number`, which differs between
    /// requests.
    pub fn service_for(&self, number: u64) -> &str {
        let sum: f64 = self.mix.values().sum();
        let mut at = (number % 1_000_003) as f64 / 1_000_003.0 * sum;
        for (p, w) in &self.mix {
            if at < *w {
                return p;
            }
            at -= w;
        }
        self.mix.keys().next_back().unwrap_or(&self.service)
    }
}

impl Configuration {
    /// Parses and validates a complete configuration; the error names the invalid item.
    pub fn read(json: &[u8]) -> Result<Configuration, String> {
        let t: Configuration = serde_json::from_slice(json).map_err(|e| format!("cannot be read in full: {e}"))?;
        t.check()?;
        Ok(t)
    }

    fn check(&self) -> Result<(), String> {
        if self.revision == 0 {
            return Err("revision: must be above 0".into());
        }
        let mut services = HashSet::new();
        for p in &self.services {
            if p.name.is_empty() || !services.insert(p.name.as_str()) {
                return Err(format!("plants: name {:?} is missing or used twice", p.name));
            }
            if p.flow_per_s.is_nan() || p.flow_per_s < 0.0 {
                return Err(format!("plants: {}: flowPerS must be 0 or more", p.name));
            }
            for (field, value) in [("coldS", p.cold_s), ("coldPerS", p.cold_per_s)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("plants: {}: {field} must be 0 or more", p.name));
                }
            }
            // A function sets all three fields; any other service sets none.
            if p.memory_mb != 0.0 || p.boot_ms != 0.0 || p.max_inflight != 0 {
                for (field, value, most) in [
                    ("memoryMb", p.memory_mb, 1e7),
                    ("bootMs", p.boot_ms, 3.6e6),
                    ("maxInflight", f64::from(p.max_inflight), 1e6),
                ] {
                    if value.is_nan() || value <= 0.0 || value > most {
                        return Err(format!("plants: {}: {field} is not a size", p.name));
                    }
                }
            }
            if let Some(e) = &p.endpoint
                && e.parse::<std::net::SocketAddr>().is_err()
            {
                return Err(format!("plants: {}: endpoint {e:?} is not an address", p.name));
            }
        }
        let (mut names, mut places) = (HashSet::new(), HashSet::new());
        for c in &self.routes {
            if c.name.is_empty() || !names.insert(c.name.as_str()) {
                return Err(format!("channels: name {:?} is missing or used twice", c.name));
            }
            if !c.prefix.starts_with('/') || c.host.is_empty() {
                return Err(format!("channels: {}: host or prefix is missing", c.name));
            }
            if !places.insert((c.host.to_ascii_lowercase(), c.prefix.as_str())) {
                return Err(format!("channels: {}: host and prefix are used twice", c.name));
            }
            let shared = c.mix.keys().map(String::as_str);
            let own = (c.mix.is_empty() || !c.service.is_empty()).then_some(c.service.as_str());
            if let Some(p) = shared.chain(own).find(|p| !services.contains(p)) {
                return Err(format!("channels: {}: unknown plant {p:?}", c.name));
            }
            if c.mix.values().any(|w| w.is_nan() || *w < 0.0)
                || (!c.mix.is_empty() && c.mix.values().sum::<f64>() <= 0.0)
            {
                return Err(format!("channels: {}: the weights of mix must be 0 or more, with a sum above 0", c.name));
            }
            if c.timeout_ms.is_nan() || c.timeout_ms <= 0.0 {
                return Err(format!("channels: {}: cutoffMs must be above 0", c.name));
            }
            check_domains(&c.domains).map_err(|why| format!("channels: {}: {why}", c.name))?;
        }
        check_tenants(self.tenants())
    }

    /// The tenants; empty if the configuration defines none.
    pub fn tenants(&self) -> &[Tenant] {
        self.tenants.as_ref().map_or(&[], |list| &list.items)
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|p| p.name == name)
    }
}

/// Applies a change of named items to a complete configuration. Unknown fields are preserved.
pub fn adjust(base: &[u8], change: &[u8]) -> Result<Vec<u8>, String> {
    let mut document = ConfigurationDocument::read(0, base)?;
    document.adjust(change)?;
    document.text()
}

/// A configuration parsed into a JSON tree, so that consecutive changes do not each parse the
/// complete text again.
#[derive(Clone, Default)]
pub struct ConfigurationDocument {
    pub revision: u64,
    whole: Value,
}

impl ConfigurationDocument {
    pub fn read(revision: u64, json: &[u8]) -> Result<ConfigurationDocument, String> {
        let whole = if json.is_empty() {
            serde_json::json!({"channels": [], "plants": [], "limits": {}})
        } else {
            serde_json::from_slice(json).map_err(|e| format!("stored configuration: {e}"))?
        };
        Ok(ConfigurationDocument { revision, whole })
    }

    pub fn text(&self) -> Result<Vec<u8>, String> {
        serde_json::to_vec(&self.whole).map_err(|e| e.to_string())
    }

    /// Applies a change. After an error the document may be partly changed and must be discarded.
    pub fn adjust(&mut self, change: &[u8]) -> Result<(), String> {
        let whole = &mut self.whole;
        let change: Value = serde_json::from_slice(change).map_err(|e| format!("cannot be read in full: {e}"))?;
        let Some(revision) = change.get("revision").and_then(Value::as_u64) else {
            return Err("revision: missing".into());
        };
        let top = whole.as_object_mut().ok_or("stored configuration is not an object")?;
        let name_of = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
        if let Some(remove) = change.get("remove").filter(|v| !v.is_null()) {
            let remove = remove.as_object().ok_or("remove: must be an object with lists of names")?;
            for (list, names) in remove {
                let names = names.as_array().ok_or_else(|| format!("remove: {list}: must be a list"))?;
                let Some(items) = top.get_mut(list).and_then(Value::as_array_mut) else {
                    return Err(format!("remove: unknown list {list:?}"));
                };
                for n in names {
                    let n = n.as_str().ok_or_else(|| format!("remove: {list}: names must be strings"))?;
                    items.retain(|i| name_of(i).as_deref() != Some(n));
                }
            }
        }
        if let Some(upsert) = change.get("upsert").filter(|v| !v.is_null()) {
            let upsert = upsert.as_object().ok_or("upsert: must be an object with lists of items")?;
            for (list, new) in upsert {
                if list == "limits" {
                    top.insert(list.clone(), new.clone());
                    continue;
                }
                let new = new.as_array().ok_or_else(|| format!("upsert: {list}: must be a list"))?;
                let Some(items) = top.get_mut(list).and_then(Value::as_array_mut) else {
                    return Err(format!("upsert: unknown list {list:?}"));
                };
                for n in new {
                    let name = name_of(n).ok_or_else(|| format!("upsert: {list}: item without a name"))?;
                    match items.iter_mut().find(|i| name_of(i).as_deref() == Some(&name)) {
                        Some(slot) => *slot = n.clone(),
                        None => items.push(n.clone()),
                    }
                }
            }
        }
        top.insert("revision".into(), revision.into());
        self.revision = revision;
        Ok(())
    }
}

/// The stored form of a configuration: equal JSON documents have equal bytes.
pub fn canonical(json: &[u8]) -> Result<Vec<u8>, String> {
    let whole: Value = serde_json::from_slice(json).map_err(|e| format!("cannot be read in full: {e}"))?;
    serde_json::to_vec(&whole).map_err(|e| e.to_string())
}

/// The change that turns `old` into `new`, in the form that `adjust` takes. `None` if no such
/// change exists or if it is at least half as large as `new`.
pub fn difference(old: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let change = changed_items(old, new)?;
    (change.len() * 2 < new.len() && adjust(old, &change).is_ok_and(|made| made == new)).then_some(change)
}

/// As `difference`, but not verified. The JSON trees are dropped on return, before the change is
/// verified, because they take many times the memory of the text.
fn changed_items(old: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let (was, now): (Value, Value) = (serde_json::from_slice(old).ok()?, serde_json::from_slice(new).ok()?);
    let (was, now) = (was.as_object()?, now.as_object()?);
    let (mut upsert, mut remove) = (serde_json::Map::new(), serde_json::Map::new());
    for (field, value) in now {
        let before = was.get(field);
        if before == Some(value) || field == "revision" {
            continue;
        }
        let (Some(items), Some(Value::Array(old))) = (value.as_array(), before) else {
            // Limits are replaced as a whole; other fields cannot be changed by named items.
            if field != "limits" {
                return None;
            }
            upsert.insert(field.clone(), value.clone());
            continue;
        };
        let name = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
        let by_name: std::collections::HashMap<String, &Value> =
            old.iter().filter_map(|v| Some((name(v)?, v))).collect();
        let changed = items.iter().filter(|v| name(v).is_some_and(|n| by_name.get(&n) != Some(v)));
        let changed: Vec<Value> = changed.cloned().collect();
        let names: HashSet<String> = items.iter().filter_map(name).collect();
        let gone: Vec<Value> = old.iter().filter_map(name).filter(|n| !names.contains(n)).map(Value::String).collect();
        if !changed.is_empty() {
            upsert.insert(field.clone(), changed.into());
        }
        if !gone.is_empty() {
            remove.insert(field.clone(), gone.into());
        }
    }
    let change = serde_json::json!({"revision": now.get("revision")?, "upsert": upsert, "remove": remove});
    serde_json::to_vec(&change).ok()
}
