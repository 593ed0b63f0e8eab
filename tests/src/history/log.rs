//! Records when operations were called and when they were answered.

use std::sync::{Mutex, MutexGuard, PoisonError};

use todc_utils::{
    Action::{Call, Response},
    History,
};

/// Names an operation of one log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperationId(usize);

/// A point in the history.
#[derive(Clone, Copy, Debug)]
enum LogEvent {
    Called(usize),
    Answered(usize),
}

#[derive(Clone, Debug)]
struct LogState<T> {
    events: Vec<LogEvent>,
    /// What each operation was and how it ended; `None` for one that does not count.
    operations: Vec<Option<T>>,
}

/// Operations in the order of their calls and answers.
#[derive(Debug)]
pub struct HistoryLog<T> {
    state: Mutex<LogState<T>>,
}

impl<T> Default for HistoryLog<T> {
    fn default() -> Self {
        let state = LogState {
            events: Vec::new(),
            operations: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl<T: Clone> HistoryLog<T> {
    /// Notes that an operation is called now.
    ///
    /// It does not count unless it is answered or left pending.
    pub fn record_call(&self) -> OperationId {
        let mut state = self.lock();
        let number = state.operations.len();
        state.operations.push(None);
        state.events.push(LogEvent::Called(number));
        OperationId(number)
    }

    /// Notes that an operation is answered now.
    pub fn record_answer(&self, id: OperationId, operation: T) {
        let mut state = self.lock();
        state.operations[id.0] = Some(operation);
        state.events.push(LogEvent::Answered(id.0));
    }

    /// Notes that an operation may take effect at any time after its call.
    pub fn record_pending(&self, id: OperationId, operation: T) {
        self.lock().operations[id.0] = Some(operation);
    }

    /// Adds an operation that is called and answered after all others so far.
    pub fn append(&self, operation: T) {
        let id = self.record_call();
        self.record_answer(id, operation);
    }

    /// How many operations count.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().operations.iter().flatten().count()
    }

    /// The history; pending operations are answered at its end.
    ///
    /// # Panics
    ///
    /// When no operation counts.
    #[must_use]
    pub fn history(&self) -> History<T> {
        let state = self.lock();
        let mut pending: Vec<bool> = state.operations.iter().map(Option::is_some).collect();
        let mut actions = Vec::new();
        for event in &state.events {
            match *event {
                LogEvent::Called(number) => {
                    let operation = state.operations[number].clone();
                    actions.extend(operation.map(|operation| (number, Call(operation))));
                }
                LogEvent::Answered(number) => {
                    pending[number] = false;
                    let operation = state.operations[number].clone();
                    actions.extend(operation.map(|operation| (number, Response(operation))));
                }
            }
        }
        let pending = (0..pending.len()).filter(|number| pending[*number]);
        for number in pending {
            let operation = state.operations[number].clone();
            actions.extend(operation.map(|operation| (number, Response(operation))));
        }
        History::from_actions(actions)
    }

    fn lock(&self) -> MutexGuard<'_, LogState<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
