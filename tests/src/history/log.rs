//! Records the order of calls and answers of concurrent operations.

use std::sync::{Mutex, MutexGuard, PoisonError};

use todc_utils::{
    Action::{Call, Response},
    History,
};

/// Identifies an operation within one log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperationId(usize);

/// A call or an answer, with the number of its operation.
#[derive(Clone, Copy, Debug)]
enum LogEvent {
    Called(usize),
    Answered(usize),
}

#[derive(Clone, Debug)]
struct LogState<T> {
    events: Vec<LogEvent>,
    /// The operations with their results; `None` for an operation that is left out of the
    /// history.
    operations: Vec<Option<T>>,
}

/// Log of the calls and answers of concurrent operations.
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
    /// Records the call of an operation.
    ///
    /// The operation is left out of the history until it is recorded as answered or pending.
    pub fn record_call(&self) -> OperationId {
        let mut state = self.lock();
        let number = state.operations.len();
        state.operations.push(None);
        state.events.push(LogEvent::Called(number));
        OperationId(number)
    }

    /// Records the answer of an operation.
    pub fn record_answer(&self, id: OperationId, operation: T) {
        let mut state = self.lock();
        state.operations[id.0] = Some(operation);
        state.events.push(LogEvent::Answered(id.0));
    }

    /// Records that an operation has no answer and may take effect at any time after its call.
    pub fn record_pending(&self, id: OperationId, operation: T) {
        self.lock().operations[id.0] = Some(operation);
    }

    /// Adds an operation that is called and answered after all answers recorded so far.
    pub fn append(&self, operation: T) {
        let id = self.record_call();
        self.record_answer(id, operation);
    }

    /// Returns the number of operations in the history.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().operations.iter().flatten().count()
    }

    /// Returns the history, with the answers of pending operations at its end.
    ///
    /// # Panics
    ///
    /// When the history has no operation.
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
