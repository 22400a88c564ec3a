//! Where call-backs go: the URL that a client gives, read and checked before its message is
//! accepted.
//!
//! A call-back is a request that this system sends by a client's word, from inside. So its URL
//! is taken apart by a parser, never by looking for slashes, and it may not name an address at
//! which this system listens: an order of the operator needs no body and could be given that way.

use config::Settings;
use http::Uri;
use rpc::messages::Membership;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// The port of a URL that names none.
const HTTP_PORT: u16 = 80;

/// A URL that a call-back may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallbackUrl {
    /// Host and port as the URL has them: the value of `Host`.
    pub authority: String,
    /// The host alone.
    pub host: String,
    /// The port, or that of HTTP.
    pub port: u16,
    /// Path and query, as on the request line.
    pub target: String,
}

/// Why no call-back is sent to a URL.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallbackError {
    /// The text is no URL at all.
    #[error("X-Notify-Url is not a URL")]
    Unreadable,
    /// Only `http` with a host is known.
    #[error("X-Notify-Url wants the form http://host:port/path")]
    NotAbsoluteHttp,
    /// Credentials would be sent on.
    #[error("X-Notify-Url may not hold a user or password")]
    Credentials,
    /// 0, or no number.
    #[error("X-Notify-Url: the port is not one")]
    Port,
    /// Something of this system listens there.
    #[error("X-Notify-Url names an address of this system")]
    OwnMachine,
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

/// Whether a host is an address or has the form of a name.
fn is_host(host: &str) -> bool {
    let is_name = host.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-'));
    is_name || host.starts_with('[')
}

impl CallbackUrl {
    /// The host as an address; `None` for a name.
    fn ip(&self) -> Option<IpAddr> {
        self.host.trim_start_matches('[').trim_end_matches(']').parse().ok()
    }

    /// Refuses a URL that names an address of this system.
    pub fn check_foreign(self, settings: &Settings, membership: &Membership) -> Result<CallbackUrl, CallbackError> {
        match self.ip() {
            Some(ip) if is_own(SocketAddr::new(ip, self.port), settings, membership) => Err(CallbackError::OwnMachine),
            _ => Ok(self),
        }
    }

    /// The address to connect to: that of a name is looked up, and checked as well.
    pub async fn resolve(&self, settings: &Settings, membership: &Membership) -> Result<String, CallbackError> {
        let host = self.host.trim_start_matches('[').trim_end_matches(']');
        let found = match self.ip() {
            Some(ip) => Some(SocketAddr::new(ip, self.port)),
            None => tokio::net::lookup_host((host, self.port)).await.ok().and_then(|mut all| all.next()),
        };
        let address = found.ok_or(CallbackError::Unreadable)?;
        if is_own(address, settings, membership) {
            return Err(CallbackError::OwnMachine);
        }
        Ok(address.to_string())
    }
}

fn read(address: &str) -> Option<SocketAddr> {
    address.parse().ok()
}

/// Whether something of this system listens at an address, as far as is known here: the
/// platform, or on a machine of it (this one, a member of any role, a control node that the
/// settings name) one of the ports that its programs use, which are the same on all machines.
fn is_own(address: SocketAddr, settings: &Settings, membership: &Membership) -> bool {
    let address = SocketAddr::new(address.ip().to_canonical(), address.port());
    let listen = &settings.listen;
    let told = [&listen.front, &listen.ready, &listen.control].into_iter().chain(&settings.seeds);
    let told: Vec<SocketAddr> = told.filter_map(|text| read(text)).collect();
    let is_inner = matches!(settings.port_range[..], [first, last] if (first..=last).contains(&address.port().into()));
    if !is_inner && told.iter().all(|known| known.port() != address.port()) {
        return read(&settings.platform.address) == Some(address);
    }
    let own_ip: Option<IpAddr> = settings.ip.parse().ok();
    let is_this = address.ip().is_unspecified() || address.ip().is_loopback() || own_ip == Some(address.ip());
    let members = membership.nodes.iter().filter_map(|node| read(&node.inner));
    is_this || members.chain(told).any(|known| known.ip() == address.ip())
}
