//! Checks `deploy/balancer.toml` against the packages that the program `quillpoint` is built from, according
//! to the Cargo manifests: `policy` and `node` together must list each of their source files exactly once.
//! Guards against new or moved files that are not listed there.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).unwrap().canonicalize().unwrap()
}

/// The paths listed under a key of deploy/balancer.toml, relative to the workspace root.
fn listed_paths(key: &str) -> Vec<PathBuf> {
    let text = std::fs::read_to_string(workspace_root().join("deploy/balancer.toml")).unwrap();
    let table: toml::Table = text.parse().unwrap();
    let paths = table[key].as_array().unwrap();
    paths.iter().map(|path| PathBuf::from(path.as_str().unwrap())).collect()
}

/// The directories of the workspace packages that a package is built from, including its own.
/// Dev-dependencies are left out.
fn built_from(package: &str) -> BTreeSet<PathBuf> {
    let mut cargo = Command::new(env!("CARGO"));
    cargo
        .args(["metadata", "--format-version", "1", "--no-deps", "--offline", "--locked"])
        .current_dir(workspace_root());
    let metadata = cargo.output().unwrap();
    assert!(metadata.status.success(), "{}", String::from_utf8_lossy(&metadata.stderr));
    let metadata: Value = serde_json::from_slice(&metadata.stdout).unwrap();
    let packages = metadata["packages"].as_array().unwrap();
    let directory =
        |package: &Value| Path::new(package["manifest_path"].as_str().unwrap()).parent().unwrap().to_owned();
    let mut pending = vec![directory(packages.iter().find(|other| other["name"] == package).unwrap())];
    let mut directories = BTreeSet::new();
    while let Some(package_directory) = pending.pop() {
        if directories.insert(package_directory.clone()) {
            let package = packages.iter().find(|package| directory(package) == package_directory).unwrap();
            let dependencies = package["dependencies"]
                .as_array()
                .unwrap()
                .iter()
                .filter(|dependency| dependency["kind"] != "dev");
            pending.extend(
                dependencies.filter_map(|dependency| Some(PathBuf::from(dependency["path"].as_str()?))),
            );
        }
    }
    directories
}

/// All files in a directory and its subdirectories, or the single file, relative to the workspace root.
fn files(path: &Path) -> Vec<PathBuf> {
    let full_path = workspace_root().join(path);
    if full_path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(&full_path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    entries.flat_map(|entry| files(&path.join(entry.unwrap().file_name()))).collect()
}

#[test]
fn balancer_toml_lists_each_source_file_of_the_program_once() {
    let packages = built_from("quillpoint-router");
    assert!(packages.len() > 1, "{packages:?}");
    let sources =
        packages.iter().map(|directory| directory.strip_prefix(workspace_root()).unwrap().join("src"));
    let sources: BTreeSet<PathBuf> = sources.flat_map(|directory| files(&directory)).collect();
    let listed: Vec<PathBuf> =
        ["policy", "node"].into_iter().flat_map(listed_paths).flat_map(|path| files(&path)).collect();
    let unique: BTreeSet<PathBuf> = listed.iter().cloned().collect();
    let missing: Vec<_> = sources.difference(&unique).collect();
    let foreign: Vec<_> = unique.difference(&sources).collect();
    assert!(
        missing.is_empty() && foreign.is_empty(),
        "missing: {missing:?}, not part of the program: {foreign:?}"
    );
    assert_eq!(listed.len(), unique.len(), "a file is listed twice: {listed:?}");
}

/// The decision module depends on no other package of the workspace, and `policy` lists only files of its
/// package.
#[test]
fn the_policy_lists_files_of_the_decision_module_which_has_no_workspace_dependencies() {
    let package = built_from("quillpoint");
    let policy = listed_paths("policy");
    assert_eq!(package.len(), 1, "the decision module depends on other workspace packages: {package:?}");
    assert!(
        policy.iter().all(|path| path.starts_with("src") && workspace_root().join(path).is_file()),
        "{policy:?}"
    );
}
