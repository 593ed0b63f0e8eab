//! Stores what a keeper has learnt on its disk, so that it knows it right after a restart.
//!
//! The files may lack the latest changes, except for those that were waited for with
//! [`StateFile::wait_written`]. Restored targets that do not announce themselves again are removed soon;
//! what is missing of the quarantine, VMs and other keepers tell again.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Arc,
    time::Duration,
};

use fulmarweir_fleet::TargetAnnouncement;
use fulmarweir_route::QuarantineEntry;
use fulmarweir_wire::{decode_message, encode_message};
use serde::{Serialize, de::DeserializeOwned};
use slog::{info, warn};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::{keeper::KeeperNode, vm_message::EvacuationState};

const TARGETS_FILE: &str = "targets";
const QUARANTINE_FILE: &str = "quarantine";
const EVACUATIONS_FILE: &str = "evacuations";
/// Period of the checks for changes that nobody waits for, in milliseconds.
const WRITE_PERIOD_MS: u64 = 500;

/// Lets other tasks wait until a change is on the disk.
#[derive(Debug, Default)]
pub(super) struct StateFile {
    /// Wakes the task that writes the file.
    is_awaited: Notify,
    /// Revision of the state on the disk.
    written: watch::Sender<u64>,
}

impl StateFile {
    /// Waits until a state of at least this revision is on the disk.
    pub(super) async fn wait_written(&self, revision: u64) {
        self.is_awaited.notify_one();
        let mut written = self.written.subscribe();
        // The sender lives as long as `self`.
        let _ = written.wait_for(|written| *written >= revision).await;
    }
}

/// Restores the targets of an earlier run, then writes changes until stopped.
pub(crate) async fn run_target_file(node: Arc<KeeperNode>, stop: CancellationToken) {
    let restored: Option<Vec<TargetAnnouncement>> = read_state(&node, TARGETS_FILE);
    if let Some(announcements) = restored {
        node.restore_targets(announcements);
    }
    let changed = |revision| node.changed_targets(revision);
    write_changes(&node, (TARGETS_FILE, &node.target_file), stop, changed).await;
}

/// Restores the requests that an earlier run held back, then writes changes until stopped.
pub(crate) async fn run_quarantine_file(node: Arc<KeeperNode>, stop: CancellationToken) {
    let restored: Option<Vec<QuarantineEntry>> = read_state(&node, QUARANTINE_FILE);
    if let Some(entries) = restored {
        info!(node.log, "quarantine-restored"; "requests" => entries.len());
        node.merge_quarantine(&entries, "disk");
    }
    let changed = |revision| node.changed_quarantine(revision);
    write_changes(
        &node,
        (QUARANTINE_FILE, &node.quarantine_file),
        stop,
        changed,
    )
    .await;
}

/// Restores the evacuations that an earlier run knew to be decided, then writes changes until stopped.
///
/// They may be out of date. Until a majority of the voters has confirmed newer ones, they are better
/// than none.
pub(crate) async fn run_evacuations_file(node: Arc<KeeperNode>, stop: CancellationToken) {
    let restored: Option<EvacuationState> = read_state(&node, EVACUATIONS_FILE);
    if let Some(state) = restored {
        node.learn_evacuations(&state, "disk");
    }
    let changed = |version| node.changed_evacuations(version);
    write_changes(
        &node,
        (EVACUATIONS_FILE, &StateFile::default()),
        stop,
        changed,
    )
    .await;
}

/// Writes a state to a file whenever its revision has changed, until stopped.
async fn write_changes<T: Serialize + Send + 'static>(
    node: &KeeperNode,
    (name, file): (&'static str, &StateFile),
    stop: CancellationToken,
    changed: impl Fn(u64) -> Option<(u64, T)>,
) {
    let Some(folder) = node.settings.data_folder.clone() else {
        return;
    };
    let mut written = 0;
    let mut failing = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(WRITE_PERIOD_MS)) => {}
            () = file.is_awaited.notified(), if !failing => {}
        }
        let Some((revision, state)) = changed(written) else {
            continue;
        };
        let task_folder = folder.clone();
        // A stalled disk blocks only this task, not the event loop.
        let result =
            tokio::task::spawn_blocking(move || write_state(&task_folder, name, &state)).await;
        let fault = match result {
            Ok(Ok(())) => {
                written = revision;
                file.written.send_replace(revision);
                None
            }
            Ok(Err(error)) => Some(error.to_string()),
            Err(error) => Some(error.to_string()),
        };
        match &fault {
            Some(fault) if !failing => {
                warn!(node.log, "{}-not-written", name; "fault" => fault);
            }
            None if failing => {
                info!(node.log, "{}-written-again", name; "revision" => revision);
            }
            _ => {}
        }
        failing = fault.is_some();
    }
}

/// Reads a state. An unreadable file is ignored, as others tell its content again.
fn read_state<T: DeserializeOwned>(node: &KeeperNode, name: &str) -> Option<T> {
    let path = node.settings.data_folder.as_ref()?.join(name);
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => {
            warn!(node.log, "{}-not-read", name; "fault" => %error);
            return None;
        }
    };
    match decode_message(&bytes) {
        Ok(state) => Some(state),
        Err(error) => {
            warn!(node.log, "{}-not-read", name; "fault" => %error);
            None
        }
    }
}

fn write_state<T: Serialize>(folder: &Path, name: &str, state: &T) -> io::Result<()> {
    let bytes = encode_message(state).map_err(io::Error::other)?;
    std::fs::create_dir_all(folder)?;
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    // Without syncing the file and the folder, a power failure could leave an older file or none.
    file.sync_all()?;
    std::fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}
