//! Finds the workspace's binaries.

use std::path::PathBuf;

/// Returns the path of a workspace binary in the build directory of the running program.
///
/// # Panics
///
/// If the binary has not been built; `cargo test --workspace` builds all of them.
pub fn find_binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the running program has a path");
    let folders = test.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    let found = paths.find(|path| path.is_file());
    found.unwrap_or_else(|| {
        panic!("{name} is not built beside this program: run `cargo build --workspace` in the same profile")
    })
}
