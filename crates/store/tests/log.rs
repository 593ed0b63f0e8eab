//! Recovery of the durable log after crashes, damage and failed operations.

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
    let mut seen = Vec::new();
    let store = LogStore::open(path, ops, 1, |record| {
        seen.push(u32::from_le_bytes(record.try_into().unwrap()));
    });
    match store {
        Ok(store) => Ok((store, seen)),
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

fn write_numbers(path: &Path, count: u32) {
    let (store, _) = open(path, FileOps::default()).unwrap();
    for number in 0..count {
        store.append(record(number)).wait_blocking().unwrap();
    }
}

#[test]
fn second_opener_is_refused() {
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
fn identity_belongs_to_the_log() {
    let folder = TempFolder::new();
    let first = LogStore::open(&folder.0, FileOps::default(), 5, |_| {}).unwrap();
    assert_eq!(first.identity(), 5);
    drop(first);
    let second = LogStore::open(&folder.0, FileOps::default(), 6, |_| {}).unwrap();
    assert_eq!(second.identity(), 5);
}

#[test]
fn waiting_records_share_a_sync() {
    let folder = TempFolder::new();
    let syncs = Arc::new(AtomicUsize::new(0));
    let gate = Arc::new(Mutex::new(()));
    let ops = {
        let (syncs, gate) = (Arc::clone(&syncs), Arc::clone(&gate));
        FileOps::with_faults(Arc::new(move |step| {
            if step == FileOperation::SyncFile {
                drop(gate.lock().unwrap());
                syncs.fetch_add(1, Ordering::Relaxed);
            }
            None
        }))
    };
    let (store, _) = open(&folder.0, ops).unwrap();
    let before = syncs.load(Ordering::Relaxed);
    let held = gate.lock().unwrap();
    let receipts: Vec<_> = (0..100)
        .map(|number| store.append(record(number)))
        .collect();
    drop(held);
    for receipt in receipts {
        receipt.wait_blocking().unwrap();
    }
    // The first sync covers what was there when the writer woke; while it waits all others queue up.
    assert!(syncs.load(Ordering::Relaxed) - before <= 3);
}

#[test]
fn torn_tail_is_cut_at_any_length() {
    let folder = TempFolder::new();
    write_numbers(&folder.0, 3);
    let whole = fs::read(log_file(&folder.0)).unwrap();
    write_numbers(&folder.0, 1);
    let longer = fs::read(log_file(&folder.0)).unwrap();
    for length in whole.len()..longer.len() {
        fs::write(log_file(&folder.0), &longer[..length]).unwrap();
        let (store, seen) = open(&folder.0, FileOps::default()).unwrap();
        assert_eq!(seen, [0, 1, 2], "cut at {length}");
        store.append(record(9)).wait_blocking().unwrap();
        drop(store);
        let (_, seen) = open(&folder.0, FileOps::default()).unwrap();
        assert_eq!(seen, [0, 1, 2, 9]);
    }
}

#[test]
fn damage_before_the_tail_is_an_error_at_any_byte() {
    let folder = TempFolder::new();
    write_numbers(&folder.0, 2);
    let damaged_part = fs::read(log_file(&folder.0)).unwrap().len();
    write_numbers(&folder.0, 1);
    let whole = fs::read(log_file(&folder.0)).unwrap();
    for at in 0..damaged_part {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x40;
        fs::write(log_file(&folder.0), &bytes).unwrap();
        let error = open(&folder.0, FileOps::default()).unwrap_err();
        assert!(matches!(error, StoreError::Damaged { .. }), "byte {at}");
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
    let whole = fs::read(log_file(&folder.0)).unwrap();
    fs::write(log_file(&folder.0), &whole[..whole.len() - 1]).unwrap();
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
    assert!(store.log_bytes() > store.base_bytes());
    drop(store);
    assert_eq!(open(&folder.0, FileOps::default()).unwrap().1, [7, 8]);
}

#[test]
fn failed_sync_stops_the_store() {
    let folder = TempFolder::new();
    let syncs = AtomicUsize::new(0);
    let hook = move |step| {
        let fails = step == FileOperation::SyncFile && syncs.fetch_add(1, Ordering::Relaxed) == 2;
        fails.then_some(InjectedFault::Fail)
    };
    let (store, _) = open(&folder.0, FileOps::with_faults(Arc::new(hook))).unwrap();
    store.append(record(1)).wait_blocking().unwrap();
    assert!(store.append(record(2)).wait_blocking().is_err());
    assert!(store.append(record(3)).wait_blocking().is_err());
    assert!(store.barrier().wait_blocking().is_err());
    assert!(store.compact(vec![]).wait_blocking().is_err());
}

/// What a run of the script below was told.
struct ScriptRun {
    confirmed: Vec<u32>,
    attempted: Vec<u32>,
}

/// Appends and compacts; numbers only grow, and compaction keeps them all.
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

/// Fails step `crash_at` and everything after it, as a crash would.
fn crashing_ops(
    crash_at: usize,
    torn_bytes: usize,
    steps: &Arc<Mutex<Vec<FileOperation>>>,
) -> FileOps {
    let steps = Arc::clone(steps);
    FileOps::with_faults(Arc::new(move |step| {
        let mut steps = steps.lock().unwrap();
        let number = steps.len();
        steps.push(step);
        match (number.cmp(&crash_at), step) {
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
fn crash_at_every_step_loses_no_confirmed_record() {
    let all_steps = Arc::new(Mutex::new(Vec::new()));
    let folder = TempFolder::new();
    run_script(&folder.0, crashing_ops(usize::MAX, 0, &all_steps));
    let step_count = all_steps.lock().unwrap().len();
    assert!(step_count > 30);
    for crash_at in 0..step_count {
        for torn_bytes in [0, 1, 5, 21, 30] {
            let folder = TempFolder::new();
            let steps = Arc::default();
            let run = run_script(&folder.0, crashing_ops(crash_at, torn_bytes, &steps));
            let (_, seen) = open(&folder.0, FileOps::default()).unwrap();
            let context = format!("crash at {crash_at}, {torn_bytes} bytes: {seen:?}");
            assert!(seen.len() >= run.confirmed.len(), "{context}");
            assert!(run.attempted.starts_with(&seen), "{context}");
        }
    }
}

#[test]
fn unsynced_rename_may_be_lost() {
    let folder = TempFolder::new();
    let failing = Arc::new(AtomicUsize::new(0));
    let hook = {
        let failing = Arc::clone(&failing);
        move |step| {
            let fails =
                step == FileOperation::SyncFolder && failing.fetch_add(1, Ordering::Relaxed) > 0;
            fails.then_some(InjectedFault::Fail)
        }
    };
    let (store, _) = open(&folder.0, FileOps::with_faults(Arc::new(hook))).unwrap();
    store.append(record(1)).wait_blocking().unwrap();
    assert!(store.compact(vec![record(1)]).wait_blocking().is_err());
    drop(store);
    // As if the rename had never reached the disk.
    fs::remove_file(log_file(&folder.0)).unwrap();
    assert_eq!(open(&folder.0, FileOps::default()).unwrap().1, [1]);
}
