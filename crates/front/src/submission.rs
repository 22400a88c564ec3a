//! A client's request to take a message in, checked and read by one configuration.

use crate::callback::{CallbackError, CallbackUrl};
use crate::ingest::{FrontService, fault, stale};
use crate::tenancy::{Refusal, operation_id, operation_key, tenant_name};
use agent::{ClusterView, PlacementKeys, partition_of};
use config::{Homes, Route};
use http1::{Reply, Request};
use rpc::messages::{Item, OperationId};
use std::time::{Duration, Instant};

/// The longest attempt id, in bytes.
const ID_LIMIT: usize = 128;
/// Times in headers are below this many milliseconds.
const TIME_LIMIT_MS: f64 = 1e12;
/// The part of the client's own time after which it is answered.
const CLIENT_TIME_PART: f64 = 0.8;
/// A message of which nothing was written is given up on after so many times its aim.
const BUDGET_AIMS: f64 = 5.0;
/// One that may have been written, after so many: the next owner knows of it, or takes it.
const UNCLEAR_BUDGET_AIMS: f64 = 15.0;

/// A message as a client asks to have it taken in.
pub(crate) struct Submission {
    pub(crate) begun: Instant,
    /// What the front knew as the request came.
    pub(crate) view: ClusterView,
    pub(crate) item: Item,
    pub(crate) rank: u32,
    /// From the request until it is due, in milliseconds.
    pub(crate) delay_ms: u64,
    /// The regions that it is bound to.
    pub(crate) homes: Homes,
    /// How long it may be under way once it is taken, in milliseconds.
    pub(crate) hold_ms: u64,
    /// How long it is tried while nothing was written.
    pub(crate) budget: Duration,
    /// How long it is tried once it may have been written.
    pub(crate) unclear_budget: Duration,
    /// Whether its partition stays whatever is known of owners.
    pub(crate) is_place_fixed: bool,
}

impl Submission {
    /// The partition that it belongs to by what is known now.
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

    /// What is left of its time.
    pub(crate) fn left(&self, is_unclear: bool) -> Duration {
        let whole = if is_unclear { self.unclear_budget } else { self.budget };
        whole.saturating_sub(self.begun.elapsed())
    }

    /// What is left until it is due, in milliseconds.
    pub(crate) fn delay_left_ms(&self) -> u64 {
        self.delay_ms.saturating_sub(self.begun.elapsed().as_millis() as u64)
    }
}

/// A time in milliseconds that a header gives; `None` without the header.
///
/// # Errors
/// 400: the value is no time.
fn time_header(request: &Request, name: &str) -> Result<Option<f64>, Box<Reply>> {
    let Some(text) = request.header(name) else { return Ok(None) };
    let time = http1::milliseconds(text, TIME_LIMIT_MS);
    time.map(Some).ok_or_else(|| fault(400, &format!("{name} is not a time")).into())
}

impl FrontService {
    /// Reads a request to take a message in.
    ///
    /// # Errors
    /// The answer that refuses it.
    pub(crate) fn submission_of(&self, request: &Request) -> Result<Submission, Box<Reply>> {
        let begun = Instant::now();
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
        let Some(id) = request.header("x-attempt-id").filter(|id| !id.is_empty() && id.len() <= ID_LIMIT) else {
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
        let aim_ms = match route.target_latency_ms > 0.0 {
            true => route.target_latency_ms,
            false => self.settings.constraints.quiet_ms / 20.0,
        };
        let client_ms = deadline_ms.unwrap_or(f64::MAX) * CLIENT_TIME_PART;
        let within = |aims: f64| Duration::from_millis((aim_ms * aims).min(client_ms) as u64);
        let is_place_fixed =
            operation.is_some() || !item.order_key.is_empty() || view.configuration.has_metered_service(route);
        Ok(Submission {
            begun,
            item,
            rank: route.rank,
            homes,
            hold_ms: delay_ms + (route.retain_s * 1000.0) as u64,
            delay_ms,
            budget: within(BUDGET_AIMS),
            unclear_budget: within(UNCLEAR_BUDGET_AIMS),
            is_place_fixed,
            view,
        })
    }

    /// The URL that is owed a call-back; empty where none is.
    fn callback_of(&self, notifies: bool, known: &ClusterView, r: &Request) -> Result<String, CallbackError> {
        let Some(text) = r.header("x-notify-url").filter(|text| notifies && !text.is_empty()) else {
            return Ok(String::new());
        };
        let url: CallbackUrl = text.parse()?;
        url.ensure_external(&self.settings, &known.membership)?;
        Ok(text.to_owned())
    }

    /// The operation that a request is a try at; `None` where operations have no keys.
    fn operation_of(&self, tenant: &str, r: &Request) -> Result<Option<OperationId>, Refusal> {
        if self.settings.constraints.key_window_s <= 0.0 {
            return Ok(None);
        }
        operation_key(r).map(|key| Some(operation_id(tenant, key)))
    }
}

/// The route for messages that a request is on.
///
/// # Errors
/// 404: there is none.
fn deferred_route<'a>(view: &'a ClusterView, request: &Request) -> Result<&'a Route, Box<Reply>> {
    let host = request.header("host").unwrap_or("");
    let path = request.path.split('?').next().unwrap_or("");
    let route = view.configuration.route(host, path).filter(|route| route.mode == "deferred");
    route.ok_or_else(|| fault(404, "no such route").into())
}
