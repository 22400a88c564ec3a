//! `ctl` and `check` of the binary; `ctl` runs against a control node on loopback.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

struct ControlNode {
    child: Child,
    dir: PathBuf,
    control: String,
    inner: u16,
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn free_ports() -> u16 {
    // Four inner ports and a control port; each test takes a range of its own.
    static NEXT_RANGE: AtomicU16 = AtomicU16::new(0);
    let from = 20_000 + (std::process::id() % 500) as u16 * 40;
    loop {
        let base = from + NEXT_RANGE.fetch_add(1, Ordering::Relaxed) * 20;
        assert!(base < 60_000, "no free ports");
        if (base..base + 5).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok()) {
            return base;
        }
    }
}

fn start(name: &str) -> ControlNode {
    let inner = free_ports();
    let control = format!("127.0.0.1:{}", inner + 4);
    let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
    std::fs::create_dir_all(dir.join("data")).expect("data directory");
    let settings = format!(
        "node = \"core-1\"\nip = \"127.0.0.1\"\nzone = \"z\"\nportRange = [{inner}, {}]\nseeds = [\"{control}\"]\n\
         initialStart = true\ndataDir = \"{}\"\n[listen]\ncontrol = \"{control}\"\n[limits]\nmemoryMb = 128\ndiskMb = 128\n\
         [constraints]\nquietMs = 1000\nackMs = 3000\ngraceS = 2\nsettleS = 2\ndrainMs = 1000\nconvergeMs = 1000\n\
         rollbackMs = 1000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n",
        inner + 3,
        dir.join("data").display()
    );
    let path = dir.join("local.toml");
    std::fs::write(&path, settings).expect("settings written");
    let checked = Command::new(BIN).args(["check", "--settings"]).arg(&path).output().expect("binary runs");
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let child = Command::new(BIN)
        .arg("control")
        .env("WILLOWSLIP_SETTINGS", &path)
        .stderr(Stdio::null())
        .spawn()
        .expect("process starts");
    let node = ControlNode { child, dir, control, inner };
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let s = ctl(&node, &["--json", "status"]);
        if s.status.success() && String::from_utf8_lossy(&s.stdout).contains("\"isLeader\":true") {
            return node;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting for a leader");
}

fn ctl(node: &ControlNode, args: &[&str]) -> Output {
    Command::new(BIN).args(["ctl", "--within", "3", "--at", &node.control]).args(args).output().expect("binary runs")
}

/// Standard output followed by standard error.
fn combined_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn write_file(node: &ControlNode, name: &str, text: &str) -> String {
    let path = node.dir.join(name);
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

const CONFIG: &str = r#"{"revision": 3, "channels": [{"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred",
 "cutoffMs": 100, "plant": "p", "tries": 3, "retainS": 9}], "plants": [{"name": "p"}], "limits": {}}"#;

#[test]
fn configurations_are_replaced_read_adjusted_and_refused() {
    let node = start("config");
    assert_eq!(ctl(&node, &["config", "read"]).status.code(), Some(1), "no configuration yet");
    let good = write_file(&node, "good.json", CONFIG);
    assert!(combined_output(&ctl(&node, &["config", "replace", &good, "--dry-run"])).contains("checked: true"));
    let output = ctl(&node, &["config", "replace", &good]);
    assert!(output.status.success(), "{}", combined_output(&output));
    let output = ctl(&node, &["config", "replace", &good, "--base", "0"]);
    assert!(
        output.status.success() && combined_output(&output).contains("acknowledged again"),
        "{}",
        combined_output(&output)
    );
    let other = write_file(&node, "other.json", &CONFIG.replace("\"revision\": 3", "\"revision\": 5"));
    let output = ctl(&node, &["config", "replace", &other, "--base", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        combined_output(&output).contains("refused (412)") && combined_output(&output).contains("has not taken effect"),
        "{}",
        combined_output(&output)
    );
    let large = write_file(&node, "large.json", &(CONFIG.to_owned() + &" ".repeat(3 << 20)));
    let output = ctl(&node, &["config", "replace", &large]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        combined_output(&output).contains("refused (413)")
            && combined_output(&output).contains("at most 1048576 bytes"),
        "{}",
        combined_output(&output)
    );
    let bad = write_file(&node, "bad.json", &CONFIG.replace("\"plant\": \"p\"", "\"plant\": \"q\""));
    let output = ctl(&node, &["config", "replace", &bad]);
    assert!(
        combined_output(&output).contains("r1") && combined_output(&output).contains("has not taken effect"),
        "{}",
        combined_output(&output)
    );
    let change = write_file(&node, "change.json", r#"{"revision": 8, "remove": {"channels": ["r1"]}}"#);
    let output = ctl(&node, &["config", "adjust", &change]);
    assert!(output.status.success(), "{}", combined_output(&output));
    let read = ctl(&node, &["--json", "config", "read"]);
    let v: serde_json::Value = serde_json::from_slice(&read.stdout).expect("json");
    assert_eq!((v["revision"].as_u64(), v["channels"].as_array().map(Vec::len)), (Some(8), Some(0)));
    let output = Command::new(BIN).args(["check", "--config", &bad]).output().expect("binary runs");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn unknown_targets_are_refused_and_unresponsive_addresses_reported() {
    let node = start("orders");
    assert!(combined_output(&ctl(&node, &["rollout", "start", "nothing", "v2"])).contains("unknown service"));
    assert!(combined_output(&ctl(&node, &["rollout", "read", "nothing"])).contains("404"));
    assert!(combined_output(&ctl(&node, &["retire", "start", "store-9"])).contains("no such node"));
    let inner = format!("127.0.0.1:{}", node.inner);
    assert!(combined_output(&ctl(&node, &["node", &inner])).contains("duties: [\"lister\",\"judge\",\"assigner\"]"));
    // Without a response the outcome is unknown: the operator is told to repeat the change, and with which base.
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    let at = unresponsive.local_addr().expect("local address").to_string();
    let one = write_file(&node, "one.json", CONFIG);
    let output = Command::new(BIN)
        .args(["ctl", "--within", "0.5", "--at", &at, "config", "replace", "--base", "7", &one])
        .output()
        .expect("binary runs");
    assert_eq!(output.status.code(), Some(4), "{}", combined_output(&output));
    assert!(
        combined_output(&output).contains("--base 7") && combined_output(&output).contains("send it again unchanged"),
        "{}",
        combined_output(&output)
    );
    let output = Command::new(BIN)
        .args(["ctl", "--within", "0.5", "--at", "127.0.0.1:1", "config", "read"])
        .output()
        .expect("binary runs");
    assert_eq!(output.status.code(), Some(3));
    assert!(combined_output(&output).contains("has not taken effect"));
    let output = Command::new(BIN).arg("control").env("WILLOWSLIP_SETTINGS", "/nowhere").output().expect("binary runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(combined_output(&output).starts_with("settings: file: "), "{}", combined_output(&output));
}

#[test]
fn check_counts_tenants_and_names_those_with_a_shared_key() {
    let dir = std::env::temp_dir().join(format!("willowslip-tenants-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("data directory");
    let check = |name: &str, tenants: &str| {
        let path = dir.join(name);
        let text = CONFIG.replace("\"limits\": {}", &format!("\"limits\": {{}}, \"tenants\": {tenants}"));
        std::fs::write(&path, text).expect("written");
        Command::new(BIN).args(["check", "--config"]).arg(&path).output().expect("binary runs")
    };
    let good = check("good.json", r#"[{"name": "clinic", "keys": ["secret-1"]}, {"name": "shop", "keys": []}]"#);
    assert!(
        good.status.success() && combined_output(&good).contains("2 tenants, 0 routes without a key"),
        "{}",
        combined_output(&good)
    );
    let bad =
        check("bad.json", r#"[{"name": "clinic", "keys": ["secret-1"]}, {"name": "shop", "keys": ["secret-1"]}]"#);
    assert_eq!(bad.status.code(), Some(1));
    let text = combined_output(&bad);
    assert!(text.contains("shop") && text.contains("clinic") && !text.contains("secret"), "{text}");
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn check_reports_the_copies_needed_in_each_home_region() {
    let dir = std::env::temp_dir().join(format!("willowslip-homes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("data directory");
    let (settings, config) = (dir.join("local.toml"), dir.join("config.json"));
    let text = "node = \"store-1\"\nip = \"127.0.0.1\"\nzone = \"a\"\nportRange = [7000, 7004]\nseeds = [\"127.0.0.1:1\"]\n\
         [limits]\nmemoryMb = 128\n[tolerance]\nmachines = 2\n[zones]\na = \"north\"\nb = \"north\"\nc = \"south\"\n\
         [constraints]\nquietMs = 1000\nackMs = 3000\ngraceS = 2\nsettleS = 2\ndrainMs = 1000\nconvergeMs = 1000\n\
         rollbackMs = 1000\nstatusS = 60\nnotifyS = 5\npeakWindowS = 5\nexposure = 0.1\n";
    std::fs::write(&settings, text).expect("written");
    let route = |n: u32, domains: &str| {
        format!(
            r#"{{"name": "r{n}", "host": "h", "prefix": "/{n}/", "cutoffMs": 9, "plant": "p", "domains": {domains}}}"#
        )
    };
    let routes = [route(1, r#"["north"]"#), route(2, r#"["north", "east"]"#), route(3, "null")].join(", ");
    let configuration =
        format!(r#"{{"revision": 1, "channels": [{routes}], "plants": [{{"name": "p"}}], "limits": {{}}}}"#);
    std::fs::write(&config, configuration).expect("written");
    let output = Command::new(BIN).arg("check").arg("--settings").arg(&settings).arg("--config").arg(&config).output();
    let stdout = String::from_utf8_lossy(&output.expect("binary runs").stdout).into_owned();
    assert!(stdout.contains("home north: 2 routes, 0 tenants; 3 copies, all in a b:"), "{stdout}");
    assert!(stdout.contains("home east: 1 routes, 0 tenants; no such region in the settings"), "{stdout}");
    let _ = std::fs::remove_dir_all(&dir);
}
