use serde_json::Value;
use std::collections::HashSet;

/// The operator's configuration: routes (`channels`), services (`plants`), limits.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Template {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(message, repeated, tag = "2")]
    pub channels: Vec<Channel>,
    #[prost(message, repeated, tag = "3")]
    pub plants: Vec<Plant>,
    #[prost(message, required, tag = "4")]
    pub limits: WireLimits,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Channel {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(string, tag = "3")]
    pub prefix: String,
    #[prost(string, tag = "4")]
    pub mode: String,
    #[prost(double, tag = "5")]
    pub cutoff_ms: f64,
    #[prost(double, tag = "6")]
    pub setpoint_ms: f64,
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    #[prost(string, tag = "8")]
    pub plant: String,
    #[prost(uint32, tag = "9")]
    pub tries: u32,
    #[prost(bool, tag = "10")]
    pub sequenced: bool,
    #[prost(double, tag = "11")]
    pub retain_s: f64,
    #[prost(bool, tag = "12")]
    pub notify: bool,
    #[prost(double, tag = "13")]
    pub start_setpoint_ms: f64,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Plant {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub probe: String,
    #[prost(uint32, tag = "3")]
    pub conn_limit: u32,
    #[prost(double, tag = "4")]
    pub flow_per_s: f64,
    #[prost(bool, tag = "5")]
    pub dedupes: bool,
    #[prost(string, optional, tag = "6")]
    pub endpoint: Option<String>,
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

impl Template {
    /// Reads a whole configuration and checks it; the error names the item.
    pub fn read(json: &[u8]) -> Result<Template, String> {
        let t: Template = serde_json::from_slice(json).map_err(|e| format!("cannot be read in full: {e}"))?;
        t.check()?;
        Ok(t)
    }

    fn check(&self) -> Result<(), String> {
        if self.revision == 0 {
            return Err("revision: must be above 0".into());
        }
        let mut plants = HashSet::new();
        for p in &self.plants {
            if p.name.is_empty() || !plants.insert(p.name.as_str()) {
                return Err(format!("plants: name {:?} is missing or used twice", p.name));
            }
            if p.flow_per_s.is_nan() || p.flow_per_s < 0.0 {
                return Err(format!("plants: {}: flowPerS is not a rate", p.name));
            }
            if let Some(e) = &p.endpoint
                && e.parse::<std::net::SocketAddr>().is_err()
            {
                return Err(format!("plants: {}: endpoint {e:?} is not an address", p.name));
            }
        }
        let (mut names, mut places) = (HashSet::new(), HashSet::new());
        for c in &self.channels {
            if c.name.is_empty() || !names.insert(c.name.as_str()) {
                return Err(format!("channels: name {:?} is missing or used twice", c.name));
            }
            if !c.prefix.starts_with('/') || c.host.is_empty() {
                return Err(format!("channels: {}: host or prefix is missing", c.name));
            }
            if !places.insert((c.host.to_ascii_lowercase(), c.prefix.as_str())) {
                return Err(format!("channels: {}: host and prefix are used twice", c.name));
            }
            if !plants.contains(c.plant.as_str()) {
                return Err(format!("channels: {}: unknown plant {:?}", c.name, c.plant));
            }
            if c.cutoff_ms.is_nan() || c.cutoff_ms <= 0.0 {
                return Err(format!("channels: {}: cutoffMs must be above 0", c.name));
            }
        }
        Ok(())
    }

    pub fn plant(&self, name: &str) -> Option<&Plant> {
        self.plants.iter().find(|p| p.name == name)
    }
}

/// Applies a change of named items to a whole configuration. Fields this
/// program does not know are kept as they are.
pub fn adjust(base: &[u8], change: &[u8]) -> Result<Vec<u8>, String> {
    let mut whole: Value = if base.is_empty() {
        serde_json::json!({"channels": [], "plants": [], "limits": {}})
    } else {
        serde_json::from_slice(base).map_err(|e| format!("stored configuration: {e}"))?
    };
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
    serde_json::to_vec(&whole).map_err(|e| e.to_string())
}
