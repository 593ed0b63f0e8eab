//! Simulated targets with slots, a bounded queue and cancellation.

use std::collections::VecDeque;

use fulmarweir_route::ReportedLoad;

/// Index of a job in the simulation's job list.
pub(crate) type JobId = usize;

/// A simulated target.
#[derive(Debug)]
pub(crate) struct SimulatedTarget {
    slots: usize,
    queue_max: usize,
    running: Vec<JobId>,
    waiting: VecDeque<JobId>,
}

/// What a target does with an arriving job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Arrival {
    Started,
    Waits,
    Shed,
}

impl SimulatedTarget {
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

    /// Ends or cancels `job`. Returns whether the target had the job, and the queued job that
    /// starts in the freed slot.
    pub(crate) fn end(&mut self, job: JobId) -> (bool, Option<JobId>) {
        if let Some(index) = self.running.iter().position(|running| *running == job) {
            self.running.swap_remove(index);
            let next = self.waiting.pop_front();
            self.running.extend(next);
            return (true, next);
        }
        let waiting = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != job);
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
