//! Tests that the example files of the repository and the INI blocks of its documentation are
//! valid.

use std::{
    fs,
    path::{Path, PathBuf},
};

use fulmarweir_conf::{CompiledConfig, VmSettings};

const SERVICES_FILE: &str = "services.ini";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example_files(folder: &str) -> Vec<PathBuf> {
    let folder = root().join("examples").join(folder);
    let entries = fs::read_dir(folder).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

/// Returns the fenced `ini` blocks of a Markdown page.
fn ini_blocks(page: &str) -> Vec<&str> {
    let starts = page.split("```ini\n").skip(1);
    starts.filter_map(|rest| rest.split("```").next()).collect()
}

#[test]
fn example_files_are_valid() {
    for folder in ["permits-office", "consorcio"] {
        let files = example_files(folder);
        assert_eq!(files.len(), 3);
        for file in files {
            if file.ends_with(SERVICES_FILE) {
                let text = fs::read_to_string(&file).unwrap();
                let config = CompiledConfig::compile(1, &text).unwrap();
                assert_eq!(config.services.len(), 27);
            } else {
                VmSettings::read(&file).unwrap();
            }
        }
    }
}

#[test]
fn documented_texts_are_valid() {
    let page = fs::read_to_string(root().join("docs/CONFIG.md")).unwrap();
    let blocks = ini_blocks(&page);
    assert_eq!(blocks.len(), 2);
    VmSettings::parse("CONFIG.md", blocks[0]).unwrap();
    CompiledConfig::compile(1, blocks[1]).unwrap();
}
