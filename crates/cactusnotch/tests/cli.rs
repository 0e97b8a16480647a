//! The command line of the entry and of the operators' commands.

use std::process::{Command, Output};

use cactusnotch_standins::objects::{Options, Platform};

const SECRET: &str = "a secret for trials on loopback, at least 32 bytes";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactusnotch"))
        .args(arguments)
        .env("CACTUSNOTCH_SECRET", SECRET)
        .env("CACTUSNOTCH_AUTHOR", "operator")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn refused(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert!(!output.status.success(), "{arguments:?} was taken");
    text(&output.stderr)
}

fn accepted(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert!(
        output.status.success(),
        "{arguments:?}: {}",
        text(&output.stderr)
    );
    text(&output.stdout)
}

#[test]
fn help_lists_the_commands() {
    let help = accepted(&["--help"]);
    insta::assert_snapshot!(help);
}

#[test]
fn a_wrong_flag_is_named_with_its_value_and_what_is_allowed() {
    let place = ["--host=h", "--data-centre=dc", "--region=r"];
    let ports = [
        "--platform-url=http://127.0.0.1:9",
        "--operator-listen=127.0.0.1:0",
        "--peer-listen=127.0.0.1:0",
    ];
    let mut arguments = vec!["entry"];
    arguments.extend(place);
    arguments.extend(ports);
    arguments.push("--listen=here");
    let error = refused(&arguments);
    for part in ["--listen", "CACTUSNOTCH_LISTEN", "\"here\"", "IP address"] {
        assert!(error.contains(part), "{part} is missing in: {error}");
    }
}

#[test]
fn settings_are_edited_read_and_declared() {
    let platform = Platform::start(&Options::default()).unwrap();
    let url = format!("--platform-url={}", platform.base());
    let url = url.as_str();
    accepted(&["settings", "create", url, "organisation", "weavers"]);
    accepted(&["settings", "set", url, "weavers", "deadline", "20s"]);
    let effective = accepted(&["settings", "effective", url, "weavers"]);
    let row = effective.lines().find(|line| line.starts_with("deadline"));
    assert_eq!(
        row.unwrap().split_whitespace().collect::<Vec<_>>(),
        ["deadline", "20s", "weavers"]
    );
    let error = refused(&["settings", "set", url, "weavers", "deadline", "soon"]);
    assert!(error.contains("soon"), "{error}");
    refused(&["settings", "move", url, "--under=weavers", "weavers"]);
    let history = accepted(&["settings", "history", url, "--json"]);
    let rows: serde_json::Value = serde_json::from_str(&history).unwrap();
    assert_eq!(rows.as_array().unwrap().len(), 2);
    assert_eq!(rows[0]["author"], "operator");
}

#[test]
fn a_declaration_is_checked_and_applied_whole_or_not_at_all() {
    let platform = Platform::start(&Options::default()).unwrap();
    let url = format!("--platform-url={}", platform.base());
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/declarations/arrieta.toml"
    );
    accepted(&["check", file]);
    accepted(&["settings", "apply", &url, file]);
    let difference = accepted(&["settings", "diff", &url, file]);
    assert!(!difference.contains("create"), "{difference}");
    let get = accepted(&["settings", "get", &url, "--json", "weavers"]);
    let node: serde_json::Value = serde_json::from_str(&get).unwrap();
    assert_eq!(node["parent"], "workshops");
    let wrong = std::env::temp_dir().join(format!("wrong-{}.toml", std::process::id()));
    std::fs::write(
        &wrong,
        "[nodes.x]\nkind = \"organisation\"\nparent = \"gone\"\n",
    )
    .unwrap();
    let error = refused(&["check", wrong.to_str().unwrap()]);
    std::fs::remove_file(&wrong).unwrap();
    assert!(
        error.contains("gone") && error.contains(".toml:"),
        "{error}"
    );
}
