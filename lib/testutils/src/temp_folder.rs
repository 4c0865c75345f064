//! Temporary folder for the files of one test or run, removed when it is dropped.

use std::io;
use std::path::{Path, PathBuf};

/// Folder with a random name under the system's temporary folder.
///
/// Dropping it removes the folder with its content.
pub struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Creates an empty folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created.
    pub fn open() -> io::Result<TempFolder> {
        let name = format!("rosemarymoor-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder { path })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
