//! Stores the targets of a keeper on its disk, so that it can list them right after a restart.
//!
//! The file may lack the latest changes. Restored targets that do not announce themselves again
//! are removed soon.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Arc,
    time::Duration,
};

use fulmarweir_fleet::TargetAnnouncement;
use fulmarweir_wire::{decode_message, encode_message};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use super::keeper::KeeperNode;

const FILE_NAME: &str = "targets";
const TEMPORARY_NAME: &str = "targets.tmp";
/// Period of the checks for changes, in milliseconds.
const WRITE_PERIOD_MS: u64 = 500;

/// Restores the targets of an earlier run, then writes changes until stopped.
pub(crate) async fn run_target_file(node: Arc<KeeperNode>, stop: CancellationToken) {
    let Some(folder) = node.settings.data_folder.clone() else {
        return;
    };
    if let Some(announcements) = read_targets(&folder) {
        node.restore_targets(announcements);
    }
    let mut written = 0;
    let mut failing = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(WRITE_PERIOD_MS)) => {}
        }
        let Some((revision, announcements)) = node.changed_targets(written) else {
            continue;
        };
        let task_folder = folder.clone();
        // A stalled disk blocks only this task, not the event loop.
        let result =
            tokio::task::spawn_blocking(move || write_targets(&task_folder, &announcements)).await;
        let fault = match result {
            Ok(Ok(())) => {
                written = revision;
                None
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(error) => Some(error.to_string()),
        };
        match &fault {
            Some(fault) if !failing => warn!(node.log, "targets-not-written"; "fault" => fault),
            None if failing => info!(node.log, "targets-written-again"; "revision" => revision),
            _ => {}
        }
        failing = fault.is_some();
    }
}

fn read_targets(folder: &Path) -> Option<Vec<TargetAnnouncement>> {
    let bytes = std::fs::read(folder.join(FILE_NAME)).ok()?;
    // An unreadable file is ignored, as the targets announce themselves again.
    decode_message(&bytes).ok()
}

fn write_targets(folder: &Path, announcements: &[TargetAnnouncement]) -> io::Result<()> {
    let bytes = encode_message(&announcements.to_vec()).map_err(io::Error::other)?;
    std::fs::create_dir_all(folder)?;
    let temporary = folder.join(TEMPORARY_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    // Without syncing the file and the folder, a power failure could leave an older file or none.
    file.sync_all()?;
    std::fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
