use crate::Homes;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The contents of a settings file.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Settings {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(string, tag = "2")]
    pub role: String,
    #[prost(string, tag = "3")]
    pub machine_class: String,
    #[prost(string, tag = "4")]
    pub ip: String,
    #[prost(string, tag = "5")]
    pub zone: String,
    #[prost(string, tag = "6")]
    pub region: String,
    #[prost(uint32, repeated, tag = "7")]
    pub port_range: Vec<u32>,
    #[prost(string, repeated, tag = "8")]
    pub seeds: Vec<String>,
    #[prost(bool, tag = "9")]
    pub initial_start: bool,
    #[prost(bool, tag = "10")]
    pub counted: bool,
    #[prost(string, tag = "11")]
    pub data_dir: String,
    #[prost(uint32, tag = "12")]
    pub period_ms: u32,
    #[prost(btree_map = "string, string", tag = "13")]
    pub zones: BTreeMap<String, String>,
    #[prost(message, required, tag = "14")]
    pub listen: Listen,
    #[prost(message, required, tag = "15")]
    pub limits: MachineLimits,
    #[prost(message, required, tag = "16")]
    pub tolerance: Tolerance,
    #[prost(message, required, tag = "17")]
    pub constraints: Constraints,
    #[prost(message, required, tag = "18")]
    pub platform: Platform,
    /// Log level: `error`, `change` or `debug`; empty means `change`.
    #[prost(string, tag = "19")]
    pub log_level: String,
    /// The kind of deployment: `functions`, `api` for a gateway, or empty for messages.
    #[prost(string, tag = "20")]
    pub rollout: String,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Listen {
    #[prost(string, tag = "1")]
    pub front: String,
    #[prost(string, tag = "2")]
    pub ready: String,
    #[prost(string, tag = "3")]
    pub control: String,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct MachineLimits {
    #[prost(double, tag = "1")]
    pub cpu_share: f64,
    #[prost(uint64, tag = "2")]
    pub memory_mb: u64,
    #[prost(uint64, tag = "3")]
    pub file_limit: u64,
    #[prost(double, tag = "4")]
    pub link_mbps: f64,
    #[prost(uint64, tag = "5")]
    pub disk_mb: u64,
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Tolerance {
    #[prost(uint32, tag = "1")]
    pub machines: u32,
    #[prost(uint32, tag = "2")]
    pub zones: u32,
    #[prost(uint32, tag = "3")]
    pub regions: u32,
}

/// Limits set by the deployment's requirements. Every time constant of the programs is a fraction
/// of one of these.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Constraints {
    #[prost(double, tag = "1")]
    pub seed_delay_s: f64,
    #[prost(double, tag = "2")]
    pub reuse_s: f64,
    #[prost(double, tag = "3")]
    pub quiet_ms: f64,
    #[prost(double, tag = "4")]
    pub ack_ms: f64,
    #[prost(double, tag = "5")]
    pub settle_s: f64,
    #[prost(double, tag = "6")]
    pub drain_ms: f64,
    #[prost(double, tag = "7")]
    pub grace_s: f64,
    #[prost(double, tag = "8")]
    pub loss_slack_ms: f64,
    #[prost(double, tag = "9")]
    pub converge_ms: f64,
    #[prost(double, tag = "10")]
    pub revert_slack_ms: f64,
    #[prost(double, tag = "11")]
    pub exposure: f64,
    #[prost(double, tag = "12")]
    pub exposure_slack: f64,
    #[prost(double, tag = "13")]
    pub rollback_ms: f64,
    #[prost(double, tag = "14")]
    pub finish_s: f64,
    #[prost(double, tag = "15")]
    pub status_s: f64,
    #[prost(double, tag = "16")]
    pub notify_s: f64,
    #[prost(double, tag = "17")]
    pub lead_ms: f64,
    #[prost(double, tag = "18")]
    pub peak_window_s: f64,
    #[prost(double, tag = "19")]
    pub peak_overshoot: f64,
    #[prost(double, tag = "20")]
    pub retry_ratio: f64,
    #[prost(double, tag = "21")]
    pub retry_window_s: f64,
    #[prost(double, tag = "22")]
    pub retry_slack: f64,
    /// Whether a machine accepts nothing unless its configuration is known to be fresh.
    #[prost(bool, tag = "23")]
    pub closed: bool,
    /// How long a tenant key may still be accepted after its removal.
    #[prost(double, tag = "24")]
    pub revoke_ms: f64,
    /// How long the key of an operation is remembered; 0 if operations have no keys.
    #[prost(double, tag = "25")]
    pub key_window_s: f64,
    /// The window over which a tenant's rate limit is measured; 0 if limits are not enforced.
    #[prost(double, tag = "26")]
    pub quota_window_s: f64,
    /// The fraction by which a tenant may exceed its limit in a window.
    #[prost(double, tag = "27")]
    pub quota_overshoot: f64,
    /// The number of messages by which it may exceed the limit in addition.
    #[prost(double, tag = "28")]
    pub quota_slack: f64,
}

impl Constraints {
    /// Maximum age of the confirmation that the configuration is the latest; `None` if none is
    /// required. An eighth less than `revokeMs`, because monotonic clocks may differ in rate.
    pub fn freshness_bound(&self) -> Option<Duration> {
        self.closed.then(|| Duration::from_secs_f64(self.revoke_ms * 7.0 / 8.0 / 1000.0))
    }

    /// How long a process waits for updates before it sends another request: an eighth of `quietMs`,
    /// or of `revokeMs` if that is less and `closed` requires confirmations of the configuration.
    pub fn news_wait(&self) -> Duration {
        let confirm_ms = if self.closed { self.revoke_ms } else { f64::MAX };
        Duration::from_millis((self.quiet_ms.min(confirm_ms) / 8.0) as u64)
    }
}

#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Platform {
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(double, tag = "2")]
    pub flow_per_s: f64,
    #[prost(double, tag = "3")]
    pub lag_ms: f64,
    /// Starts and stops per second that the platform accepts in total.
    #[prost(double, tag = "4")]
    pub duty_per_s: f64,
}

/// The invalid field of a settings file and the reason.
#[derive(Debug, PartialEq)]
pub struct SettingsError {
    pub field: String,
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

fn settings_error<T>(field: &str, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { field: field.into(), reason: reason.into() })
}

/// A role, with the offset of its internal port from the start of the port range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control = 0,
    Store = 1,
    /// The front, or the function gateway.
    Front = 2,
    Agent = 3,
}

impl Role {
    pub fn word(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Store => "store",
            Role::Front => "front",
            Role::Agent => "agent",
        }
    }
}

impl Settings {
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let c: Settings = match toml::from_str(text) {
            Ok(c) => c,
            Err(e) => return settings_error("file", e.message().replace('\n', " ")),
        };
        c.check()?;
        Ok(c)
    }

    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text),
            Err(e) => settings_error("file", format!("cannot read {path}: {e}")),
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        for (name, value) in [("node", &self.node), ("zone", &self.zone)] {
            if value.is_empty() {
                return settings_error(name, "missing");
            }
        }
        if self.ip.parse::<std::net::Ipv4Addr>().is_err() {
            return settings_error("ip", "not an IPv4 address");
        }
        match self.port_range[..] {
            [a, b] if a > 0 && a + 3 <= b && b < 65536 => {}
            _ => return settings_error("portRange", "must be the first and last of at least four ports"),
        }
        if self.seeds.is_empty() {
            return settings_error("seeds", "missing");
        }
        for s in &self.seeds {
            if s.parse::<SocketAddr>().is_err() {
                return settings_error("seeds", format!("{s} is not an address"));
            }
        }
        let l = &self.listen;
        for (name, value) in [("listen.front", &l.front), ("listen.ready", &l.ready), ("listen.control", &l.control)] {
            if !value.is_empty() && value.parse::<SocketAddr>().is_err() {
                return settings_error(name, "not an address");
            }
        }
        let c = &self.constraints;
        for (name, value) in [
            ("constraints.quietMs", c.quiet_ms),
            ("constraints.ackMs", c.ack_ms),
            ("constraints.graceS", c.grace_s),
            ("constraints.settleS", c.settle_s),
            ("constraints.drainMs", c.drain_ms),
            ("constraints.convergeMs", c.converge_ms),
        ] {
            if value.is_nan() || value <= 0.0 {
                return settings_error(name, "must be above 0");
            }
        }
        // Each kind of deployment requires further settings.
        let own: &[(&str, f64)] = if self.runs_functions() {
            &[("constraints.retryWindowS", c.retry_window_s), ("platform.dutyPerS", self.platform.duty_per_s)]
        } else if self.runs_gateway() {
            &[("constraints.retryWindowS", c.retry_window_s)]
        } else {
            &[
                ("constraints.rollbackMs", c.rollback_ms),
                ("constraints.statusS", c.status_s),
                ("constraints.notifyS", c.notify_s),
                ("constraints.peakWindowS", c.peak_window_s),
            ]
        };
        for (name, value) in own {
            if value.is_nan() || *value <= 0.0 {
                return settings_error(name, "must be above 0");
            }
        }
        if c.closed && (c.revoke_ms.is_nan() || c.revoke_ms <= 0.0) {
            return settings_error("constraints.revokeMs", "must be above 0 where closed is true");
        }
        if !c.key_window_s.is_finite() || c.key_window_s < 0.0 {
            return settings_error("constraints.keyWindowS", "must be 0 or more");
        }
        let quota = [
            ("constraints.quotaWindowS", c.quota_window_s),
            ("constraints.quotaOvershoot", c.quota_overshoot),
            ("constraints.quotaSlack", c.quota_slack),
        ];
        for (name, value) in quota {
            if !value.is_finite() || value < 0.0 {
                return settings_error(name, "must be 0 or more");
            }
        }
        if self.limits.memory_mb == 0 {
            return settings_error("limits.memoryMb", "must be above 0");
        }
        if !matches!(self.log_level.as_str(), "" | "error" | "change" | "debug") {
            return settings_error("logLevel", "must be error, change or debug");
        }
        Ok(())
    }

    /// Whether this deployment runs functions instead of storing messages.
    pub fn runs_functions(&self) -> bool {
        self.rollout == "functions"
    }

    /// Whether this deployment forwards requests to processors that the platform runs.
    pub fn runs_gateway(&self) -> bool {
        self.rollout == "api"
    }

    /// The zones of the allowed regions, in sorted order; empty if any region is allowed.
    pub fn zones_within(&self, homes: &Homes) -> Vec<String> {
        if !homes.is_bound() {
            return Vec::new();
        }
        let zones = self.zones.iter().filter(|(_, region)| homes.allows(region));
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// The name of the role that handles traffic on a front machine.
    pub fn front_role(&self) -> &'static str {
        if self.runs_functions() {
            "functions"
        } else if self.runs_gateway() {
            "gateway"
        } else {
            "front"
        }
    }

    pub fn inner_addr(&self, role: Role) -> String {
        format!("{}:{}", self.ip, self.inner_port(role))
    }

    pub fn inner_port(&self, role: Role) -> u32 {
        self.port_range[0] + role as u32
    }

    /// Internal addresses of the control nodes on the seed hosts.
    pub fn seed_control_nodes(&self) -> Vec<String> {
        let mut all: Vec<String> = self
            .seeds
            .iter()
            .filter_map(|s| s.rsplit_once(':'))
            .map(|(ip, _)| format!("{ip}:{}", self.inner_port(Role::Control)))
            .collect();
        all.sort();
        all.dedup();
        all
    }

    /// Duration of an owner's lease: a twelfth of `quietMs`.
    pub fn lease_ms(&self) -> u64 {
        (self.constraints.quiet_ms / 12.0) as u64
    }

    /// How long a share of a tenant's limit may be used after it was requested: long enough for
    /// another leader to be elected meanwhile.
    pub fn quota_lease_ms(&self) -> u64 {
        (self.constraints.quiet_ms / 4.0) as u64
    }
}
