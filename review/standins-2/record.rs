//! Record of a case: what was sent, answered and run, with the milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    path: PathBuf,
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record { path: path.to_owned(), file: Mutex::new(file), start: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns what has been written so far.
    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.path).unwrap_or_default()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
