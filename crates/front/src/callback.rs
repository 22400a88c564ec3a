//! Callback URLs: the URL that a client supplies is parsed and validated before its message is
//! accepted.
//!
//! A callback is a request that this system sends from inside its network to a URL chosen by a
//! client. To prevent server-side request forgery, the URL is read by a URL parser, never by
//! searching for slashes, and it may not name an address on which this system listens: operator
//! commands need no body, so a callback could issue one.

use config::Settings;
use http::Uri;
use rpc::messages::Membership;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Default port of a URL without one.
const HTTP_PORT: u16 = 80;

/// A URL that a callback may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallbackUrl {
    /// Host and port as written in the URL; the value of the `Host` header.
    pub authority: String,
    /// Host without the port.
    pub host: String,
    /// Port, by default that of HTTP.
    pub port: u16,
    /// Path and query, as sent on the request line.
    pub target: String,
}

/// Why a callback URL is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallbackError {
    /// The text is not a valid URL, or its host does not resolve.
    #[error("X-Notify-Url is not a URL")]
    Unreadable,
    /// The URL is not an absolute `http` URL with a host.
    #[error("X-Notify-Url wants the form http://host:port/path")]
    NotAbsoluteHttp,
    /// The URL contains credentials, which would be forwarded.
    #[error("X-Notify-Url may not hold a user or password")]
    Credentials,
    /// The port is 0 or not a valid number.
    #[error("X-Notify-Url: the port is not one")]
    Port,
    /// A process of this system listens on the address.
    #[error("X-Notify-Url names an address of this system")]
    InternalAddress,
}

impl FromStr for CallbackUrl {
    type Err = CallbackError;

    fn from_str(text: &str) -> Result<CallbackUrl, CallbackError> {
        let uri: Uri = text.parse().map_err(|_| CallbackError::Unreadable)?;
        let authority = uri.authority().ok_or(CallbackError::NotAbsoluteHttp)?;
        if uri.scheme_str() != Some("http") || authority.host().is_empty() {
            return Err(CallbackError::NotAbsoluteHttp);
        }
        if authority.as_str().contains('@') {
            return Err(CallbackError::Credentials);
        }
        let port = match authority.as_str().strip_prefix(authority.host()) {
            Some("") => HTTP_PORT,
            _ => authority.port_u16().filter(|port| *port > 0).ok_or(CallbackError::Port)?,
        };
        let target = match uri.path_and_query().map_or("", |target| target.as_str()) {
            target if target.starts_with('/') => target.to_owned(),
            query => format!("/{query}"),
        };
        if !is_host(authority.host()) || !target.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(CallbackError::Unreadable);
        }
        Ok(CallbackUrl { authority: authority.as_str().to_owned(), host: authority.host().to_owned(), port, target })
    }
}

/// Whether a host has the form of a name, an IPv4 address or a bracketed IPv6 address.
fn is_host(host: &str) -> bool {
    let is_name = host.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-'));
    is_name || host.starts_with('[')
}

impl CallbackUrl {
    /// The host as an IP address; `None` for a host name.
    fn ip(&self) -> Option<IpAddr> {
        self.host.trim_start_matches('[').trim_end_matches(']').parse().ok()
    }

    /// Rejects a URL whose host is an IP address of this system.
    pub fn ensure_external(self, settings: &Settings, membership: &Membership) -> Result<CallbackUrl, CallbackError> {
        match self.ip() {
            Some(ip) if is_own_address(SocketAddr::new(ip, self.port), settings, membership) => {
                Err(CallbackError::InternalAddress)
            }
            _ => Ok(self),
        }
    }

    /// Returns the address to connect to. Host names are resolved, and the resolved address is checked
    /// as well.
    pub async fn resolve(&self, settings: &Settings, membership: &Membership) -> Result<String, CallbackError> {
        let host = self.host.trim_start_matches('[').trim_end_matches(']');
        let address = match self.ip() {
            Some(ip) => Some(SocketAddr::new(ip, self.port)),
            None => tokio::net::lookup_host((host, self.port)).await.ok().and_then(|mut all| all.next()),
        };
        let address = address.ok_or(CallbackError::Unreadable)?;
        if is_own_address(address, settings, membership) {
            return Err(CallbackError::InternalAddress);
        }
        Ok(address.to_string())
    }
}

fn parse_address(address: &str) -> Option<SocketAddr> {
    address.parse().ok()
}

/// Whether a process of this system listens on an address, as far as this node knows. That is the
/// address of the platform, or one of the ports of this system on one of its machines: this machine,
/// a member of any role, or a control node named in the settings. The ports are the same on all
/// machines.
fn is_own_address(address: SocketAddr, settings: &Settings, membership: &Membership) -> bool {
    let address = SocketAddr::new(address.ip().to_canonical(), address.port());
    let listen = &settings.listen;
    let known_addresses = [&listen.front, &listen.ready, &listen.control].into_iter().chain(&settings.seeds);
    let known_addresses: Vec<SocketAddr> = known_addresses.filter_map(|text| parse_address(text)).collect();
    let is_inner_port =
        matches!(settings.port_range[..], [first, last] if (first..=last).contains(&address.port().into()));
    if !is_inner_port && known_addresses.iter().all(|known| known.port() != address.port()) {
        return parse_address(&settings.platform.address) == Some(address);
    }
    let own_ip: Option<IpAddr> = settings.ip.parse().ok();
    let is_local = address.ip().is_unspecified() || address.ip().is_loopback() || own_ip == Some(address.ip());
    let members = membership.nodes.iter().filter_map(|node| parse_address(&node.inner));
    is_local || members.chain(known_addresses).any(|known| known.ip() == address.ip())
}
