//! Client side of the local agent: polls it for updates over loopback while the process runs.

use crate::feed::loopback;
use config::{Role, Settings};
use rpc::messages::*;
use rpc::{Body, RpcClients};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// A process of a front machine that receives its updates from the local agent.
pub struct Follower {
    settings: Settings,
    rpc_clients: Arc<RpcClients>,
    /// Identifies the current run of this process.
    incarnation: u64,
}

impl Follower {
    pub fn new(settings: &Settings, rpc_clients: Arc<RpcClients>, incarnation: u64) -> Follower {
        Follower { settings: settings.clone(), rpc_clients, incarnation }
    }

    fn node(&self, leaving: bool) -> Node {
        Node {
            name: self.settings.node.clone(),
            role: self.settings.front_role().into(),
            inner: self.settings.inner_addr(Role::Front),
            incarnation: self.incarnation,
            leaving,
            ..Node::default()
        }
    }

    /// Polls the agent until the process ends. `have` returns the known versions and `unidentified`
    /// the processors whose responses do not name their request. `learn` receives each update with
    /// the time of its request. `is_leaving` evaluates the phase of this process; a change to
    /// leaving is reported at once.
    pub async fn run<T>(
        self,
        mut phase: watch::Receiver<T>,
        is_leaving: impl Fn(&T) -> bool,
        have: impl Fn() -> ViewVersions,
        unidentified: impl Fn() -> Vec<String>,
        learn: impl Fn(&ViewUpdate, Instant),
    ) {
        let wait = self.settings.constraints.news_wait();
        let address = loopback(&self.settings);
        let mut reported_leaving = false;
        loop {
            let leaving = is_leaving(&phase.borrow());
            let wait_ms = if leaving && !reported_leaving { 1 } else { wait.as_millis() as u32 };
            reported_leaving = leaving;
            let request = WatchRequest {
                node: Some(self.node(leaving)),
                have: have(),
                wait_ms,
                unidentified: unidentified(),
                ..WatchRequest::default()
            };
            let asked_at = Instant::now();
            let agent = self.rpc_clients.to(&address);
            let asked = tokio::select! {
                answer = agent.call(Body::WatchRequest(request), wait * 2) => answer,
                _ = async { let _ = phase.wait_for(&is_leaving).await; }, if !leaving => continue,
            };
            match asked {
                Ok(Body::ViewUpdate(news)) => learn(&news, asked_at),
                _ => tokio::time::sleep(wait / 16).await,
            }
        }
    }
}
