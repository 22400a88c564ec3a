//! Forwarding: which sends a request gets, and what its client is told.

use crate::service::GatewayService;
use balance::SendResult;
use http1::{Answer, Closing, Reply, Request};
use proxy::{ClientRequest, ConnectionRules, Failure, SendOutcome, Target, hedged, send, unavailable};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By how much a request may take longer than runs usually do before another is sent beside it.
const HEDGE_FACTOR: f64 = 3.0;
/// The part of its aim before which no request is sent beside another.
const HEDGE_PART: f64 = 0.6;
/// The parts of `quietMs`: how long a connection may have rested that carries what must not run
/// twice, how long a new one may take, and how long to ask whether anybody listens.
const NEWEST_PART: f64 = 20.0;
const CONNECT_PART: f64 = 20.0;
const REFUSAL_PART: f64 = 200.0;
/// Sends of one request at the most, those included that came to nothing.
const MOST_SENDS: usize = 6;
/// When to try again where the gateway knows of no configuration yet, in milliseconds.
const UNCONFIGURED_RETRY_MS: u64 = 500;

/// A send that is under way; dropped before its end, nobody waits for it any more.
struct Sending<'a> {
    gateway: &'a GatewayService,
    service: &'a str,
    target: Target,
    end: SendResult,
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_state(|state| state.end(self.service, &self.target.processor, self.end, now_ms));
    }
}

/// What one send came to.
enum Sent {
    /// The client's answer.
    Answered(Answer),
    /// No answer that a client can be given.
    Missed(Failure),
    /// Nothing had left: another send repeats nothing.
    Nothing,
    /// That would be more processors than the route has tries.
    TooManyProcessors,
}

impl GatewayService {
    /// Answers one request of a client.
    pub async fn answer(self: Arc<Self>, request: Request) -> Reply {
        let begun = Instant::now();
        let configuration = self.known.borrow().configuration.clone();
        if configuration.revision == 0 {
            return unavailable(UNCONFIGURED_RETRY_MS);
        }
        let ask = match ClientRequest::read(&request, &configuration, &self.settings, begun) {
            Ok(ask) => ask,
            Err(refusal) => return refusal,
        };
        self.with_state(|state| state.retry_budget.record_request(begun));
        let mut closing = self.closing.subscribe();
        let outcome = tokio::select! {
            biased;
            // The process is about to end: what is known by now is the answer.
            _ = closing.wait_for(|phase| *phase == Closing::Ending) => Err(Failure::not_run()),
            // Nobody waits for it: the processor drops it.
            _ = request.departure.left(), if ask.is_safe => {
                telemetry::count("requests_abandoned");
                Err(Failure::not_run())
            }
            outcome = self.serve(&ask) => outcome,
        };
        ask.reply(outcome)
    }

    /// Sends a request, and beside the first send another one where that takes long and it may
    /// run more than once.
    async fn serve(&self, ask: &ClientRequest<'_>) -> Result<Answer, Failure> {
        let usual = self.with_state(|state| state.balancer.mean_latency_ms(&ask.service));
        let Some(usual) = usual.filter(|_| ask.is_safe) else { return self.tries(ask).await };
        let patience_ms = (ask.route.target_latency_ms.max(1.0) * HEDGE_PART).max(usual * HEDGE_FACTOR);
        let second = || {
            let is_worth_it = ask.attempts().has_room() && self.take_retry();
            is_worth_it.then(|| self.tries(ask))
        };
        hedged(self.tries(ask), Duration::from_micros((patience_ms * 1000.0) as u64), second).await
    }

    fn take_retry(&self) -> bool {
        let slack = self.settings.constraints.retry_slack;
        self.with_state(|state| state.take_retry(slack))
    }

    /// Sends a request until there is an answer, or another send must not be.
    async fn tries(&self, ask: &ClientRequest<'_>) -> Result<Answer, Failure> {
        // A processor's failure of a request that may be repeated: the client's answer if no
        // better one comes.
        let mut fallback = None;
        let mut failure = Failure::not_run();
        for _ in 0..MOST_SENDS {
            if ask.client_has_left() || ask.remaining() < ask.min_run_time() {
                break;
            }
            let Some(sending) = self.begin(ask) else { break };
            match self.send_on(ask, sending).await {
                Sent::Answered(answer) if answer.status < 500 || !ask.is_safe => return Ok(answer),
                Sent::Answered(answer) => fallback = Some(answer),
                Sent::Missed(said) => failure = said,
                Sent::Nothing => {
                    telemetry::count("sends_not_sent");
                    continue;
                }
                Sent::TooManyProcessors => {
                    failure = Failure::MayHaveRun;
                    break;
                }
            }
            let may_repeat = ask.is_safe || matches!(failure, Failure::NotRun { .. });
            if !may_repeat || !ask.attempts().has_room() || !self.take_retry() {
                break;
            }
            telemetry::count("sent_again");
        }
        fallback.ok_or(failure)
    }

    /// Chooses a processor and counts the request as sent there.
    fn begin<'a>(&'a self, ask: &'a ClientRequest<'_>) -> Option<Sending<'a>> {
        let now_ms = self.now_ms();
        let target = self.with_state(|state| state.begin(&self.known.borrow(), ask, now_ms))?;
        Some(Sending { gateway: self, service: &ask.service, target, end: SendResult::Abandoned })
    }

    /// Sends a request to the processor that was chosen.
    async fn send_on(&self, ask: &ClientRequest<'_>, mut sending: Sending<'_>) -> Sent {
        let processor = sending.target.processor.clone();
        if !ask.attempts().begin(&processor) {
            return Sent::TooManyProcessors;
        }
        let sent = Instant::now();
        let rules = ConnectionRules {
            max_idle: self.ratio(NEWEST_PART),
            connect_timeout: Some(self.ratio(CONNECT_PART)),
            probe_timeout: self.ratio(REFUSAL_PART),
        };
        let outcome = send(&self.pool, ask, &sending.target, ask.remaining(), rules).await;
        if outcome.has_not_run() {
            ask.attempts().did_not_run(&processor);
        }
        let latency_ms = sent.elapsed().as_millis().max(1) as u64;
        let (end, result) = match outcome {
            SendOutcome::Answered(answer) if answer.status >= 500 => (SendResult::Failed, Sent::Answered(answer)),
            SendOutcome::Answered(answer) => (SendResult::Success { latency_ms }, Sent::Answered(answer)),
            SendOutcome::OtherProcessor => (SendResult::Gone, Sent::Missed(Failure::not_run())),
            SendOutcome::Refused => (SendResult::Full, Sent::Missed(Failure::not_run())),
            SendOutcome::NotSent { is_gone: true } => (SendResult::Gone, Sent::Nothing),
            SendOutcome::NotSent { is_gone: false } => (SendResult::Unreachable, Sent::Nothing),
            SendOutcome::Lost => (SendResult::Failed, Sent::Missed(Failure::MayHaveRun)),
            SendOutcome::TimedOut => (SendResult::Failed, Sent::Missed(Failure::TimedOut)),
        };
        sending.end = end;
        result
    }
}
