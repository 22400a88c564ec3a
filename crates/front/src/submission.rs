//! A client's request to accept a message, parsed and validated against one configuration.

use crate::callback::{CallbackError, CallbackUrl};
use crate::ingest::{FrontService, fault, stale, too_long};
use crate::tenancy::{Refusal, operation_id, operation_key, tenant_name};
use agent::{ClusterView, PlacementKeys, partition_of};
use config::{Homes, Route};
use http1::{Reply, Request};
use prost::Message;
use rpc::messages::{Item, OperationId};
use std::time::{Duration, Instant};

/// Maximum length of an attempt id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Times in headers must be less than this, in milliseconds.
const HEADER_TIME_LIMIT_MS: f64 = 1e12;
/// The client is answered within this fraction of its own deadline.
const CLIENT_DEADLINE_FRACTION: f64 = 0.8;
/// Time budget of a message of which nothing was written, in multiples of its target latency.
const BUDGET_TARGETS: f64 = 5.0;
/// Time budget of a message that may have been written. It is longer, because the next owner either
/// knows the message or accepts it.
const UNCLEAR_BUDGET_TARGETS: f64 = 15.0;

/// A message that a client submits.
pub(crate) struct Submission {
    pub(crate) started: Instant,
    /// The view of the front when the request arrived.
    pub(crate) view: ClusterView,
    pub(crate) item: Item,
    pub(crate) rank: u32,
    /// Time from the request until the message is due, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Regions that the message is bound to.
    pub(crate) homes: Homes,
    /// How long the message may be pending once it is accepted, in milliseconds.
    pub(crate) hold_ms: u64,
    /// Time budget while nothing was written.
    pub(crate) budget: Duration,
    /// Time budget once the message may have been written.
    pub(crate) unclear_budget: Duration,
    /// Whether the partition does not depend on where the owners are.
    pub(crate) is_place_fixed: bool,
}

impl Submission {
    /// The partition that the message belongs to according to `view`.
    pub(crate) fn partition(&self, view: &ClusterView, zone: &str) -> Option<u32> {
        let configuration = &self.view.configuration;
        let route = configuration.route_named(&self.item.route)?;
        let keys = PlacementKeys {
            tenant: &self.item.tenant,
            order_key: &self.item.order_key,
            operation: self.item.operation,
            id: &self.item.id,
        };
        partition_of(view, configuration, route, &keys, zone)
    }

    /// The rest of the time budget.
    pub(crate) fn remaining(&self, is_unclear: bool) -> Duration {
        let budget = if is_unclear { self.unclear_budget } else { self.budget };
        budget.saturating_sub(self.started.elapsed())
    }

    /// Time left until the message is due, in milliseconds.
    pub(crate) fn remaining_delay_ms(&self) -> u64 {
        self.delay_ms.saturating_sub(self.started.elapsed().as_millis() as u64)
    }
}

/// Parses a header that holds a time in milliseconds; `None` without the header.
///
/// # Errors
/// Returns a 400 reply if the value is not a time.
fn time_header(request: &Request, name: &str) -> Result<Option<f64>, Box<Reply>> {
    let Some(text) = request.header(name) else { return Ok(None) };
    let time = http1::milliseconds(text, HEADER_TIME_LIMIT_MS);
    time.map(Some).ok_or_else(|| fault(400, &format!("{name} is not a time")).into())
}

impl FrontService {
    /// Parses and validates a request to accept a message.
    ///
    /// # Errors
    /// Returns the reply that rejects the request.
    pub(crate) fn submission_of(&self, request: &Request) -> Result<Submission, Box<Reply>> {
        let started = Instant::now();
        let view = self.view.borrow().clone();
        if view.configuration.revision == 0 {
            return Err(fault(503, "no configuration yet").with("Retry-After", "1").into());
        }
        if !self.is_fresh(&view) {
            return Err(stale().into());
        }
        let route = deferred_route(&view, request)?;
        let tenant = tenant_name(&view.configuration, route.unkeyed, request).map_err(|refusal| refusal.reply())?;
        let homes = view.configuration.homes(route, tenant);
        if homes.is_nowhere() {
            telemetry::count("refused_no_home");
            return Err(fault(403, "the route and the tenant have no region in common").into());
        }
        let operation = self.operation_of(tenant, request).map_err(|refusal| refusal.reply())?;
        let Some(id) = request.header("x-attempt-id").filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES) else {
            return Err(fault(400, "X-Attempt-Id is missing").into());
        };
        let deadline_ms = time_header(request, "X-Deadline-Ms")?;
        let notify_url = self.callback_of(route.notify, &view, request).map_err(|why| {
            telemetry::count("refused_callback");
            fault(400, &why.to_string())
        })?;
        let delay_ms = time_header(request, "X-Delay-Ms")?.map_or(0, |delay| delay as u64);
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let item = Item {
            id: id.to_owned(),
            route: route.name.clone(),
            method: request.method.clone(),
            host: header("host"),
            path: request.path.clone(),
            order_key: if route.sequenced { header("x-order-key") } else { String::new() },
            notify_url,
            content_type: header("content-type"),
            body: request.body.clone(),
            tenant: tenant.to_owned(),
            operation,
        };
        // The record of the message has to fit a frame of any process that this one sends it to.
        let longest = rpc::max_record_bytes(self.max_frame_bytes());
        if item.encoded_len() > longest {
            telemetry::count("refused_too_long");
            return Err(too_long(self.bounds().body_bytes.min(longest) as u64).into());
        }
        let target_ms = match route.target_latency_ms > 0.0 {
            true => route.target_latency_ms,
            false => self.settings.constraints.quiet_ms / 20.0,
        };
        let client_ms = deadline_ms.unwrap_or(f64::MAX) * CLIENT_DEADLINE_FRACTION;
        let budget_of = |targets: f64| Duration::from_millis((target_ms * targets).min(client_ms) as u64);
        let is_place_fixed =
            operation.is_some() || !item.order_key.is_empty() || view.configuration.has_metered_service(route);
        Ok(Submission {
            started,
            item,
            rank: route.rank,
            homes,
            hold_ms: delay_ms + (route.retain_s * 1000.0) as u64,
            delay_ms,
            budget: budget_of(BUDGET_TARGETS),
            unclear_budget: budget_of(UNCLEAR_BUDGET_TARGETS),
            is_place_fixed,
            view,
        })
    }

    /// The URL to call back; empty if the route sends no callbacks or the client asked for none.
    fn callback_of(&self, notifies: bool, view: &ClusterView, request: &Request) -> Result<String, CallbackError> {
        let Some(text) = request.header("x-notify-url").filter(|text| notifies && !text.is_empty()) else {
            return Ok(String::new());
        };
        let url: CallbackUrl = text.parse()?;
        url.ensure_external(&self.settings, &view.membership)?;
        Ok(text.to_owned())
    }

    /// The operation that a request belongs to; `None` if the deployment has no operation keys.
    fn operation_of(&self, tenant: &str, request: &Request) -> Result<Option<OperationId>, Refusal> {
        if self.settings.constraints.key_window_s <= 0.0 {
            return Ok(None);
        }
        operation_key(request).map(|key| Some(operation_id(tenant, key)))
    }
}

/// The deferred route that matches a request.
///
/// # Errors
/// Returns a 404 reply if there is none.
fn deferred_route<'a>(view: &'a ClusterView, request: &Request) -> Result<&'a Route, Box<Reply>> {
    let host = request.header("host").unwrap_or("");
    let path = request.path.split('?').next().unwrap_or("");
    let route = view.configuration.route(host, path).filter(|route| route.mode == "deferred");
    route.ok_or_else(|| fault(404, "no such route").into())
}
