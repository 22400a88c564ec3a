//! Parsing and validation of the tenants of a configuration.

use crate::configuration::null_as_default;
use crate::homes::check_domains;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// Maximum length of a tenant name in bytes. The name is sent as a header value.
pub const TENANT_NAME_LIMIT: usize = 128;
/// Maximum length of a tenant key in bytes.
pub const TENANT_KEY_LIMIT: usize = 256;

/// One tenant, as the operator configures it.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Tenant {
    /// Sent to processors in `X-Tenant`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The keys that identify the tenant's clients.
    #[prost(string, repeated, tag = "2")]
    pub keys: Vec<String>,
    /// Takes precedence over the rank of the route.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Messages accepted per second, over all nodes; 0 for no limit.
    #[prost(double, tag = "4")]
    pub flow_per_s: f64,
    /// Burst size: messages that may be accepted at once above `flow_per_s`.
    #[prost(double, tag = "5")]
    pub surge: f64,
    /// The regions in which requests may be run, stored and cached; empty for any region.
    #[prost(string, repeated, tag = "6")]
    #[serde(deserialize_with = "null_as_default")]
    pub domains: Vec<String>,
}

impl Tenant {
    /// Validates this tenant. Keys are secrets, so the error names the tenant but no key.
    fn check(&self) -> Result<(), String> {
        if self.name.is_empty() {
            return Err("tenants: an item has no name".into());
        }
        if !is_visible_ascii(&self.name) || self.name.len() > TENANT_NAME_LIMIT {
            return Err(format!(
                "tenants: name {:?} must be at most {TENANT_NAME_LIMIT} visible ASCII characters",
                self.name
            ));
        }
        if self.keys.iter().any(|key| !is_visible_ascii(key) || key.len() > TENANT_KEY_LIMIT) {
            return Err(format!(
                "tenants: {}: a key must be 1 to {TENANT_KEY_LIMIT} visible ASCII characters",
                self.name
            ));
        }
        for (field, value) in [("flowPerS", self.flow_per_s), ("surge", self.surge)] {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("tenants: {}: {field} must be 0 or more", self.name));
            }
        }
        check_domains(&self.domains).map_err(|why| format!("tenants: {}: {why}", self.name))?;
        Ok(())
    }
}

fn is_visible_ascii(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Validates every tenant, and that names are unique and no key belongs to two tenants.
pub(crate) fn check_tenants(tenants: &[Tenant]) -> Result<(), String> {
    let mut holders: HashMap<&str, &str> = HashMap::new();
    let mut names = HashSet::new();
    for tenant in tenants {
        tenant.check()?;
        if !names.insert(tenant.name.as_str()) {
            return Err(format!("tenants: name {:?} is used twice", tenant.name));
        }
        for key in &tenant.keys {
            let holder = *holders.entry(key).or_insert(&tenant.name);
            if holder != tenant.name {
                return Err(format!("tenants: {}: one of its keys also belongs to {holder}", tenant.name));
            }
        }
    }
    Ok(())
}

/// The tenants of a configuration. Keys are required even if the list is present but empty; no key
/// is valid then.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantList {
    /// In the operator's order.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Tenant>,
}

impl<'de> serde::Deserialize<'de> for TenantList {
    /// Deserializes item by item, so that the error names the invalid tenant instead of a position
    /// in the JSON text.
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<TenantList, D::Error> {
        use serde::de::Error;
        let read = |(index, item): (usize, Value)| {
            let name = item.get("name").and_then(Value::as_str).map_or(format!("item {index}"), str::to_owned);
            if !item.is_object() {
                return Err(D::Error::custom(format!("tenants: {name}: must be an object")));
            }
            let field = unreadable_field(&item);
            // The error of serde_json is dropped because it quotes the value, which may be a key.
            serde_json::from_value(item)
                .map_err(|_| D::Error::custom(format!("tenants: {name}: {field} cannot be read")))
        };
        let items: Vec<Value> = serde::Deserialize::deserialize(input)?;
        let items = items.into_iter().enumerate().map(read).collect::<Result<_, _>>()?;
        Ok(TenantList { items })
    }
}

/// The first field of a tenant that has the wrong type; `rank` if no other field has.
fn unreadable_field(item: &Value) -> &'static str {
    let is_wrong = |field: &str, is_right: fn(&Value) -> bool| item.get(field).is_some_and(|value| !is_right(value));
    if is_wrong("name", Value::is_string) {
        "name"
    } else if is_wrong("keys", is_string_list) {
        "keys"
    } else if is_wrong("flowPerS", Value::is_number) {
        "flowPerS"
    } else if is_wrong("surge", Value::is_number) {
        "surge"
    } else if is_wrong("domains", |value| value.is_null() || is_string_list(value)) {
        "domains"
    } else {
        "rank"
    }
}

fn is_string_list(value: &Value) -> bool {
    value.as_array().is_some_and(|all| all.iter().all(Value::is_string))
}
