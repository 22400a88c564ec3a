//! The operators' client against a real control node on loopback.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const BIN: &str = env!("CARGO_BIN_EXE_willowslip");

struct Control {
    child: Child,
    dir: PathBuf,
    control: String,
    inner: u16,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn free_ports() -> u16 {
    // Four inner ports and one for control; a range of its own for every test.
    static TURN: AtomicU16 = AtomicU16::new(0);
    let from = 20_000 + (std::process::id() % 500) as u16 * 40;
    loop {
        let base = from + TURN.fetch_add(1, Ordering::Relaxed) * 20;
        assert!(base < 60_000, "no free ports");
        if (base..base + 5).all(|p| std::net::TcpListener::bind(("127.0.0.1", p)).is_ok()) {
            return base;
        }
    }
}

fn start(name: &str) -> Control {
    let inner = free_ports();
    let control = format!("127.0.0.1:{}", inner + 4);
    let dir = std::env::temp_dir().join(format!("willowslip-{name}-{}", std::process::id()));
    std::fs::create_dir_all(dir.join("data")).expect("a folder");
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
    let good = Command::new(BIN).args(["check", "--settings"]).arg(&path).output().expect("it runs");
    assert!(good.status.success(), "{}", String::from_utf8_lossy(&good.stderr));
    let child = Command::new(BIN)
        .arg("control")
        .env("WILLOWSLIP_SETTINGS", &path)
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let f = Control { child, dir, control, inner };
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let s = ctl(&f, &["--json", "status"]);
        if s.status.success() && String::from_utf8_lossy(&s.stdout).contains("\"isLeader\":true") {
            return f;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no leader in time");
}

fn ctl(f: &Control, args: &[&str]) -> Output {
    Command::new(BIN).args(["ctl", "--within", "3", "--at", &f.control]).args(args).output().expect("it runs")
}

fn out(o: &Output) -> String {
    String::from_utf8_lossy(&o.stdout).into_owned() + &String::from_utf8_lossy(&o.stderr)
}

fn file(f: &Control, name: &str, text: &str) -> String {
    let p = f.dir.join(name);
    std::fs::write(&p, text).expect("written");
    p.display().to_string()
}

const CONFIG: &str = r#"{"revision": 3, "channels": [{"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred",
 "cutoffMs": 100, "plant": "p", "tries": 3, "retainS": 9}], "plants": [{"name": "p"}], "limits": {}}"#;

#[test]
fn configurations_are_put_read_adjusted_and_refused() {
    let f = start("config");
    assert_eq!(ctl(&f, &["config", "read"]).status.code(), Some(1), "there is none yet");
    let good = file(&f, "good.json", CONFIG);
    assert!(out(&ctl(&f, &["config", "replace", &good, "--dry-run"])).contains("checked: true"));
    let o = ctl(&f, &["config", "replace", &good]);
    assert!(o.status.success(), "{}", out(&o));
    let o = ctl(&f, &["config", "replace", &good, "--base", "0"]);
    assert!(o.status.success() && out(&o).contains("acknowledged again"), "{}", out(&o));
    let other = file(&f, "other.json", &CONFIG.replace("\"revision\": 3", "\"revision\": 5"));
    let o = ctl(&f, &["config", "replace", &other, "--base", "0"]);
    assert_eq!(o.status.code(), Some(1));
    assert!(out(&o).contains("refused (412)") && out(&o).contains("has not taken effect"), "{}", out(&o));
    let large = file(&f, "large.json", &(CONFIG.to_owned() + &" ".repeat(3 << 20)));
    let o = ctl(&f, &["config", "replace", &large]);
    assert_eq!(o.status.code(), Some(1));
    assert!(out(&o).contains("refused (413)") && out(&o).contains("at most 1048576 bytes"), "{}", out(&o));
    let bad = file(&f, "bad.json", &CONFIG.replace("\"plant\": \"p\"", "\"plant\": \"q\""));
    let o = ctl(&f, &["config", "replace", &bad]);
    assert!(out(&o).contains("r1") && out(&o).contains("has not taken effect"), "{}", out(&o));
    let change = file(&f, "change.json", r#"{"revision": 8, "remove": {"channels": ["r1"]}}"#);
    let o = ctl(&f, &["config", "adjust", &change]);
    assert!(o.status.success(), "{}", out(&o));
    let read = ctl(&f, &["--json", "config", "read"]);
    let v: serde_json::Value = serde_json::from_slice(&read.stdout).expect("json");
    assert_eq!((v["revision"].as_u64(), v["channels"].as_array().map(Vec::len)), (Some(8), Some(0)));
    let o = Command::new(BIN).args(["check", "--config", &bad]).output().expect("it runs");
    assert_eq!(o.status.code(), Some(1));
}

#[test]
fn orders_to_nothing_known_are_refused_and_a_silent_address_fails_plainly() {
    let f = start("orders");
    assert!(out(&ctl(&f, &["rollout", "start", "nothing", "v2"])).contains("unknown service"));
    assert!(out(&ctl(&f, &["rollout", "read", "nothing"])).contains("404"));
    assert!(out(&ctl(&f, &["retire", "start", "store-9"])).contains("no such node"));
    let inner = format!("127.0.0.1:{}", f.inner);
    assert!(out(&ctl(&f, &["node", &inner])).contains("duties: [\"lister\",\"judge\",\"assigner\"]"));
    // Taken or not: whoever asked is told to send it again, and on which base.
    let mute = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = mute.local_addr().expect("an address").to_string();
    let one = file(&f, "one.json", CONFIG);
    let o = Command::new(BIN)
        .args(["ctl", "--within", "0.5", "--at", &at, "config", "replace", "--base", "7", &one])
        .output()
        .expect("it runs");
    assert_eq!(o.status.code(), Some(4), "{}", out(&o));
    assert!(out(&o).contains("--base 7") && out(&o).contains("send it again unchanged"), "{}", out(&o));
    let o = Command::new(BIN)
        .args(["ctl", "--within", "0.5", "--at", "127.0.0.1:1", "config", "read"])
        .output()
        .expect("it runs");
    assert_eq!(o.status.code(), Some(3));
    assert!(out(&o).contains("has not taken effect"));
    let o = Command::new(BIN).arg("control").env("WILLOWSLIP_SETTINGS", "/nowhere").output().expect("it runs");
    assert_eq!(o.status.code(), Some(2));
    assert!(out(&o).starts_with("settings: file: "), "{}", out(&o));
}

#[test]
fn check_reads_tenants_and_names_the_one_that_is_wrong() {
    let dir = std::env::temp_dir().join(format!("willowslip-tenants-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let check = |name: &str, tenants: &str| {
        let path = dir.join(name);
        let text = CONFIG.replace("\"limits\": {}", &format!("\"limits\": {{}}, \"tenants\": {tenants}"));
        std::fs::write(&path, text).expect("written");
        Command::new(BIN).args(["check", "--config"]).arg(&path).output().expect("it runs")
    };
    let good = check("good.json", r#"[{"name": "clinic", "keys": ["secret-1"]}, {"name": "shop", "keys": []}]"#);
    assert!(good.status.success() && out(&good).contains("2 tenants, 0 routes without a key"), "{}", out(&good));
    let bad =
        check("bad.json", r#"[{"name": "clinic", "keys": ["secret-1"]}, {"name": "shop", "keys": ["secret-1"]}]"#);
    assert_eq!(bad.status.code(), Some(1));
    let text = out(&bad);
    assert!(text.contains("shop") && text.contains("clinic") && !text.contains("secret"), "{text}");
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn check_says_what_the_homes_of_a_configuration_mean_for_copies() {
    let dir = std::env::temp_dir().join(format!("willowslip-homes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
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
    let whole = format!(r#"{{"revision": 1, "channels": [{routes}], "plants": [{{"name": "p"}}], "limits": {{}}}}"#);
    std::fs::write(&config, whole).expect("written");
    let said = Command::new(BIN).arg("check").arg("--settings").arg(&settings).arg("--config").arg(&config).output();
    let said = String::from_utf8_lossy(&said.expect("it runs").stdout).into_owned();
    assert!(said.contains("home north: 2 routes, 0 tenants; 3 copies, all in a b:"), "{said}");
    assert!(said.contains("home east: 1 routes, 0 tenants; no such region in the settings"), "{said}");
    let _ = std::fs::remove_dir_all(&dir);
}
