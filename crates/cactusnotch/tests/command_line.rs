//! The command line, tried with the binary itself.

use std::process::Command;

#[test]
fn a_wrong_address_is_refused_with_its_flag_and_value() {
    let output = Command::new(env!("CARGO_BIN_EXE_cactusnotch"))
        .env(
            "CACTUSNOTCH_SECRET",
            "a secret for tests on loopback, 32 bytes",
        )
        .args([
            "entry",
            "--host",
            "h",
            "--data-centre",
            "d",
            "--region",
            "r",
        ])
        .args(["--platform-url", "http://127.0.0.1:9"])
        .args(["--operator-listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0"])
        .args(["--listen", "nonsense"])
        .output()
        .unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        errors.contains("--listen") && errors.contains("nonsense"),
        "{errors}"
    );
}
