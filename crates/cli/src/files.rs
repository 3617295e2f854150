//! Reading of object files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use auburnsaddle_core::{ObjectLoader, ObjectReport};
use snafu::{ResultExt, Snafu};

/// Maximum depth of subdirectories that are read. Bounds the recursion if
/// symbolic links form a cycle.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// A file or directory that cannot be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("cannot read {path}: {source}; check the path and its permissions"))]
pub(crate) struct FileError {
    path: String,
    source: io::Error,
}

/// Reads all `.toml` files below a directory and validates them as one set, in
/// the order of their paths.
pub(crate) fn read_objects(directory: &str) -> Result<ObjectReport, FileError> {
    let mut paths = Vec::new();
    collect_paths(Path::new(directory), MAX_DIRECTORY_DEPTH, &mut paths)?;
    paths.sort();
    let mut loader = ObjectLoader::default();
    for path in paths {
        let name = path.display().to_string();
        let text = fs::read_to_string(&path).context(FileSnafu { path: &name })?;
        loader.add(&name, &text);
    }
    Ok(loader.finish())
}

/// Collects the paths of the `.toml` files below a directory. Skips hidden files
/// and directories, such as those of a version control system.
fn collect_paths(
    directory: &Path,
    remaining_depth: usize,
    paths: &mut Vec<PathBuf>,
) -> Result<(), FileError> {
    let name = directory.display().to_string();
    for entry in fs::read_dir(directory).context(FileSnafu { path: &name })? {
        let path = entry.context(FileSnafu { path: &name })?.path();
        let is_toml = path
            .extension()
            .is_some_and(|extension| extension == "toml");
        let is_hidden = path
            .file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with('.'));
        match path.is_dir() {
            _ if is_hidden => {}
            true if remaining_depth > 0 => collect_paths(&path, remaining_depth - 1, paths)?,
            false if is_toml => paths.push(path),
            _ => {}
        }
    }
    Ok(())
}
