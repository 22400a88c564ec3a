//! Panics in contained tasks end only the task; others abort the process.

use std::process::Command;
use telemetry::{contained, end_process_on_panic};

/// Environment variable that is set in the child process, which runs this same test program.
const CHILD_VARIABLE: &str = "WILLOWSLIP_PANIC_CHILD";

fn run_child(kind: &str) -> std::process::Output {
    let program = std::env::current_exe().expect("path of this program");
    let arguments = ["--exact", "child", "--nocapture", "--test-threads", "1"];
    Command::new(program).args(arguments).env(CHILD_VARIABLE, kind).output().expect("child starts")
}

/// The body of the child process; does nothing in the parent.
#[test]
fn child() {
    let Ok(kind) = std::env::var(CHILD_VARIABLE) else { return };
    end_process_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    runtime.block_on(async {
        let panics = async { panic!("deliberate panic") };
        let ended = match kind.as_str() {
            "contained" => tokio::spawn(contained(panics)).await,
            _ => tokio::spawn(panics).await,
        };
        let ended: Result<(), _> = ended;
        assert!(ended.is_err_and(|error| error.is_panic()));
        println!("panics counted: {}", telemetry::get("tasks_panicked"));
    });
}

/// Guards against lost requests: the panic of one request must not end the others of the process.
#[test]
fn contained_panic_ends_only_its_task_and_is_counted() {
    let output = run_child("contained");
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("panics counted: 1"), "{output:?}");
}

#[test]
fn panic_outside_of_contained_tasks_aborts_the_process() {
    assert!(!run_child("bare").status.success());
}
