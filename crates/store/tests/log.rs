//! Tests of the durable log: its recovery after crashes, damage and failed file operations.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use fulmarweir_store::{FileOperation, FileOps, InjectedFault, LogStore, StoreError};

static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmarweir-store-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(number: u32) -> Vec<u8> {
    number.to_le_bytes().to_vec()
}

fn open(path: &Path, ops: FileOps) -> Result<(LogStore, Vec<u32>), StoreError> {
    let mut replayed = Vec::new();
    let store = LogStore::open(path, ops, 1, |record| {
        replayed.push(u32::from_le_bytes(record.try_into().unwrap()));
    });
    match store {
        Ok(store) => Ok((store, replayed)),
        Err(report) => Err(*report.current_context()),
    }
}

fn log_file(path: &Path) -> PathBuf {
    let entries = fs::read_dir(path)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let is_log = |path: &PathBuf| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with("log-")
    };
    entries.filter(is_log).max().unwrap()
}

fn append_numbers(path: &Path, count: u32) {
    let (store, _) = open(path, FileOps::default()).unwrap();
    for number in 0..count {
        store.append(record(number)).wait_blocking().unwrap();
    }
}

#[test]
fn second_open_fails_while_the_folder_is_locked() {
    let folder = TempFolder::new();
    let (store, _) = open(&folder.0, FileOps::default()).unwrap();
    assert_eq!(
        open(&folder.0, FileOps::default()).unwrap_err(),
        StoreError::Locked
    );
    drop(store);
    assert!(open(&folder.0, FileOps::default()).is_ok());
}

#[test]
fn identity_is_kept_when_the_log_is_reopened() {
    let folder = TempFolder::new();
    let first = LogStore::open(&folder.0, FileOps::default(), 5, |_| {}).unwrap();
    assert_eq!(first.identity(), 5);
    drop(first);
    let second = LogStore::open(&folder.0, FileOps::default(), 6, |_| {}).unwrap();
    assert_eq!(second.identity(), 5);
}

#[test]
fn queued_records_share_a_sync() {
    let folder = TempFolder::new();
    let syncs = Arc::new(AtomicUsize::new(0));
    let gate = Arc::new(Mutex::new(()));
    let ops = {
        let (syncs, gate) = (Arc::clone(&syncs), Arc::clone(&gate));
        FileOps::with_faults(Arc::new(move |operation| {
            if operation == FileOperation::SyncFile {
                drop(gate.lock().unwrap());
                syncs.fetch_add(1, Ordering::Relaxed);
            }
            None
        }))
    };
    let (store, _) = open(&folder.0, ops).unwrap();
    let before = syncs.load(Ordering::Relaxed);
    let gate_guard = gate.lock().unwrap();
    let receipts: Vec<_> = (0..100)
        .map(|number| store.append(record(number)))
        .collect();
    drop(gate_guard);
    for receipt in receipts {
        receipt.wait_blocking().unwrap();
    }
    // The first sync covers the records that were queued when the writer woke up. While the gate
    // blocks it, all other records are queued.
    assert!(syncs.load(Ordering::Relaxed) - before <= 3);
}

#[test]
fn torn_last_frame_is_cut_off_at_any_length() {
    let folder = TempFolder::new();
    append_numbers(&folder.0, 3);
    let intact = fs::read(log_file(&folder.0)).unwrap();
    append_numbers(&folder.0, 1);
    let extended = fs::read(log_file(&folder.0)).unwrap();
    for length in intact.len()..extended.len() {
        fs::write(log_file(&folder.0), &extended[..length]).unwrap();
        let (store, replayed) = open(&folder.0, FileOps::default()).unwrap();
        assert_eq!(replayed, [0, 1, 2], "cut at {length}");
        store.append(record(9)).wait_blocking().unwrap();
        drop(store);
        let (_, replayed) = open(&folder.0, FileOps::default()).unwrap();
        assert_eq!(replayed, [0, 1, 2, 9]);
    }
}

#[test]
fn damage_before_the_last_frame_is_an_error_at_any_byte() {
    let folder = TempFolder::new();
    append_numbers(&folder.0, 2);
    let last_frame_offset = fs::read(log_file(&folder.0)).unwrap().len();
    append_numbers(&folder.0, 1);
    let intact = fs::read(log_file(&folder.0)).unwrap();
    for offset in 0..last_frame_offset {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x40;
        fs::write(log_file(&folder.0), &bytes).unwrap();
        let error = open(&folder.0, FileOps::default()).unwrap_err();
        assert!(matches!(error, StoreError::Damaged { .. }), "byte {offset}");
    }
}

#[test]
fn damage_in_compacted_records_is_an_error_even_at_the_end() {
    let folder = TempFolder::new();
    let (store, _) = open(&folder.0, FileOps::default()).unwrap();
    store
        .compact(vec![record(1), record(2)])
        .wait_blocking()
        .unwrap();
    drop(store);
    let intact = fs::read(log_file(&folder.0)).unwrap();
    fs::write(log_file(&folder.0), &intact[..intact.len() - 1]).unwrap();
    let error = open(&folder.0, FileOps::default()).unwrap_err();
    assert!(matches!(error, StoreError::Damaged { .. }));
}

#[test]
fn compaction_replaces_all_records_before_it() {
    let folder = TempFolder::new();
    let (store, _) = open(&folder.0, FileOps::default()).unwrap();
    let early = store.append(record(1));
    let compacted = store.compact(vec![record(7)]);
    let late = store.append(record(8));
    for receipt in [early, compacted, late] {
        receipt.wait_blocking().unwrap();
    }
    assert!(store.log_bytes() > store.snapshot_bytes());
    drop(store);
    assert_eq!(open(&folder.0, FileOps::default()).unwrap().1, [7, 8]);
}

#[test]
fn failed_sync_stops_the_store() {
    let folder = TempFolder::new();
    let syncs = AtomicUsize::new(0);
    let hook = move |operation| {
        let fails =
            operation == FileOperation::SyncFile && syncs.fetch_add(1, Ordering::Relaxed) == 2;
        fails.then_some(InjectedFault::Fail)
    };
    let (store, _) = open(&folder.0, FileOps::with_faults(Arc::new(hook))).unwrap();
    store.append(record(1)).wait_blocking().unwrap();
    assert!(store.append(record(2)).wait_blocking().is_err());
    assert!(store.append(record(3)).wait_blocking().is_err());
    assert!(store.barrier().wait_blocking().is_err());
    assert!(store.compact(vec![]).wait_blocking().is_err());
}

/// The records that a run of the script tried to append, and those that were confirmed as durable.
struct ScriptRun {
    confirmed: Vec<u32>,
    attempted: Vec<u32>,
}

/// Guards against a record that is read from a log into which it was written but not synced, and that a loss
/// of power takes away after the voter has relied on it.
#[test]
fn a_log_is_synced_before_its_records_are_relied_on() {
    let folder = TempFolder::new();
    append_numbers(&folder.0, 1);
    let syncs_only = |is_failing: bool| {
        let synced = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&synced);
        let hook = move |operation| {
            let is_sync = operation == FileOperation::SyncFile;
            counter.fetch_add(usize::from(is_sync), Ordering::Relaxed);
            (is_sync && is_failing).then_some(InjectedFault::Fail)
        };
        (FileOps::with_faults(Arc::new(hook)), synced)
    };
    let (ops, synced) = syncs_only(false);
    let (store, replayed) = open(&folder.0, ops).unwrap();
    assert_eq!((replayed, synced.load(Ordering::Relaxed)), (vec![0], 1));
    drop(store);
    let (ops, _) = syncs_only(true);
    assert_eq!(open(&folder.0, ops).unwrap_err(), StoreError::Io);
}

/// Appends the records 0 to 5. Compacts after every second one and keeps all records.
fn run_script(path: &Path, ops: FileOps) -> ScriptRun {
    let mut run = ScriptRun {
        confirmed: vec![],
        attempted: vec![],
    };
    let Ok((store, _)) = open(path, ops) else {
        return run;
    };
    for number in 0..6 {
        run.attempted.push(number);
        if store.append(record(number)).wait_blocking().is_ok() {
            run.confirmed.push(number);
        }
        if number % 2 == 1 {
            let kept = run.attempted.iter().map(|number| record(*number)).collect();
            let _ = store.compact(kept).wait_blocking();
        }
    }
    run
}

/// Simulates a crash: the operation with index `crash_at` and all later ones fail. If it is a
/// write, it is torn after `torn_bytes`.
fn crashing_ops(
    crash_at: usize,
    torn_bytes: usize,
    operations: &Arc<Mutex<Vec<FileOperation>>>,
) -> FileOps {
    let operations = Arc::clone(operations);
    FileOps::with_faults(Arc::new(move |operation| {
        let mut operations = operations.lock().unwrap();
        let number = operations.len();
        operations.push(operation);
        match (number.cmp(&crash_at), operation) {
            (std::cmp::Ordering::Less, _) => None,
            (std::cmp::Ordering::Equal, FileOperation::Write { bytes }) => {
                Some(InjectedFault::Torn {
                    bytes: torn_bytes.min(bytes - 1),
                })
            }
            _ => Some(InjectedFault::Fail),
        }
    }))
}

#[test]
fn crash_at_every_operation_loses_no_confirmed_record() {
    let all_operations = Arc::new(Mutex::new(Vec::new()));
    let folder = TempFolder::new();
    run_script(&folder.0, crashing_ops(usize::MAX, 0, &all_operations));
    let operation_count = all_operations.lock().unwrap().len();
    assert!(operation_count > 30);
    for crash_at in 0..operation_count {
        for torn_bytes in [0, 1, 5, 21, 30] {
            let folder = TempFolder::new();
            let operations = Arc::default();
            let run = run_script(&folder.0, crashing_ops(crash_at, torn_bytes, &operations));
            let (_, replayed) = open(&folder.0, FileOps::default()).unwrap();
            let context = format!("crash at {crash_at}, {torn_bytes} bytes: {replayed:?}");
            assert!(replayed.len() >= run.confirmed.len(), "{context}");
            assert!(run.attempted.starts_with(&replayed), "{context}");
        }
    }
}

#[test]
fn old_log_is_kept_until_the_rename_is_synced() {
    let folder = TempFolder::new();
    let folder_syncs = Arc::new(AtomicUsize::new(0));
    let hook = {
        let folder_syncs = Arc::clone(&folder_syncs);
        move |operation| {
            let fails = operation == FileOperation::SyncFolder
                && folder_syncs.fetch_add(1, Ordering::Relaxed) > 0;
            fails.then_some(InjectedFault::Fail)
        }
    };
    let (store, _) = open(&folder.0, FileOps::with_faults(Arc::new(hook))).unwrap();
    store.append(record(1)).wait_blocking().unwrap();
    assert!(store.compact(vec![record(1)]).wait_blocking().is_err());
    drop(store);
    // Simulates that the rename did not become durable.
    fs::remove_file(log_file(&folder.0)).unwrap();
    assert_eq!(open(&folder.0, FileOps::default()).unwrap().1, [1]);
}
