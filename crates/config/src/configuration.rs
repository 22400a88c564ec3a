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
    /// Whose clients may send what; `None` where the configuration knows no tenants.
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
    /// Services that share the route, with their weights; empty: `service` has it all.
    #[prost(btree_map = "string, double", tag = "14")]
    #[serde(deserialize_with = "weights")]
    pub mix: BTreeMap<String, f64>,
    /// Its requests carry no tenant's key.
    #[prost(bool, tag = "15")]
    pub unkeyed: bool,
    /// The regions in which its requests may be run, kept and cached; empty: in any.
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
    /// Of a function: what one processor takes on a worker, how long a start takes,
    /// and how many requests it may hold at once.
    #[prost(double, tag = "7")]
    pub memory_mb: f64,
    #[prost(double, tag = "8")]
    pub boot_ms: f64,
    #[prost(uint32, tag = "9")]
    pub max_inflight: u32,
    /// For how many seconds a processor is cold after a start.
    #[prost(double, tag = "10")]
    #[serde(deserialize_with = "null_as_default")]
    pub cold_s: f64,
    /// Requests a second that a cold processor bears, from all machines together; 0: no bound.
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

/// Reads `null` as what stands where a field is left out.
pub(crate) fn null_as_default<'de, D, T>(d: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + serde::Deserialize<'de>,
{
    let read: Option<T> = serde::Deserialize::deserialize(d)?;
    Ok(read.unwrap_or_default())
}

/// Weights by service: an object of numbers, or a list of items that name a service
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
    /// Stands for the place of a route, which stays when it is given another service.
    pub fn place_hash(&self) -> u64 {
        placement_hash(&format!("{}{}", self.host.to_ascii_lowercase(), self.prefix))
    }

    /// The services that its requests may go to: those that share it by weights, where there
    /// are any, else its own.
    pub fn services(&self) -> impl Iterator<Item = &str> + Clone {
        let own = self.mix.is_empty().then_some(self.service.as_str());
        self.mix.keys().map(String::as_str).chain(own)
    }

    /// The service of one request: with weights, by a number that differs from one
    /// request to the next.
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
    /// Reads a whole configuration and checks it; the error names the item.
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
                return Err(format!("plants: {}: flowPerS is not a rate", p.name));
            }
            for (field, value) in [("coldS", p.cold_s), ("coldPerS", p.cold_per_s)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("plants: {}: {field} must be 0 or more", p.name));
                }
            }
            // A function has all three; whatever has none is no function.
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
                return Err(format!("channels: {}: the weights of mix add up to nothing", c.name));
            }
            if c.timeout_ms.is_nan() || c.timeout_ms <= 0.0 {
                return Err(format!("channels: {}: cutoffMs must be above 0", c.name));
            }
            check_domains(&c.domains).map_err(|why| format!("channels: {}: {why}", c.name))?;
        }
        check_tenants(self.tenants())
    }

    /// The tenants; none where the configuration knows no tenants.
    pub fn tenants(&self) -> &[Tenant] {
        self.tenants.as_ref().map_or(&[], |list| &list.items)
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|p| p.name == name)
    }
}

/// Applies a change of named items to a whole configuration. Fields this
/// program does not know are kept as they are.
pub fn adjust(base: &[u8], change: &[u8]) -> Result<Vec<u8>, String> {
    let mut document = ConfigurationDocument::read(0, base)?;
    document.adjust(change)?;
    document.text()
}

/// A configuration read into a tree, so that changes one after the other need not
/// each read the whole anew.
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

    /// Applies a change; after an error the tree is of no use.
    pub fn adjust(&mut self, change: &[u8]) -> Result<(), String> {
        let whole = &mut self.whole;
        let change: Value = serde_json::from_slice(change).map_err(|e| format!("cannot be read in full: {e}"))?;
        let Some(revision) = change.get("revision").and_then(Value::as_u64) else {
            return Err("revision: missing".into());
        };
        let top = whole.as_object_mut().ok_or("stored configuration is no object")?;
        let name_of = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
        if let Some(remove) = change.get("remove").filter(|v| !v.is_null()) {
            let remove = remove.as_object().ok_or("remove: wants lists of names")?;
            for (list, names) in remove {
                let names = names.as_array().ok_or_else(|| format!("remove: {list}: wants a list"))?;
                let Some(items) = top.get_mut(list).and_then(Value::as_array_mut) else {
                    return Err(format!("remove: unknown list {list:?}"));
                };
                for n in names {
                    let n = n.as_str().ok_or_else(|| format!("remove: {list}: wants names"))?;
                    items.retain(|i| name_of(i).as_deref() != Some(n));
                }
            }
        }
        if let Some(upsert) = change.get("upsert").filter(|v| !v.is_null()) {
            let upsert = upsert.as_object().ok_or("upsert: wants lists of items")?;
            for (list, new) in upsert {
                if list == "limits" {
                    top.insert(list.clone(), new.clone());
                    continue;
                }
                let new = new.as_array().ok_or_else(|| format!("upsert: {list}: wants a list"))?;
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

/// A configuration as it is kept: one that says the same has the same bytes.
pub fn canonical(json: &[u8]) -> Result<Vec<u8>, String> {
    let whole: Value = serde_json::from_slice(json).map_err(|e| format!("cannot be read in full: {e}"))?;
    serde_json::to_vec(&whole).map_err(|e| e.to_string())
}

/// The change that makes `new` of `old`, as `adjust` takes it; None where there is
/// none, or where the whole is not much more.
pub fn difference(old: &[u8], new: &[u8]) -> Option<Vec<u8>> {
    let change = changed_items(old, new)?;
    (change.len() * 2 < new.len() && adjust(old, &change).is_ok_and(|made| made == new)).then_some(change)
}

/// As `difference`, not tried yet. Its trees are gone before that: they take many
/// times what the text does.
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
            // Limits go whole; what else there may be is no change of named items.
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
