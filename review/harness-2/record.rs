//! What was sent, answered and run, with the time since the start of the script.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// What is known of one client attempt.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub answer: Option<u16>,
    /// When and where it has run.
    pub runs: Vec<(u128, String)>,
}

pub struct Record {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    file: BufWriter<File>,
    attempts: BTreeMap<String, Attempt>,
    /// The present second and the parts of searches that have run in it.
    parts: (u128, u64),
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                file: BufWriter::new(file),
                attempts: BTreeMap::new(),
                parts: (0, 0),
            }),
        }
    }

    pub fn millis(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn note(&self, text: &str) {
        let now = self.millis();
        let mut inner = self.lock();
        let _ = writeln!(inner.file, "{now:>7} {text}");
    }

    pub fn sent(&self, id: &str, text: &str) {
        self.note(&format!("sent id={id} {text}"));
        self.lock().attempts.entry(id.to_owned()).or_default();
    }

    /// `status` is 0 if the connection ended without an answer.
    pub fn answered(&self, id: &str, status: u16) {
        self.note(&format!("answered id={id} status={status}"));
        let mut inner = self.lock();
        inner.attempts.entry(id.to_owned()).or_default().answer = Some(status);
    }

    pub fn ran(&self, id: &str, searcher: &str) {
        let now = self.millis();
        self.note(&format!("run id={id} searcher={searcher}"));
        let mut inner = self.lock();
        let attempt = inner.attempts.entry(id.to_owned()).or_default();
        attempt.runs.push((now, searcher.to_owned()));
    }

    /// Counts a part of a search; the record has the number of each second.
    pub fn ran_part(&self) {
        let second = self.millis() / 1_000;
        let mut inner = self.lock();
        if inner.parts.0 != second {
            let (known, count) = inner.parts;
            let _ = writeln!(
                inner.file,
                "{:>7} parts of searches run in this second: {count}",
                known * 1_000
            );
            inner.parts = (second, 0);
        }
        inner.parts.1 += 1;
    }

    pub fn attempts(&self) -> BTreeMap<String, Attempt> {
        self.lock().attempts.clone()
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
        let _ = self.lock().file.flush();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
