//! Which panics end the process.

use std::process::Command;
use telemetry::{contained, end_process_on_panic};

/// Set for the process that a test starts of this very program.
const CHILD: &str = "WILLOWSLIP_PANIC_CHILD";

fn run_child(kind: &str) -> std::process::Output {
    let program = std::env::current_exe().expect("this program");
    let arguments = ["--exact", "child", "--nocapture", "--test-threads", "1"];
    Command::new(program).args(arguments).env(CHILD, kind).output().expect("it starts")
}

/// The child process; in the tests' own process it does nothing.
#[test]
fn child() {
    let Ok(kind) = std::env::var(CHILD) else { return };
    end_process_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let panics = async { panic!("as it is meant to") };
        let ended = match kind.as_str() {
            "contained" => tokio::spawn(contained(panics)).await,
            _ => tokio::spawn(panics).await,
        };
        let ended: Result<(), _> = ended;
        assert!(ended.is_err_and(|error| error.is_panic()));
        println!("panics counted: {}", telemetry::get("tasks_panicked"));
    });
}

/// Guards against LOST: one request's panic ended all that the process had under way.
#[test]
fn a_contained_panic_ends_its_task_and_is_counted() {
    let output = run_child("contained");
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("panics counted: 1"), "{output:?}");
}

#[test]
fn any_other_panic_ends_the_process() {
    assert!(!run_child("bare").status.success());
}
