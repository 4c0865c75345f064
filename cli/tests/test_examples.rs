//! Tests that the folders under `examples/` are valid and have the sizes of their
//! organisations.

mod environment;

use environment::{example, run};
use rosemarymoor_daemon::settings::Settings;
use rosemarymoor_lib::config::{ConfigFolder, TargetKind};
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::ini::IniDocument;

/// Sizes that the brief gives for an organisation.
struct Sizes {
    data_centers: usize,
    engines: usize,
    applications: usize,
}

macro_rules! examples {
    ($($name:ident: $folder:literal, $sizes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_config($folder, $sizes).await;
            check_settings($folder, $sizes);
        }
    )*};
}

examples! {
    barrierefrei: "barrierefrei", Sizes { data_centers: 4, engines: 20, applications: 4 };
    shires_table: "shires-table", Sizes { data_centers: 3, engines: 12, applications: 3 };
}

async fn check_config(organisation: &str, sizes: Sizes) {
    let folder = example(organisation).join("config");
    let output = run(&["config", "check", folder.to_str().unwrap(), "--json"]).await;
    assert_eq!(output.code, 0, "{}", output.stderr);
    assert_eq!(output.json()["workspaces"], 10);
    let cfg = ConfigFolder::open(&folder).unwrap().config;
    let count = |kind| cfg.targets.iter().filter(|target| target.kind == kind).count();
    assert_eq!(count(TargetKind::Engine), sizes.engines);
    assert_eq!(count(TargetKind::Application), sizes.applications);
    let mut data_centers: Vec<&str> =
        cfg.targets.iter().map(|target| target.data_center.as_str()).collect();
    data_centers.sort_unstable();
    data_centers.dedup();
    assert_eq!(data_centers.len(), sizes.data_centers);
}

fn check_settings(organisation: &str, sizes: Sizes) {
    let cfg = ConfigFolder::open(&example(organisation).join("config")).unwrap().config;
    let mut entries = 0;
    for file in std::fs::read_dir(example(organisation).join("settings")).unwrap() {
        let path = file.unwrap().path();
        if path.ends_with("operator.ini") {
            continue;
        }
        // The examples contain no real key, which might be copied into use.
        let text = std::fs::read_to_string(&path).unwrap();
        let text = text.replace("REPLACE-ME", &FleetKey::generate().unwrap());
        let document = IniDocument::parse(path.to_str().unwrap(), &text).unwrap();
        let settings = Settings::from_document(&document).unwrap();
        entries += usize::from(settings.role == Role::Entry);
        if let Some(target) = settings.target {
            let target = cfg.target(&target.name).unwrap();
            assert_eq!(
                (&target.host, &target.data_center),
                (&settings.name, &settings.data_center)
            );
        }
    }
    assert_eq!(entries, sizes.data_centers);
}

#[tokio::test]
async fn a_settings_file_with_the_placeholder_is_refused() {
    let path = example("shires-table/settings/entry-leics.ini");
    let message = Settings::open(&path).unwrap_err().to_string();
    assert!(message.contains("rosemarymoor keygen"), "{message}");
}
