//! Request forwarding: sends, retries and hedging of a request, and the reply to its client.

use crate::service::GatewayService;
use balance::SendResult;
use http1::{Answer, Closing, Reply, Request};
use proxy::{ClientRequest, ConnectionRules, Failure, SendOutcome, Target, hedged, send, unavailable};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request is hedged after this multiple of the mean latency at the earliest.
const HEDGE_FACTOR: f64 = 3.0;
/// A request is hedged after this fraction of the route's target latency at the earliest.
const HEDGE_TARGET_FRACTION: f64 = 0.6;
/// `quietMs` divided by this is the maximum idle time of a connection for requests that must not
/// run twice.
const MAX_IDLE_DIVISOR: f64 = 20.0;
/// `quietMs` divided by this is the timeout of a new connection.
const CONNECT_TIMEOUT_DIVISOR: f64 = 20.0;
/// `quietMs` divided by this is the timeout of the check whether an address refuses connections.
const PROBE_TIMEOUT_DIVISOR: f64 = 200.0;
/// The maximum number of sends of one request, including those that did not leave.
const MAX_SENDS: usize = 6;
/// The retry delay for clients while the gateway has no configuration, in milliseconds.
const UNCONFIGURED_RETRY_MS: u64 = 500;

/// A send in flight. Its result is recorded on drop; the initial one applies if the send is
/// cancelled.
struct InFlight<'a> {
    gateway: &'a GatewayService,
    service: &'a str,
    target: Target,
    result: SendResult,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_state(|state| state.end(self.service, &self.target.processor, self.result, now_ms));
    }
}

/// The result of a single send, with regard to retries.
enum AttemptResult {
    /// The processor's answer.
    Answered(Answer),
    /// There is no answer that can be forwarded to the client.
    Failed(Failure),
    /// The request was not sent, so another send is not a retry.
    NotSent,
    /// The send would exceed the route's `tries`.
    TooManyProcessors,
}

impl GatewayService {
    /// Answers one client request.
    pub async fn answer(self: Arc<Self>, request: Request) -> Reply {
        let received_at = Instant::now();
        let configuration = self.known.borrow().configuration.clone();
        if configuration.revision == 0 {
            return unavailable(UNCONFIGURED_RETRY_MS);
        }
        let client_request = match ClientRequest::read(&request, &configuration, &self.settings, received_at) {
            Ok(client_request) => client_request,
            Err(refusal) => return refusal,
        };
        self.with_state(|state| state.retry_budget.record_request(received_at));
        let mut closing = self.closing.subscribe();
        let outcome = tokio::select! {
            biased;
            // The process is about to end, so the reply is given from what is known by now.
            _ = closing.wait_for(|phase| *phase == Closing::Ending) => Err(Failure::not_run()),
            // The client has left. The send is dropped, and the processor drops the request as well.
            _ = request.client_connection.closed(), if client_request.is_safe => {
                telemetry::count("requests_abandoned");
                Err(Failure::not_run())
            }
            outcome = self.serve(&client_request) => outcome,
        };
        client_request.reply(outcome)
    }

    /// Sends a request with retries. A request that may run more than once is hedged if it takes
    /// long.
    async fn serve(&self, client_request: &ClientRequest<'_>) -> Result<Answer, Failure> {
        let mean_latency_ms = self.with_state(|state| state.balancer.mean_latency_ms(&client_request.service));
        let Some(mean_latency_ms) = mean_latency_ms.filter(|_| client_request.is_safe) else {
            return self.send_with_retries(client_request).await;
        };
        let hedge_delay_ms = (client_request.route.target_latency_ms.max(1.0) * HEDGE_TARGET_FRACTION)
            .max(mean_latency_ms * HEDGE_FACTOR);
        let second = || {
            let may_hedge = client_request.attempts().has_room() && self.take_retry();
            may_hedge.then(|| self.send_with_retries(client_request))
        };
        hedged(self.send_with_retries(client_request), Duration::from_micros((hedge_delay_ms * 1000.0) as u64), second)
            .await
    }

    fn take_retry(&self) -> bool {
        let slack = self.settings.constraints.retry_slack;
        self.with_state(|state| state.take_retry(slack))
    }

    /// Sends a request, and retries it until there is an answer or no retry is allowed.
    async fn send_with_retries(&self, client_request: &ClientRequest<'_>) -> Result<Answer, Failure> {
        // A failure answer of a processor, which is forwarded if no retry gets a better one.
        let mut fallback = None;
        let mut failure = Failure::not_run();
        for _ in 0..MAX_SENDS {
            if client_request.client_has_left() || client_request.remaining() < client_request.min_run_time() {
                break;
            }
            let Some(in_flight) = self.begin(client_request) else { break };
            match self.send_on(client_request, in_flight).await {
                AttemptResult::Answered(answer) if answer.status < 500 || !client_request.is_safe => return Ok(answer),
                AttemptResult::Answered(answer) => fallback = Some(answer),
                AttemptResult::Failed(reason) => failure = reason,
                AttemptResult::NotSent => {
                    telemetry::count("sends_not_sent");
                    continue;
                }
                AttemptResult::TooManyProcessors => {
                    failure = Failure::MayHaveRun;
                    break;
                }
            }
            let may_retry = client_request.is_safe || matches!(failure, Failure::NotRun { .. });
            if !may_retry || !client_request.attempts().has_room() || !self.take_retry() {
                break;
            }
            telemetry::count("sent_again");
        }
        fallback.ok_or(failure)
    }

    /// Selects a processor and records the request as in flight there.
    fn begin<'a>(&'a self, client_request: &'a ClientRequest<'_>) -> Option<InFlight<'a>> {
        let now_ms = self.now_ms();
        let target = self.with_state(|state| state.begin(&self.known.borrow(), client_request, now_ms))?;
        Some(InFlight { gateway: self, service: &client_request.service, target, result: SendResult::Abandoned })
    }

    /// Sends a request to the selected processor.
    async fn send_on(&self, client_request: &ClientRequest<'_>, mut in_flight: InFlight<'_>) -> AttemptResult {
        let processor = in_flight.target.processor.clone();
        if !client_request.attempts().begin(&processor) {
            return AttemptResult::TooManyProcessors;
        }
        let sent_at = Instant::now();
        let rules = ConnectionRules {
            max_idle: self.quiet_fraction(MAX_IDLE_DIVISOR),
            connect_timeout: Some(self.quiet_fraction(CONNECT_TIMEOUT_DIVISOR)),
            probe_timeout: self.quiet_fraction(PROBE_TIMEOUT_DIVISOR),
        };
        let outcome = send(&self.pool, client_request, &in_flight.target, client_request.remaining(), rules).await;
        if outcome.has_not_run() {
            client_request.attempts().did_not_run(&processor);
        }
        let latency_ms = sent_at.elapsed().as_millis().max(1) as u64;
        let (result, attempt_result) = match outcome {
            SendOutcome::Answered(answer) if answer.status >= 500 => {
                (SendResult::Failed, AttemptResult::Answered(answer))
            }
            SendOutcome::Answered(answer) => (SendResult::Success { latency_ms }, AttemptResult::Answered(answer)),
            SendOutcome::OtherProcessor => (SendResult::Gone, AttemptResult::Failed(Failure::not_run())),
            SendOutcome::Refused => (SendResult::Full, AttemptResult::Failed(Failure::not_run())),
            SendOutcome::NotSent { is_gone: true } => (SendResult::Gone, AttemptResult::NotSent),
            SendOutcome::NotSent { is_gone: false } => (SendResult::Unreachable, AttemptResult::NotSent),
            SendOutcome::Lost => (SendResult::Failed, AttemptResult::Failed(Failure::MayHaveRun)),
            SendOutcome::TimedOut => (SendResult::Failed, AttemptResult::Failed(Failure::TimedOut)),
        };
        in_flight.result = result;
        attempt_result
    }
}
