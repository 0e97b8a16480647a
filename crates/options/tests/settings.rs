//! Valid settings are accepted, and invalid ones are refused with a message.

use std::fs;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime};

use bpaf::{Args, OptionParser, Parser};
use cactusnotch_base::number::Incarnation;
use cactusnotch_link::Role;
use cactusnotch_options::{Common, common};

const SECRET: &str = "a secret of the tests' cluster";

fn parser() -> OptionParser<Common> {
    common().to_options().fallback_to_usage()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Runs the parser with valid settings, except for those that `changed` replaces.
fn run(changed: &[(&str, &str)]) -> Result<Common, String> {
    static FILE: OnceLock<PathBuf> = OnceLock::new();
    let secret = FILE.get_or_init(|| file("secret", &format!("{SECRET}\n")));
    let mut settings = vec![
        ("--host", "shop-1"),
        ("--data-centre", "east"),
        ("--region", "south"),
        ("--platform-url", "http://127.0.0.1:7000"),
        ("--secret-file", secret.to_str().unwrap()),
    ];
    settings.retain(|(flag, _)| changed.iter().all(|(other, _)| flag != other));
    settings.extend(changed.iter().filter(|(_, value)| !value.is_empty()));
    let arguments: Vec<&str> = settings
        .iter()
        .flat_map(|(flag, value)| [*flag, *value])
        .collect();
    parser()
        .run_inner(Args::from(arguments.as_slice()))
        .map_err(|failure| failure.unwrap_stderr())
}

/// Joins wrapped lines, since the wrapping depends on the length of paths.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[test]
fn valid_settings_are_taken() {
    let common = run(&[
        ("--link-idle-timeout", "1500ms"),
        ("--link-ping-interval", "500ms"),
    ])
    .unwrap();
    assert_eq!(common.secrets.list[0].as_bytes(), SECRET.as_bytes());
    assert_eq!(common.links.idle_timeout, Duration::from_millis(1500));
    let started = SystemTime::UNIX_EPOCH + Duration::from_millis(77);
    let identity = common.identity("entry-1".into(), Role::Entry, started);
    assert_eq!(identity.incarnation, Incarnation(77));
    assert!(!format!("{common:?}").contains(SECRET));
}

#[test]
fn help_names_every_flag_and_variable() {
    let help = parser().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn refusals_name_flag_value_and_what_is_allowed() {
    let missing = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("missing");
    let missing = missing.to_str().unwrap();
    let short = file("short", "too short");
    let cases: &[&[(&str, &str)]] = &[
        &[("--host", "")],
        &[("--host", "shop 1")],
        &[("--data-centre", "-east")],
        &[("--region", "r".repeat(65).leak())],
        &[("--incarnation", "-1")],
        &[("--platform-url", "127.0.0.1:7000")],
        &[("--platform-url", "http://127.0.0.1:7000/objects")],
        &[("--log-format", "xml")],
        &[("--log-level", "loud")],
        &[("--metrics-listen", "localhost")],
        &[("--counters-interval", "10")],
        &[("--counters-interval", "0s")],
        &[("--link-idle-timeout", "1s")],
        &[("--secret-file", "")],
        &[("--secret-file", missing)],
        &[("--secret-file", short.to_str().unwrap())],
        &[("--colour", "red")],
    ];
    let refusal = |case: &&[(&str, &str)]| one_line(&run(case).unwrap_err());
    let refusals: Vec<String> = cases.iter().map(refusal).collect();
    let shown = refusals
        .join("\n")
        .replace(env!("CARGO_TARGET_TMPDIR"), "TMP");
    assert!(!shown.contains("too short"));
    insta::assert_snapshot!(shown);
}
