//! Authentication of requests: the tenant that holds the key in `Authorization`, and the operation key
//! that identifies retries of one operation. Depends on headers and the configuration alone.

use config::{ConfigurationIndex, Tenant};
use http1::{Reply, Request};
use rpc::messages::OperationId;
use sha2::{Digest, Sha256};
use std::fmt;

/// Maximum length of `X-Operation-Key`, in bytes.
pub const OPERATION_KEY_LIMIT: usize = 128;

/// Why the authentication or operation headers of a request are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// `Authorization` is missing.
    KeyMissing,
    /// `Authorization` is not `Bearer` followed by one key.
    KeyMalformed,
    /// No tenant holds the key.
    KeyUnknown,
    /// `Authorization` occurs more than once.
    KeyRepeated,
    /// `X-Operation-Key` is missing or empty.
    OperationMissing,
    /// `X-Operation-Key` is longer than `OPERATION_KEY_LIMIT`.
    OperationTooLong,
    /// `X-Operation-Key` occurs more than once.
    OperationRepeated,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::KeyMissing => write!(f, "Authorization is missing"),
            Refusal::KeyMalformed => write!(f, "Authorization wants Bearer and one key"),
            Refusal::KeyUnknown => write!(f, "no tenant holds the key in Authorization"),
            Refusal::KeyRepeated => write!(f, "Authorization is repeated"),
            Refusal::OperationMissing => write!(f, "X-Operation-Key is missing or empty"),
            Refusal::OperationTooLong => write!(f, "X-Operation-Key is longer than {OPERATION_KEY_LIMIT} bytes"),
            Refusal::OperationRepeated => write!(f, "X-Operation-Key is repeated"),
        }
    }
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// HTTP status of the reply.
    pub fn status(self) -> u16 {
        if self.lacks_key() { 401 } else { 400 }
    }

    /// Whether the request lacks a valid key.
    fn lacks_key(self) -> bool {
        matches!(self, Refusal::KeyMissing | Refusal::KeyMalformed | Refusal::KeyUnknown)
    }

    /// The reply to the client.
    pub fn reply(self) -> Reply {
        telemetry::count(if self.lacks_key() { "refused_key" } else { "refused_header" });
        let body = serde_json::json!({ "fault": self.to_string() }).to_string();
        let reply = Reply::json(self.status(), body);
        if self.lacks_key() { reply.with("WWW-Authenticate", "Bearer") } else { reply }
    }
}

/// The value of a header that may occur at most once; `None` if it is absent.
fn single_header<'a>(request: &'a Request, name: &str, repeated: Refusal) -> Result<Option<&'a str>, Refusal> {
    let mut values = request.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str());
    let first = values.next();
    if values.next().is_some() {
        return Err(repeated);
    }
    Ok(first)
}

/// The key that a request carries as `Bearer KEY`. The scheme is case-insensitive.
fn bearer_key(request: &Request) -> Result<Option<&str>, Refusal> {
    let Some(value) = single_header(request, "authorization", Refusal::KeyRepeated)? else { return Ok(None) };
    let Some((scheme, key)) = value.split_once(' ') else { return Err(Refusal::KeyMalformed) };
    let key = key.trim_start_matches(' ');
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || key.contains([' ', '\t', ',']) {
        return Err(Refusal::KeyMalformed);
    }
    Ok(Some(key))
}

/// The tenant whose key a request carries; `None` if it carries none.
///
/// # Errors
/// The key is malformed, repeated or unknown.
pub fn optional_tenant<'a>(config: &'a ConfigurationIndex, request: &Request) -> Result<Option<&'a Tenant>, Refusal> {
    match bearer_key(request)? {
        Some(key) => config.tenant_of(key).map(Some).ok_or(Refusal::KeyUnknown),
        None => Ok(None),
    }
}

/// The name of the tenant that a request on a route belongs to; empty if the configuration has no
/// tenants or the route is `unkeyed`.
///
/// # Errors
/// The key is missing, malformed, repeated or unknown.
pub fn tenant_name<'a>(config: &'a ConfigurationIndex, unkeyed: bool, request: &Request) -> Result<&'a str, Refusal> {
    if unkeyed || !config.has_tenants() {
        return Ok("");
    }
    optional_tenant(config, request)?.map(|tenant| tenant.name.as_str()).ok_or(Refusal::KeyMissing)
}

/// The operation key of a request.
///
/// # Errors
/// The key is missing, empty, too long or repeated.
pub fn operation_key(request: &Request) -> Result<&str, Refusal> {
    match single_header(request, "x-operation-key", Refusal::OperationRepeated)? {
        None | Some("") => Err(Refusal::OperationMissing),
        Some(key) if key.len() > OPERATION_KEY_LIMIT => Err(Refusal::OperationTooLong),
        Some(key) => Ok(key),
    }
}

/// Identifies an operation of a tenant. The id has a fixed size whatever the key, and the same key of two
/// tenants gives two ids.
pub fn operation_id(tenant: &str, key: &str) -> OperationId {
    let mut hasher = Sha256::new();
    hasher.update((tenant.len() as u64).to_le_bytes());
    hasher.update(tenant);
    hasher.update(key);
    let digest = hasher.finalize();
    let word = |at: usize| digest[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    OperationId { high: word(0), low: word(8) }
}
