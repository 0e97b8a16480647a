//! The command line of the agent.

use std::process::{Command, Output};

const SECRET: &str = "a secret for trials on loopback, at least 32 bytes";

fn run(arguments: &[&str], secret: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactusnotch-agent"))
        .args(arguments)
        .env("CACTUSNOTCH_SECRET", secret)
        .output()
        .unwrap()
}

fn arguments() -> Vec<&'static str> {
    vec![
        "--host=h",
        "--data-centre=dc",
        "--region=r",
        "--platform-url=http://127.0.0.1:9",
        "--peer-listen=127.0.0.1:0",
        "--endpoint=engine-1",
        "--engine-url=http://127.0.0.1:9",
    ]
}

#[test]
fn help_names_every_flag() {
    let output = run(&["--help"], SECRET);
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}

#[test]
fn wrong_settings_are_refused_at_start() {
    let cases = [
        ("--peer-listen=nonsense", ["--peer-listen", "nonsense"]),
        ("--slots=0", ["--slots", "at least 1"]),
        ("--platform-url=ftp://x", ["--platform-url", "http://"]),
        ("--plan-interval=soon", ["--plan-interval", "1500ms"]),
    ];
    for (flag, parts) in cases {
        let mut arguments = arguments();
        let name = flag.split('=').next().unwrap();
        arguments.retain(|argument| !argument.starts_with(name));
        arguments.push(flag);
        let output = run(&arguments, SECRET);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{flag} was taken");
        for part in parts {
            assert!(error.contains(part), "{part} is missing in: {error}");
        }
    }
    let output = run(&arguments(), "short");
    assert!(!output.status.success(), "a short secret was taken");
}
