//! Tests of the commands of `rosemarymoor` against a stand-in of the store.

mod environment;

use environment::{TestEnvironment, run};
use rosemarymoor_testutils::kv::Outage;

#[tokio::test]
async fn apply_puts_a_revision_in_force_and_credits_budgets_once() {
    let env = TestEnvironment::open().await;
    let first = env.apply(&[]).await.json();
    assert_eq!((&first["revision"], &first["credited_budgets"]), (&1.into(), &11.into()));
    let second = env.apply(&[]).await.json();
    assert_eq!((&second["revision"], &second["credited_budgets"]), (&2.into(), &0.into()));
    let budget = env.run(&["budget", "show", "care-homes/bulk", "--json"]).await.json();
    assert_eq!((&budget["prepaid"], &budget["free"]), (&25_000_000.into(), &25_000_000.into()));
}

#[tokio::test]
async fn history_names_authors_and_show_prints_what_is_in_force() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    env.write_config("95-late.ini", "[workspace phone-line]\nweight = 77\n");
    let applied = env.apply(&[]).await.json();
    assert_eq!(applied["differences"][0]["section"], "workspace phone-line");
    let history = env.run(&["config", "history", "--json"]).await.json();
    assert_eq!((&history[0]["revision"], &history[0]["author"]), (&2.into(), &"alice".into()));
    assert_eq!(history[1]["revision"], 1);
    let shown = env.run(&["config", "show"]).await.stdout;
    assert!(shown.contains("weight = 77"), "{shown}");
}

#[tokio::test]
async fn a_dry_run_shows_differences_and_changes_nothing() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    env.write_config("95-late.ini", "[workspace phone-line]\nweight = 77\n");
    let shown = env.apply(&["--dry-run"]).await.json();
    assert_eq!(shown[0]["kind"], "changed");
    assert_eq!(env.run(&["config", "history", "--json"]).await.json().as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn a_conflicting_apply_names_the_accepted_change() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    env.write_config("95-late.ini", "[workspace phone-line]\nweight = 77\n");
    let rejected = env.apply(&["--base", "0"]).await;
    assert_eq!(rejected.code, 1);
    assert!(rejected.stderr.contains("alice has changed the configuration to revision 1 first"));
    assert!(rejected.stderr.contains("changed [workspace phone-line]"), "{}", rejected.stderr);
}

#[tokio::test]
async fn lost_answers_neither_lose_nor_double_a_change() {
    let env = TestEnvironment::open().await;
    env.kv.set_faults(|faults| faults.lose_answers = 0.5);
    let applied = env.apply(&[]).await.json();
    assert_eq!(applied["revision"], 1);
    env.kv.set_faults(|faults| faults.lose_answers = 0.0);
    let budget = env.run(&["budget", "show", "care-homes/bulk", "--json"]).await.json();
    assert_eq!(budget["prepaid"], 25_000_000);
}

#[tokio::test]
async fn a_top_up_with_the_same_operation_credits_once() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    let first = env.run(&["budget", "top-up", "hinckley/general", "--tokens", "500", "--json"]);
    let first = first.await.json();
    assert_eq!(first["prepaid"], 1_500_500);
    let operation = first["operation"].as_str().unwrap();
    let args = ["budget", "top-up", "hinckley/general", "--tokens", "500", "--json", "--operation"];
    let repeated = env.run(&[&args[..], &[operation]].concat()).await.json();
    assert_eq!(repeated["prepaid"], 1_500_500);
}

#[tokio::test]
async fn create_opens_a_budget_of_a_known_workspace_once() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    let args = ["budget", "create", "hinckley/extra", "--tokens", "70", "--json"];
    assert_eq!(env.run(&args).await.json()["prepaid"], 70);
    assert_eq!(env.run(&args).await.json()["prepaid"], 70);
    let unknown = env.run(&["budget", "create", "nowhere/extra", "--tokens", "70"]).await;
    assert!(unknown.stderr.contains("no workspace `nowhere`"), "{}", unknown.stderr);
    let missing = env.run(&["budget", "top-up", "hinckley/none", "--tokens", "1"]).await;
    assert!(missing.stderr.contains("hint: open it with `rosemarymoor budget create`"));
}

#[tokio::test]
async fn an_outage_has_an_exit_code_of_its_own() {
    let env = TestEnvironment::open().await;
    env.apply(&[]).await;
    env.kv.set_faults(|faults| faults.outage = Some(Outage::Refuse));
    let output = env.run(&["config", "history"]).await;
    assert_eq!(output.code, 3, "{}", output.stderr);
}

#[tokio::test]
async fn generated_keys_are_valid_and_match_their_digests() {
    let generated = run(&["keygen", "--workspace", "--json"]).await.json();
    let key = generated["key"].as_str().unwrap();
    assert_eq!(generated["key_digest"], blake3_hex(key));
    let fleet = run(&["keygen", "--json"]).await.json();
    let opened =
        rosemarymoor_lib::fleet_key::FleetKey::from_base64(fleet["fleet_key"].as_str().unwrap());
    assert!(opened.is_ok());
}

fn blake3_hex(text: &str) -> String {
    rosemarymoor_lib::workspace_key::digest(text)
}

macro_rules! bad_arguments {
    ($($name:ident: $args:expr, $message:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let env = TestEnvironment::open().await;
            let output = env.run(&$args).await;
            assert_eq!(output.code, 2, "{}", output.stderr);
            assert!(output.stderr.contains($message), "{}", output.stderr);
        }
    )*};
}

bad_arguments! {
    no_command: [], "Commands:";
    unknown_command: ["bogus"], "unrecognized command `bogus`";
    unknown_option: ["status", "--bogus"], "unrecognized option";
    missing_folder: ["config", "check"], "missing required";
    bad_budget: ["budget", "show", "hinckley"], "`hinckley` is not a budget, as WORKSPACE/NAME";
    bad_tokens: ["budget", "top-up", "hinckley/general", "--tokens", "many"], "invalid";
    bad_operation: ["budget", "top-up", "a/b", "--tokens", "1", "--operation", "x!"], "is not an id";
    bad_request: ["explain", "not-hexadecimal"], "is not a request id";
    origin_of_the_store: ["config", "show", "--origin"], "not usable without a FOLDER";
    change_without_base: ["config", "apply", "examples", "--change", "ab"], "is not usable without `--base`";
}
