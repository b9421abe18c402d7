//! Tests of parsing and validating settings.

use super::*;

const EXAMPLE: &str = include_str!("../../tests/settings.toml");

#[test]
fn example_settings_are_parsed_and_unknown_fields_ignored() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.site.teams[0].gpus_max, 20.0);
    Settings::parse(&format!("novel = 1\n{EXAMPLE}")).unwrap();
}

#[test]
fn errors_name_the_invalid_field() {
    for (valid, invalid, field) in [
        (
            "zones = [\"east\", \"west\", \"north\"]",
            "zones = []",
            "zones",
        ),
        ("lease_s = 40.0", "lease_s = 0.0", "lease_s"),
        ("member = \"node-1\"", "member = \"node-0\"", "member"),
        ("10.0.0.1:8080", "localhost:8080", "public_addr"),
        ("gpus = 10.0", "gpus = 30.0", "teams.red.gpus"),
        ("txn_ops = 16", "txn_ops = \"x\"", "line"),
        ("cpu_share = 0.2", "cpu_share = -0.2", "quota.cpu_share"),
        ("mem_mb = 200.0", "mem_mb = nan", "quota.mem_mb"),
        ("mem_mb = 200.0", "mem_mb = 1.0", "quota.mem_mb"),
    ] {
        let text = EXAMPLE.replacen(valid, invalid, 1);
        assert_ne!(text, EXAMPLE, "{valid}");
        let error = Settings::parse(&text).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'));
    }
}
