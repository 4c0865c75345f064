//! Environment for tests that run the real binary against a stand-in of the platform's store.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::path::{Path, PathBuf};

use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_testutils::kv::KvStandIn;
use rosemarymoor_testutils::temp_folder::TempFolder;
use serde_json::Value;
use tokio::process::Command;

/// Stand-in of the store, operator's settings and a copy of an example configuration.
pub struct TestEnvironment {
    pub kv: KvStandIn,
    folder: TempFolder,
}

/// Exit code and output of a command.
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Returns the JSON that the command printed; panics if it printed none.
    pub fn json(&self) -> Value {
        serde_json::from_str(self.stdout.trim())
            .unwrap_or_else(|err| panic!("{err}: {} {}", self.stdout, self.stderr))
    }
}

impl TestEnvironment {
    /// Starts the store and writes the settings and the configuration.
    pub async fn open() -> TestEnvironment {
        let env = TestEnvironment {
            kv: KvStandIn::bind(1).await.unwrap(),
            folder: TempFolder::open().unwrap(),
        };
        let (key, url) = (FleetKey::generate().unwrap(), env.kv.server().url());
        let settings = format!(
            "[operator]\nname = alice\nfleet_key = {key}\n[platform]\nkv = {url}\nhosts = {url}/hosts\n"
        );
        std::fs::write(env.settings(), settings).unwrap();
        std::fs::create_dir(env.config_folder()).unwrap();
        for entry in std::fs::read_dir(example("shires-table/config")).unwrap() {
            let entry = entry.unwrap();
            std::fs::copy(entry.path(), env.config_folder().join(entry.file_name())).unwrap();
        }
        env
    }

    /// Returns the path of the configuration folder.
    pub fn config_folder(&self) -> PathBuf {
        self.folder.path().join("config")
    }

    /// Adds a file to the configuration folder.
    pub fn write_config(&self, name: &str, text: &str) {
        std::fs::write(self.config_folder().join(name), text).unwrap();
    }

    /// Runs the binary with the environment's settings.
    pub async fn run(&self, args: &[&str]) -> CommandOutput {
        let settings = self.settings();
        let mut all_args = vec!["--settings", settings.to_str().unwrap()];
        all_args.extend(args);
        run(&all_args).await
    }

    /// Runs `config apply --json` on the environment's configuration folder.
    pub async fn apply(&self, args: &[&str]) -> CommandOutput {
        let folder = self.config_folder();
        let mut all_args = vec!["config", "apply", folder.to_str().unwrap(), "--json"];
        all_args.extend(args);
        self.run(&all_args).await
    }

    fn settings(&self) -> PathBuf {
        self.folder.path().join("rosemarymoor.ini")
    }
}

/// Runs the binary with the given arguments.
pub async fn run(args: &[&str]) -> CommandOutput {
    let output =
        Command::new(env!("CARGO_BIN_EXE_rosemarymoor")).args(args).output().await.unwrap();
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns a path below `examples/`.
pub fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(path)
}
