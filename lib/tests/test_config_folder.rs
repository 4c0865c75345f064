//! Folders of INI files: merging, origins of keys, and errors that name the file, line and reason.

use proptest::prelude::*;
use rosemarymoor_lib::config::{
    BudgetSettings, Config, ConfigFolder, PolicyName, Route, Target, TargetKind, Workspace,
};
use rosemarymoor_lib::ini::IniDocument;
use rosemarymoor_lib::wire::{Class, Price};

const BASE: &str = "\
[workspace land-office]
key_digests = 1111111111111111111111111111111111111111111111111111111111111111
routes = dossier, submit
default_budget = general
[budget land-office/general]
initial_tokens = 50_000
[route dossier]
kind = engine
class = long
targets = model-1
model = grant-writer
[route submit]
kind = application
class = action
targets = filing-1
price = 25
[target model-1]
kind = engine
host = host-1
data_center = wien-a
region = at-east
slots = 8
quick_slots = 2
models = grant-writer@3
[target filing-1]
kind = application
host = host-2
data_center = wien-b
region = at-east
slots = 4
";

fn open(files: &[(&str, &str)]) -> Result<ConfigFolder, String> {
    let parse = |(file, text): &(&str, &str)| IniDocument::parse(file, text);
    let documents: Result<Vec<IniDocument>, _> = files.iter().map(parse).collect();
    let documents = documents.map_err(|errors| errors.to_string())?;
    ConfigFolder::merge(documents).map_err(|errors| errors.to_string())
}

#[test]
fn a_folder_is_parsed_with_default_values() {
    let cfg = open(&[("a.ini", BASE)]).unwrap().config;
    assert_eq!(cfg.budget("land-office", "general").unwrap().initial_tokens, 50_000);
    let dossier = cfg.route("dossier").unwrap();
    assert_eq!((dossier.price, dossier.repeatable), (Price::Usage, true));
    assert_eq!(dossier.deadline_ms, 600_000);
    let submit = cfg.route("submit").unwrap();
    assert_eq!((submit.price, submit.repeatable), (Price::Fixed(25), false));
    assert_eq!(cfg.target("model-1").unwrap().models, ["grant-writer@3"]);
}

#[test]
fn a_later_file_overrides_single_keys_and_is_their_origin() {
    let later = "[target model-1]\nslots = 16\n[workspace land-office]\nweight = 3\n";
    let folder = open(&[("10-base.ini", BASE), ("90-late.ini", later)]).unwrap();
    let target = folder.config.target("model-1").unwrap();
    assert_eq!((target.slots, target.quick_slots), (16, 2));
    assert_eq!(folder.config.workspace("land-office").unwrap().weight, 3);
    let section = folder.sections.iter().find(|section| section.name == "target model-1").unwrap();
    assert_eq!(section.key("slots").unwrap().at.to_string(), "90-late.ini:2");
    assert_eq!(section.key("host").unwrap().at.to_string(), "10-base.ini:19");
}

#[test]
fn an_invalid_value_in_an_overriding_file_is_reported_at_its_line() {
    let later = "[target model-1]\n\nslots = many\n";
    let message = open(&[("10-base.ini", BASE), ("90-late.ini", later)]).unwrap_err();
    assert!(message.contains("90-late.ini:3: `slots = many` is not valid"), "{message}");
}

#[test]
fn a_folder_without_files_is_refused() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-ini-files");
    std::fs::create_dir_all(&path).unwrap();
    let message = ConfigFolder::open(&path).unwrap_err().to_string();
    assert!(message.contains("the folder has no .ini file"), "{message}");
}

macro_rules! refused {
    ($($name:ident: $from:literal => $to:literal, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            assert!(BASE.contains($from));
            let message = open(&[("a.ini", &BASE.replacen($from, $to, 1))]).unwrap_err();
            assert!(message.contains($message), "{message}");
        }
    )*};
}

refused! {
    unknown_kind_of_section: "[route dossier]" => "[rout dossier]", "a.ini:7: unknown section `[rout dossier]`";
    section_without_name: "[route dossier]" => "[route]", "a.ini:7: unknown section `[route]`";
    budget_without_workspace: "[budget land-office/general]" => "[budget general]", "a.ini:5: unknown section";
    bad_name: "[workspace land-office]" => "[workspace land office]", "a.ini:1: `land office` is not a name";
    unknown_key: "slots = 4" => "slot = 4", "a.ini:30: unknown key `slot` in `[target filing-1]`\n  hint: did you mean `slots`?";
    missing_key: "slots = 4" => "", "a.ini:25: `[target filing-1]` lacks the key `slots`";
    zero_slots: "slots = 4" => "slots = 0", "a.ini:30: `slots = 0` is not valid\n  hint: give a number from 1 to 65536";
    negative_tokens: "50_000" => "-1", "a.ini:6: `initial_tokens = -1` is not valid";
    too_many_tokens: "50_000" => "9000000000000000", "a.ini:6: `initial_tokens = 9000000000000000` is not valid";
    key_in_place_of_digest: "1111111111111111111111111111111111111111111111111111111111111111" => "my-secret", "a.ini:2: `key_digests` holds something that is not a BLAKE3 digest";
    dangling_route: "routes = dossier, submit" => "routes = dosier, submit", "a.ini:3: route `dosier` does not exist\n  hint: did you mean `dossier`?";
    dangling_budget: "default_budget = general" => "default_budget = special", "a.ini:4: budget `special` does not exist\n  hint: known are: general";
    dangling_workspace: "[budget land-office/general]" => "[budget land/general]", "a.ini:5: workspace `land` does not exist";
    dangling_target: "targets = model-1" => "targets = model-2", "a.ini:10: target `model-2` does not exist\n  hint: did you mean `model-1`?";
    wrong_kind_of_target: "targets = filing-1" => "targets = model-1", "a.ini:15: target `model-1` is an engine, the route needs an application";
    model_not_loaded: "model = grant-writer" => "model = other", "a.ini:11: target `model-1` does not load model `other`";
    repeatable_action: "class = action" => "class = action\nrepeatable = yes", "a.ini:15: an action runs at most once";
    application_without_price: "price = 25" => "", "a.ini:12: `[route submit]` lacks the key `price`";
    application_priced_by_usage: "price = 25" => "price = usage", "a.ini:16: `price = usage` is not valid";
    application_with_model: "price = 25" => "price = 25\nmodel = x", "a.ini:17: an application route has no model";
    engine_without_model: "model = grant-writer\n" => "", "a.ini:7: `[route dossier]` lacks the key `model`";
    all_slots_quick: "quick_slots = 2" => "quick_slots = 8", "a.ini:23: all slots are kept for class quick";
    shared_host: "host = host-2" => "host = host-1", "a.ini:19: target `filing-1` is on host `host-1`, too";
    bad_flag: "slots = 4" => "slots = 4\nchecks_fencing = true", "`checks_fencing = true` is not valid\n  hint: give one of yes, no";
    bad_class: "class = long" => "class = slow", "a.ini:9: `class = slow` is not valid\n  hint: give one of quick, long, check, action";
    repeated_section: "[route submit]" => "[route  dossier]", "a.ini:12: `route dossier` occurs twice, first at a.ini:7";
    key_before_the_first_section: "[workspace" => "x = 1\n[workspace", "a.ini:1: key `x` stands before the first section";
    line_without_value: "slots = 4" => "slots", "a.ini:30: not INI: there is no `=`";
}

#[test]
fn a_key_in_place_of_a_digest_is_not_printed() {
    let text = BASE.replace(&"1".repeat(64), "my-secret");
    let message = open(&[("a.ini", &text)]).unwrap_err();
    assert!(!message.contains("my-secret"), "{message}");
}

#[test]
fn two_workspaces_with_one_key_are_refused() {
    let later = format!("[workspace other]\nkey_digests = {}\n", "1".repeat(64));
    let message = open(&[("a.ini", BASE), ("b.ini", &later)]).unwrap_err();
    assert!(message.contains("b.ini:2: workspace `land-office` has the same key"), "{message}");
}

/// Returns valid configurations of up to 19 targets, 8 routes and 8 workspaces.
fn any_config() -> impl Strategy<Value = Config> {
    let target =
        (0..50_u32, any::<bool>(), 2..100_u32).prop_map(|(number, checks, slots)| Target {
            name: format!("model-{number}"),
            kind: TargetKind::Engine,
            host: format!("host-{number}"),
            data_center: "wien-a".to_owned(),
            region: "at-east".to_owned(),
            slots,
            quick_slots: slots / 2,
            checks_fencing: checks,
            models: vec!["m".to_owned(), "m@2".to_owned()],
        });
    let fields = (0..9_u32, 0..4_usize, 1..1_000_u64, proptest::option::of(1..9_u64));
    let route = fields.prop_map(|(number, class, tokens, max_prompt_tokens)| Route {
        name: format!("route-{number}"),
        kind: TargetKind::Engine,
        class: [Class::Quick, Class::Long, Class::Check, Class::Action][class],
        repeatable: class != 3,
        targets: Vec::new(),
        model: "m".to_owned(),
        price: if class == 0 { Price::Usage } else { Price::Fixed(tokens) },
        max_body_bytes: tokens,
        max_prompt_tokens,
        max_tokens: tokens,
        deadline_ms: 50 + tokens,
        retry_window_ms: tokens,
        policy: PolicyName::TwoChoices,
        retry_percent: 7,
    });
    let targets = proptest::collection::vec(target, 0..20);
    let routes = proptest::collection::vec(route, 0..9);
    (targets, routes, 0..9_u32).prop_map(|(targets, routes, workspaces)| {
        let mut cfg = Config { targets, routes, ..Config::default() };
        cfg.sort();
        cfg.targets.dedup_by(|a, b| a.name == b.name);
        cfg.routes.dedup_by(|a, b| a.name == b.name);
        let names: Vec<String> = cfg.targets.iter().map(|target| target.name.clone()).collect();
        cfg.routes.iter_mut().for_each(|route| route.targets = names.clone());
        for number in 0..workspaces {
            cfg.workspaces.push(Workspace {
                name: format!("w-{number}"),
                key_digests: vec![format!("{number:064x}")],
                routes: cfg.routes.iter().map(|route| route.name.clone()).collect(),
                default_budget: (number % 2 == 0).then(|| "b".to_owned()),
                weight: number + 1,
            });
            let (workspace, name) = (format!("w-{number}"), "b".to_owned());
            cfg.budgets.push(BudgetSettings { workspace, name, initial_tokens: 5 });
        }
        cfg.sort();
        cfg
    })
}

proptest! {
    #[test]
    fn a_config_written_as_ini_is_read_back_equal(cfg in any_config()) {
        let folder = open(&[("a.ini", &cfg.to_ini())]).unwrap();
        prop_assert_eq!(folder.config, cfg);
    }

    #[test]
    fn arbitrary_text_is_read_or_refused(text in "[\\[\\]a-z =:;#\"\\\\\n]{0,200}") {
        if let Err(message) = open(&[("a.ini", &text)]) {
            prop_assert!(message.contains("a.ini:"), "{}", message);
        }
    }
}
