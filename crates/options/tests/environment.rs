//! Environment variables set the values of flags.

use std::process::Command;

use bpaf::{Args, Parser};
use cactusnotch_options::common;

const CHILD: &str = "CACTUSNOTCH_TEST_CHILD";

/// Parses no flags in a process with only these variables and returns its
/// output.
fn parse_with(variables: &[(&str, &str)]) -> String {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "variables_stand_for_flags", "--nocapture"])
        .env_clear()
        .env(CHILD, "yes")
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap()
}

fn print_settings() {
    let none: &[&str] = &[];
    match common().to_options().run_inner(Args::from(none)) {
        Ok(common) => println!("taken: {common:?}"),
        Err(failure) => println!("refused: {}", failure.unwrap_stderr()),
    }
    let help = common().to_options().run_inner(&["--help"]);
    println!("{}", help.unwrap_err().unwrap_stdout());
}

#[test]
fn variables_stand_for_flags() {
    if std::env::var_os(CHILD).is_some() {
        return print_settings();
    }
    let mut variables = vec![
        ("CACTUSNOTCH_HOST", "shop-1"),
        ("CACTUSNOTCH_DATA_CENTRE", "east"),
        ("CACTUSNOTCH_REGION", "south"),
        ("CACTUSNOTCH_PLATFORM_URL", "http://127.0.0.1:7000"),
        ("CACTUSNOTCH_SECRET", "the current secret of the tests"),
        (
            "CACTUSNOTCH_PREVIOUS_SECRET",
            "the previous secret of the tests",
        ),
        ("CACTUSNOTCH_LOG_FORMAT", "json"),
    ];
    let taken = parse_with(&variables);
    assert!(
        taken.contains("taken: Common { host: Host(\"shop-1\")"),
        "{taken}"
    );
    assert!(
        taken.contains("[Secret(redacted), Secret(redacted)]"),
        "{taken}"
    );
    assert!(taken.contains("format: Json"), "{taken}");
    assert!(!taken.contains("secret of the tests"), "{taken}");

    variables[0].1 = "shop 1";
    variables[4].1 = "guessable";
    let refused = parse_with(&variables);
    assert!(
        refused.contains("--host (CACTUSNOTCH_HOST): \"shop 1\" isn't allowed"),
        "{refused}"
    );
    variables[0].1 = "shop-1";
    let refused = parse_with(&variables);
    assert!(
        refused.contains("CACTUSNOTCH_SECRET: a secret needs at least 16 bytes"),
        "{refused}"
    );
    assert!(!refused.contains("guessable"), "{refused}");
}
