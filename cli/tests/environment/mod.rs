//! The real binary against a stand-in of the platform's store.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::path::{Path, PathBuf};

use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_testutils::kv::KvStandIn;
use rosemarymoor_testutils::temp_folder::TempFolder;
use serde_json::Value;
use tokio::process::Command;

/// Store, settings and a copy of an example folder.
pub struct TestEnvironment {
    pub kv: KvStandIn,
    folder: TempFolder,
}

/// How a command ended.
pub struct Ended {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Ended {
    /// The JSON that the command printed.
    pub fn json(&self) -> Value {
        serde_json::from_str(self.stdout.trim())
            .unwrap_or_else(|err| panic!("{err}: {} {}", self.stdout, self.stderr))
    }
}

impl TestEnvironment {
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

    pub fn config_folder(&self) -> PathBuf {
        self.folder.path().join("config")
    }

    /// Adds a file to the configuration folder.
    pub fn write_config(&self, name: &str, text: &str) {
        std::fs::write(self.config_folder().join(name), text).unwrap();
    }

    /// Runs the binary with the environment's settings.
    pub async fn run(&self, words: &[&str]) -> Ended {
        let settings = self.settings();
        let mut all = vec!["--settings", settings.to_str().unwrap()];
        all.extend(words);
        run(&all).await
    }

    /// Runs `config apply` over the environment's folder.
    pub async fn apply(&self, words: &[&str]) -> Ended {
        let folder = self.config_folder();
        let mut all = vec!["config", "apply", folder.to_str().unwrap(), "--json"];
        all.extend(words);
        self.run(&all).await
    }

    fn settings(&self) -> PathBuf {
        self.folder.path().join("rosemarymoor.ini")
    }
}

/// Runs the binary.
pub async fn run(words: &[&str]) -> Ended {
    let output =
        Command::new(env!("CARGO_BIN_EXE_rosemarymoor")).args(words).output().await.unwrap();
    Ended {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Path below `examples/`.
pub fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(path)
}
