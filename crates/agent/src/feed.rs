use crate::session::*;
use config::{Role, Settings};
use rpc::messages::*;
use rpc::{Body, Responder, RpcClients};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The address at which the agent serves the local front: the machine's own address if that is a
/// loopback address, because several machines may run on one host, each with its own.
pub fn loopback(settings: &Settings) -> String {
    let is_loopback = settings.ip.parse().is_ok_and(|ip: IpAddr| ip.is_loopback());
    match is_loopback {
        true => settings.inner_addr(Role::Agent),
        false => format!("{}:{}", Ipv4Addr::LOCALHOST, settings.inner_port(Role::Agent)),
    }
}

fn answer(session: &Arc<Session>, body: Body, responder: Responder) {
    let session = session.clone();
    match body {
        // Sent by the local front or by another agent.
        Body::WatchRequest(w) => {
            if let Some(n) = &w.node
                && n.role == session.me().role
                && n.inner == session.me().inner
            {
                session.set_unidentified(&w.unidentified);
                session.service_told(n.incarnation, n.leaving);
            }
            tokio::spawn(async move {
                let mut rx = session.subscribe();
                let wait = Duration::from_millis(w.wait_ms as u64);
                let newer = |k: &ClusterView| {
                    let h = k.have();
                    h.configuration > w.have.configuration
                        || h.assignments > w.have.assignments
                        || h.membership > w.have.membership
                };
                let asked_at = Instant::now();
                let _ = tokio::time::timeout(wait, rx.wait_for(newer)).await;
                let news = session.with_known(|k| k.proven_news_for(&w.have, asked_at));
                responder.send(Body::ViewUpdate(news));
            });
        }
        Body::Gossip(g) => {
            let mine = session.with_known(|k| k.have());
            if g.pull {
                responder.send(Body::ViewUpdate(session.with_known(|k| k.news_for(&g.have))));
            } else {
                responder.send(Body::Gossip(Gossip { have: mine, pull: true }));
            }
        }
        _ => {}
    }
}

/// Periodically compares versions with one other agent and fetches missing updates.
pub async fn gossip(session: Arc<Session>) {
    let period = Duration::from_millis((session.settings.constraints.converge_ms / 4.0) as u64);
    let mut round = 0usize;
    loop {
        tokio::time::sleep(period).await;
        round += 1;
        let port = session.settings.inner_port(Role::Agent);
        let me = session.me();
        // Agents in the same zone; in every eighth round, agents in all zones.
        let peers: Vec<String> = session.with_known(|k| {
            k.membership
                .nodes
                .iter()
                .filter(|n| n.role == me.role && n.name != me.name && (n.zone == me.zone || round.is_multiple_of(8)))
                .filter_map(|n| n.inner.rsplit_once(':').map(|(ip, _)| format!("{ip}:{port}")))
                .collect()
        });
        if peers.is_empty() {
            continue;
        }
        let to = session.rpc_clients.to(&peers[(round + me.incarnation as usize) % peers.len()]);
        let have = session.with_known(|k| k.have());
        if let Ok(Body::Gossip(g)) = to.call(Body::Gossip(Gossip { have, pull: false }), period).await {
            let newer = g.have.configuration > have.configuration
                || g.have.assignments > have.assignments
                || g.have.membership > have.membership;
            if newer && let Ok(Body::ViewUpdate(n)) = to.call(Body::Gossip(Gossip { have, pull: true }), period).await {
                telemetry::count("gossip_mended");
                session.take(&n);
            }
        }
    }
}

/// Runs the agent of a front machine until it is told to stop.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    settings_updates: watch::Receiver<Settings>,
) -> Result<(), String> {
    let quiet = settings.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let node = Node {
        name: settings.node.clone(),
        role: settings.front_role().into(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        inner: settings.inner_addr(Role::Front),
        incarnation: rpc::new_incarnation(),
        ..Node::default()
    };
    let rpc_clients = RpcClients::new(silence);
    let session = Session::new(settings.clone(), node, rpc_clients);
    let mut addresses = vec![loopback(&settings), settings.inner_addr(Role::Agent)];
    addresses.dedup();
    for addr in addresses {
        let listener = tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"))?;
        let s = session.clone();
        tokio::spawn(rpc::serve(listener, silence, move |b, p| answer(&s, b, p)));
    }
    tokio::spawn(session.clone().keep());
    tokio::spawn(session.clone().heed(settings_updates));
    tokio::spawn(gossip(session.clone()));
    let _ = stop.wait_for(|s| *s).await;
    // The front receives updates until its drain period ends. The front reports whether the node
    // leaves, because it may keep running while only its agent is restarted.
    tokio::time::sleep(Duration::from_millis((settings.constraints.grace_s * 750.0) as u64)).await;
    telemetry::report(&settings.node, &rpc::sent_frame_stats());
    Ok(())
}
