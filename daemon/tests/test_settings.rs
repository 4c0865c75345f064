//! Settings files: valid ones, and the position and reason of errors in invalid ones.

use rosemarymoor_daemon::settings::Settings;
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::ini::IniDocument;

const VALID: &str = "\
[process]
name = entry-1
role = entry
data_center = wien-a
region = at-east
quic = 127.0.0.1:7000
http = 127.0.0.1:8000
fleet_key = FLEET_KEY
[platform]
kv = http://127.0.0.1:2379
hosts = http://127.0.0.1:2380/hosts
";

/// Reads a settings text, with a valid key in place of `FLEET_KEY`.
fn open(text: &str) -> Result<Settings, String> {
    let text = text.replace("FLEET_KEY", &FleetKey::generate().unwrap());
    let document = IniDocument::parse("a.ini", &text).map_err(|err| err.to_string())?;
    Settings::from_document(&document).map_err(|err| err.to_string())
}

#[test]
fn a_valid_file_is_read_with_its_defaults() {
    let settings = open(VALID).unwrap();
    assert_eq!(settings.role, Role::Entry);
    assert_eq!((settings.drain_ms, settings.budgets.shards), (600_000, 64));
    assert_eq!(settings.budgets.policy, "adaptive");
    assert!(settings.target.is_none());
}

/// Defines a test for each faulty change of [`VALID`] and the message expected for it.
macro_rules! refused {
    ($($name:ident: $from:literal => $to:literal, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            assert!(VALID.contains($from));
            let message = open(&VALID.replace($from, $to)).unwrap_err();
            assert!(message.contains($message), "{message}");
        }
    )*};
}

refused! {
    unknown_key: "region =" => "rgion =", "a.ini:5: unknown key `rgion` in `[process]`\n  hint: did you mean `region`?";
    missing_key: "region = at-east\n" => "", "a.ini:1: `[process]` lacks the key `region`";
    empty_value: "region = at-east" => "region =", "a.ini:5: `region = ` is not valid";
    unknown_section: "[platform]" => "[platfrom]", "a.ini:9: unknown section `[platfrom]`\n  hint: did you mean `platform`?";
    missing_section: "[platform]" => "[platfrom]", "section `[platform]` is missing";
    bad_role: "role = entry" => "role = router", "a.ini:3: `role = router` is not valid\n  hint: give one of entry, sidecar";
    bad_address: "127.0.0.1:7000" => "here", "a.ini:6: `quic = here` is not valid";
    bad_url: "http://127.0.0.1:2379" => "127.0.0.1:2379", "a.ini:10: `kv = 127.0.0.1:2379` is not valid";
    bad_fleet_key: "FLEET_KEY" => "secret", "a.ini:8: `fleet_key` is not a fleet key";
    out_of_range: "[platform]" => "[budgets]\nshards = 0\n[platform]", "a.ini:10: `shards = 0` is not valid\n  hint: give a number from 1 to 65536";
    repeated_key: "role = entry" => "role = entry\nrole = entry", "a.ini:4: `role` occurs twice, first at a.ini:3";
    sidecar_without_target: "role = entry" => "role = sidecar", "section `[target]` is missing";
    entry_with_target: "[platform]" => "[target]\nname = x\n[platform]", "a.ini:9: an entry has no `[target]` section";
    not_ini: "[platform]" => "[platform", "a.ini:9: not INI";
}

#[test]
fn a_refused_fleet_key_is_not_printed() {
    let message = open(&VALID.replace("FLEET_KEY", "secret")).unwrap_err();
    assert!(!message.contains("secret"), "{message}");
}
