//! Stand-in targets: slots, a bounded queue, stragglers and cancellation.

use std::collections::VecDeque;

use fulmarweir_route::ReportedLoad;

/// Number of a job in the world's job list.
pub(crate) type JobId = usize;

/// One target.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    slots: usize,
    queue_max: usize,
    running: Vec<JobId>,
    waiting: VecDeque<JobId>,
}

/// What a target does with a job that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Arrival {
    Started,
    Waits,
    Shed,
}

impl FakeTarget {
    pub(crate) fn new(slots: usize, queue_max: usize) -> Self {
        Self {
            slots,
            queue_max,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn arrive(&mut self, job: JobId) -> Arrival {
        if self.running.len() < self.slots {
            self.running.push(job);
            return Arrival::Started;
        }
        if self.waiting.len() < self.queue_max {
            self.waiting.push_back(job);
            return Arrival::Waits;
        }
        Arrival::Shed
    }

    /// Ends or cancels `job`; false when the target does not have it. The
    /// second value is a waiting job that starts in its place.
    pub(crate) fn end(&mut self, job: JobId) -> (bool, Option<JobId>) {
        if let Some(place) = self.running.iter().position(|one| *one == job) {
            self.running.swap_remove(place);
            let next = self.waiting.pop_front();
            self.running.extend(next);
            return (true, next);
        }
        let waiting = self.waiting.len();
        self.waiting.retain(|one| *one != job);
        (self.waiting.len() < waiting, None)
    }

    pub(crate) fn load(&self) -> ReportedLoad {
        let count = |jobs: usize| u32::try_from(jobs).unwrap_or(u32::MAX);
        ReportedLoad {
            in_flight: count(self.running.len()),
            slots: count(self.slots),
            queued: count(self.waiting.len()),
        }
    }
}
