//! Sets `WILLOWSLIP_VERSION` to the package version and the commit that the binary is built from.

use std::process::Command;

/// Returns the trimmed output of a git command; `None` if it fails or prints nothing, such as without git or a
/// repository.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?.trim().to_owned();
    (output.status.success() && !text.is_empty()).then_some(text)
}

fn main() {
    // Cargo scans a directory recursively.
    println!("cargo:rerun-if-changed=../../crates");
    println!("cargo:rerun-if-changed=../../Cargo.lock");
    if let Some(log) = git(&["rev-parse", "--git-path", "logs/HEAD"]) {
        println!("cargo:rerun-if-changed={log}");
    }
    let commit = git(&["rev-parse", "--short=12", "HEAD"]);
    let is_dirty = git(&["status", "--porcelain", "--", "..", "../../Cargo.lock", "../../Cargo.toml"]).is_some();
    let commit = match commit {
        Some(commit) if is_dirty => format!("{commit}, changed"),
        Some(commit) => commit,
        None => "unknown commit".to_owned(),
    };
    println!("cargo:rustc-env=WILLOWSLIP_VERSION={} ({commit})", env!("CARGO_PKG_VERSION"));
}
