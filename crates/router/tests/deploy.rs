//! What `deploy/balancer.toml` names, against what the program `quillpoint` is built from as its manifests tell it:
//! `policy` and `node` between them hold each source file of the workspace that the program is built from, once.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).unwrap().canonicalize().unwrap()
}

/// The paths that a key of the deployment's file names, from the root.
fn named(key: &str) -> Vec<PathBuf> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let table: toml::Table = text.parse().unwrap();
    let paths = table[key].as_array().unwrap();
    paths.iter().map(|path| PathBuf::from(path.as_str().unwrap())).collect()
}

/// The folders of the packages of the workspace that a package is built from, itself included. What only its tests
/// need is none of them.
fn built_from(package: &str) -> BTreeSet<PathBuf> {
    let mut cargo = Command::new(env!("CARGO"));
    cargo
        .args(["metadata", "--format-version", "1", "--no-deps", "--offline", "--locked"])
        .current_dir(root());
    let told = cargo.output().unwrap();
    assert!(told.status.success(), "{}", String::from_utf8_lossy(&told.stderr));
    let told: Value = serde_json::from_slice(&told.stdout).unwrap();
    let packages = told["packages"].as_array().unwrap();
    let folder =
        |package: &Value| Path::new(package["manifest_path"].as_str().unwrap()).parent().unwrap().to_owned();
    let mut due = vec![folder(packages.iter().find(|other| other["name"] == package).unwrap())];
    let mut found = BTreeSet::new();
    while let Some(next) = due.pop() {
        if found.insert(next.clone()) {
            let package = packages.iter().find(|package| folder(package) == next).unwrap();
            let needs =
                package["dependencies"].as_array().unwrap().iter().filter(|needed| needed["kind"] != "dev");
            due.extend(needs.filter_map(|needed| Some(PathBuf::from(needed["path"].as_str()?))));
        }
    }
    found
}

/// All files in a folder and the folders in it, or the one file, from the root.
fn files(path: &Path) -> Vec<PathBuf> {
    let whole = root().join(path);
    if whole.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(&whole).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    entries.flat_map(|entry| files(&path.join(entry.unwrap().file_name()))).collect()
}

#[test]
fn the_deployment_names_each_source_file_of_the_program_once() {
    let packages = built_from("quillpoint-router");
    assert!(packages.len() > 1, "{packages:?}");
    let sources = packages.iter().map(|folder| folder.strip_prefix(root()).unwrap().join("src"));
    let sources: BTreeSet<PathBuf> = sources.flat_map(|folder| files(&folder)).collect();
    let listed: Vec<PathBuf> =
        ["policy", "node"].into_iter().flat_map(named).flat_map(|path| files(&path)).collect();
    let once: BTreeSet<PathBuf> = listed.iter().cloned().collect();
    let missing: Vec<_> = sources.difference(&once).collect();
    let foreign: Vec<_> = once.difference(&sources).collect();
    assert!(missing.is_empty() && foreign.is_empty(), "missing {missing:?}, not of the program {foreign:?}");
    assert_eq!(listed.len(), once.len(), "a file is named twice: {listed:?}");
}

/// What the decisions need of the workspace lies in their own package, of which the policy names files.
#[test]
fn the_policy_is_of_the_package_that_needs_no_other() {
    let package = built_from("quillpoint");
    let policy = named("policy");
    assert_eq!(package.len(), 1, "it needs no other package of the workspace: {package:?}");
    assert!(policy.iter().all(|path| path.starts_with("src") && root().join(path).is_file()), "{policy:?}");
}
