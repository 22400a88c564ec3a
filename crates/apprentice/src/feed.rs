use crate::session::*;
use dovetail::msg::*;
use dovetail::{Bench, Body, Peg};
use gauge::{Caliper, Role};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Where the apprentice of a machine feeds its hatch.
pub fn loopback(caliper: &Caliper) -> String {
    format!("127.0.0.1:{}", caliper.inner_port(Role::Apprentice))
}

fn answer(session: &Arc<Session>, body: Body, peg: Peg) {
    let session = session.clone();
    match body {
        // The hatch beside us, or a neighbour that lacks something.
        Body::Watch(w) => {
            if let Some(n) = &w.node
                && n.role == session.me().role
                && n.inner == session.me().inner
                && n.leaving
            {
                session.set_leaving();
            }
            tokio::spawn(async move {
                let mut rx = session.subscribe();
                let wait = Duration::from_millis(w.wait_ms as u64);
                let newer = |k: &Known| {
                    let h = k.have();
                    h.template > w.have.template || h.charter > w.have.charter || h.roster > w.have.roster
                };
                let _ = tokio::time::timeout(wait, rx.wait_for(newer)).await;
                let news = session.with_known(|k| k.news_for(&w.have));
                peg.send(Body::News(news));
            });
        }
        Body::Gossip(g) => {
            let mine = session.with_known(|k| k.have());
            if g.pull {
                peg.send(Body::News(session.with_known(|k| k.news_for(&g.have))));
            } else {
                peg.send(Body::Gossip(Gossip { have: mine, pull: true }));
            }
        }
        _ => {}
    }
}

/// Compares digests with a few others from time to time, and mends gaps.
pub async fn gossip(session: Arc<Session>) {
    let period = Duration::from_millis((session.caliper.constraints.converge_ms / 4.0) as u64);
    let mut round = 0usize;
    loop {
        tokio::time::sleep(period).await;
        round += 1;
        let port = session.caliper.inner_port(Role::Apprentice);
        let me = session.me();
        // Neighbours in the zone; every eighth round anybody.
        let all: Vec<String> = session.with_known(|k| {
            k.roster
                .nodes
                .iter()
                .filter(|n| n.role == me.role && n.name != me.name && (n.zone == me.zone || round.is_multiple_of(8)))
                .filter_map(|n| n.inner.rsplit_once(':').map(|(ip, _)| format!("{ip}:{port}")))
                .collect()
        });
        if all.is_empty() {
            continue;
        }
        let to = session.bench.to(&all[(round + me.life as usize) % all.len()]);
        let have = session.with_known(|k| k.have());
        if let Ok(Body::Gossip(g)) = to.call(Body::Gossip(Gossip { have, pull: false }), period).await {
            let newer = g.have.template > have.template || g.have.charter > have.charter || g.have.roster > have.roster;
            if newer && let Ok(Body::News(n)) = to.call(Body::Gossip(Gossip { have, pull: true }), period).await {
                tally::count("gossip_mended");
                session.take(&n);
            }
        }
    }
}

/// Runs the apprentice of a front machine until it is told to stop.
pub async fn run(
    caliper: Caliper,
    mut stop: watch::Receiver<bool>,
    settings: watch::Receiver<Caliper>,
) -> Result<(), String> {
    let quiet = caliper.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let node = Node {
        name: caliper.node.clone(),
        role: caliper.front_role().into(),
        zone: caliper.zone.clone(),
        region: caliper.region.clone(),
        inner: caliper.inner_addr(Role::Hatch),
        life: dovetail::new_life(),
        ..Node::default()
    };
    let bench = Bench::new(silence);
    let session = Session::new(caliper.clone(), node, bench);
    for addr in [loopback(&caliper), caliper.inner_addr(Role::Apprentice)] {
        let listener = tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"))?;
        let s = session.clone();
        tokio::spawn(dovetail::serve(listener, silence, move |b, p| answer(&s, b, p)));
    }
    tokio::spawn(session.clone().keep());
    tokio::spawn(session.clone().heed(settings));
    tokio::spawn(gossip(session.clone()));
    let _ = stop.wait_for(|s| *s).await;
    // The hatch may drain for as long as it is allowed to; it is fed until then.
    session.set_leaving();
    tokio::time::sleep(Duration::from_millis((caliper.constraints.grace_s * 750.0) as u64)).await;
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}
