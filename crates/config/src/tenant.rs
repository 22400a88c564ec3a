//! Tenants of a configuration: reading them item by item, checking them, and finding the
//! tenant that holds a key.

use crate::configuration::null_as_default;
use crate::homes::check_domains;
use serde_json::Value;
use std::collections::{HashMap, HashSet};

/// The longest name of a tenant, in bytes. It becomes a header value.
pub const TENANT_NAME_LIMIT: usize = 128;
/// The longest key of a tenant, in bytes.
pub const TENANT_KEY_LIMIT: usize = 256;

/// One tenant, as the operator configures it.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Tenant {
    /// Its name, which processors are told in `X-Tenant`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The keys by which its clients are known.
    #[prost(string, repeated, tag = "2")]
    pub keys: Vec<String>,
    /// Outranks the rank of the route.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Messages a second that are accepted over all nodes together; 0 for no limit.
    #[prost(double, tag = "4")]
    pub flow_per_s: f64,
    /// Messages above `flow_per_s` that may be accepted at once.
    #[prost(double, tag = "5")]
    pub surge: f64,
    /// The regions in which its requests may be run, kept and cached; empty: in any.
    #[prost(string, repeated, tag = "6")]
    #[serde(deserialize_with = "null_as_default")]
    pub domains: Vec<String>,
}

impl Tenant {
    /// Checks the tenant by itself; the error names it and never a key.
    fn check(&self) -> Result<(), String> {
        if self.name.is_empty() {
            return Err("tenants: an item has no name".into());
        }
        if !is_visible_ascii(&self.name) || self.name.len() > TENANT_NAME_LIMIT {
            return Err(format!(
                "tenants: name {:?} wants at most {TENANT_NAME_LIMIT} visible ASCII characters",
                self.name
            ));
        }
        if self.keys.iter().any(|key| !is_visible_ascii(key) || key.len() > TENANT_KEY_LIMIT) {
            return Err(format!(
                "tenants: {}: a key wants 1 to {TENANT_KEY_LIMIT} visible ASCII characters",
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

/// Checks every tenant, and that no name and no key is used by two of them.
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
                return Err(format!("tenants: {}: one of its keys is held by {holder} as well", tenant.name));
            }
        }
    }
    Ok(())
}

/// The tenants of a configuration. A list that is there and empty means that nobody holds a
/// key, and not that none is asked for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantList {
    /// In the operator's order.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Tenant>,
}

impl<'de> serde::Deserialize<'de> for TenantList {
    /// Reads item by item. An item that cannot be read is named in the error, which the
    /// position that a JSON reader tells does not do.
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<TenantList, D::Error> {
        use serde::de::Error;
        let read = |(index, item): (usize, Value)| {
            let name = item.get("name").and_then(Value::as_str).map_or(format!("item {index}"), str::to_owned);
            if !item.is_object() {
                return Err(D::Error::custom(format!("tenants: {name}: wants an object")));
            }
            let field = unreadable_field(&item);
            // What a reader says repeats the value, which may be a key.
            serde_json::from_value(item)
                .map_err(|_| D::Error::custom(format!("tenants: {name}: {field} cannot be read")))
        };
        let items: Vec<Value> = serde::Deserialize::deserialize(input)?;
        let items = items.into_iter().enumerate().map(read).collect::<Result<_, _>>()?;
        Ok(TenantList { items })
    }
}

/// The field of a tenant that has another type than it should.
fn unreadable_field(item: &Value) -> &'static str {
    let is_wrong = |field: &str, is_right: fn(&Value) -> bool| item.get(field).is_some_and(|value| !is_right(value));
    if is_wrong("name", Value::is_string) {
        "name"
    } else if is_wrong("keys", is_list_of_text) {
        "keys"
    } else if is_wrong("flowPerS", Value::is_number) {
        "flowPerS"
    } else if is_wrong("surge", Value::is_number) {
        "surge"
    } else if is_wrong("domains", |value| value.is_null() || is_list_of_text(value)) {
        "domains"
    } else {
        "rank"
    }
}

fn is_list_of_text(value: &Value) -> bool {
    value.as_array().is_some_and(|all| all.iter().all(Value::is_string))
}
