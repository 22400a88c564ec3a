//! Human-readable output of `ctl status`: a summary, with single nodes and partitions only if they have a problem or
//! were asked for.

use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

fn text<'a>(v: &'a Value, field: &str) -> &'a str {
    v[field].as_str().unwrap_or("")
}

fn list<'a>(v: &'a Value, field: &str) -> &'a [Value] {
    v[field].as_array().map_or(&[], Vec::as_slice)
}

fn names(v: &Value, field: &str) -> String {
    list(v, field).iter().filter_map(Value::as_str).collect::<Vec<_>>().join(" ")
}

/// How a partition differs from its assignment; empty if it does not.
fn partition_problems(p: &Value) -> String {
    let (replicas, in_sync) = (list(p, "replicas"), list(p, "inSync"));
    let mut problems = Vec::new();
    if in_sync.len() < replicas.len() {
        problems.push(format!("{} of {} in sync", in_sync.len(), replicas.len()));
    }
    if replicas.first().and_then(Value::as_str) != Some(text(p, "owner")) {
        problems.push("owner is not the first replica".into());
    }
    if let Some(c) = p["candidate"].as_str() {
        problems.push(format!("moving to {c}"));
    }
    problems.join(", ")
}

/// Formats a status. `only` also lists each node with that word in its name, zone or role, and each partition with a
/// member whose name contains it.
pub fn summary(v: &Value, only: Option<&str>) -> String {
    let mut s = String::new();
    let duties = names(v, "duties");
    let _ = writeln!(s, "{} {}", text(v, "node"), if v["isLeader"] == true { "leads" } else { "follows" });
    let _ = writeln!(s, "leader {}  duties {}", text(v, "leader"), if duties.is_empty() { "-" } else { &duties });
    let _ = writeln!(s, "voters {}", names(v, "voters"));
    let problems_by_node =
        [("behind by entries", "behind"), ("disk problems", "disks"), ("clocks off, ms ahead", "clocks")];
    for (label, field) in problems_by_node {
        let all = v[field].as_object().into_iter().flatten();
        let all: Vec<String> = all.filter(|(_, n)| **n != 0).map(|(k, n)| format!("{k}={n}")).collect();
        if !all.is_empty() {
            let _ = writeln!(s, "{label}: {}", all.join(" "));
        }
    }
    let unidentified = names(v, "unidentified");
    if !unidentified.is_empty() {
        let _ = writeln!(s, "answers do not repeat X-Attempt-Id, none of their runs can end: {unidentified}");
    }
    let _ = writeln!(
        s,
        "revision {}  assignments {}  membership {}  processors {}",
        v["revision"], v["assignments"], v["membership"], v["units"]
    );
    for evacuation in list(v, "evacuations") {
        let _ = writeln!(s, "zone {} is {}", text(evacuation, "zone"), text(evacuation, "state"));
    }
    let nodes = list(v, "nodes");
    let mut by_zone: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
    for n in nodes {
        let count = by_zone.entry((text(n, "zone"), text(n, "role"))).or_default();
        count.0 += 1;
        count.1 += usize::from(n["leaving"] == true);
    }
    let _ = writeln!(s, "nodes: {}", nodes.len());
    for ((zone, role), (all, leaving)) in by_zone {
        let note = if leaving > 0 { format!(", {leaving} leaving") } else { String::new() };
        let _ = writeln!(s, "  {zone} {role} {all}{note}");
    }
    let partitions = list(v, "partitions");
    let misplaced: Vec<(&Value, String)> =
        partitions.iter().map(|p| (p, partition_problems(p))).filter(|(_, problems)| !problems.is_empty()).collect();
    let _ = writeln!(s, "partitions: {}, {} as assigned", partitions.len(), partitions.len() - misplaced.len());
    let shown = misplaced.len().min(20);
    for (p, problems) in &misplaced[..shown] {
        let _ = writeln!(s, "  {} term {} owner {}: {problems}", p["id"], p["term"], text(p, "owner"));
    }
    if misplaced.len() > shown {
        let _ = writeln!(s, "  and {} more: use --only or --json", misplaced.len() - shown);
    }
    if let Some(word) = only {
        for n in nodes.iter().filter(|n| ["name", "zone", "role"].iter().any(|f| text(n, f).contains(word))) {
            let leaving = if n["leaving"] == true { " leaving" } else { "" };
            let _ = writeln!(
                s,
                "node {} {} {} {}{leaving}",
                text(n, "name"),
                text(n, "role"),
                text(n, "zone"),
                text(n, "inner")
            );
        }
        let has_member = |p: &Value| names(p, "replicas").contains(word) || names(p, "inSync").contains(word);
        for p in partitions.iter().filter(|p| has_member(p)) {
            let (in_sync, replicas) = (names(p, "inSync"), names(p, "replicas"));
            let owner = text(p, "owner");
            let _ = writeln!(
                s,
                "partition {} term {} owner {owner} inSync {in_sync} replicas {replicas}",
                p["id"], p["term"]
            );
        }
    }
    let _ = writeln!(s, "counters: {}", text(v, "counters"));
    s
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn summary_of_300_nodes_fits_on_a_page_and_lists_all_problems() {
        let zones = ["a", "b", "c", "d", "e", "f"];
        let node = |n: usize, role: &str| json!({"name": format!("{role}-{n}"), "role": role, "zone": zones[n % 6], "inner": "10.0.0.1:7000", "leaving": role == "front" && n == 7});
        let nodes: Vec<Value> = (0..234).map(|n| node(n, "front")).chain((0..60).map(|n| node(n, "store"))).collect();
        let partition = |n: usize| {
            let replicas = [n % 60, (n + 1) % 60].map(|m| format!("store-{m}"));
            let in_sync = if n == 17 { &replicas[..1] } else { &replicas[..] };
            json!({"id": n, "term": 3, "owner": replicas[0], "replicas": replicas, "inSync": in_sync, "candidate": null})
        };
        let partitions: Vec<Value> = (0..120).map(partition).collect();
        let v = json!({"node": "core-1", "isLeader": true, "leader": "x", "voters": ["x"], "duties": ["lister"],
            "behind": {"y": 0, "z": 4}, "disks": {}, "clocks": {"store-3": -2400}, "unidentified": ["10.0.0.9:80", "10.0.0.9:81"], "evacuations": [{"zone": "c", "state": "evacuated"}], "revision": 4, "assignments": 5, "membership": 6, "units": 9,
            "nodes": nodes, "partitions": partitions, "counters": "a=1"});
        let s = summary(&v, None);
        assert!(s.lines().count() < 30, "{s}");
        assert!(
            s.contains("partitions: 120, 119 as assigned\n") && s.contains("17 term 3 owner store-17: 1 of 2 in sync")
        );
        assert!(s.contains("b front 39, 1 leaving") && s.contains("behind by entries: z=4"));
        assert!(s.contains("zone c is evacuated\n"));
        assert!(s.contains("clocks off, ms ahead: store-3=-2400"));
        assert!(s.contains("X-Attempt-Id, none of their runs can end: 10.0.0.9:80 10.0.0.9:81\n"));
        let s = summary(&v, Some("store-59"));
        assert!(s.contains("node store-59 store f") && s.lines().filter(|l| l.starts_with("partition ")).count() == 4);
    }
}
