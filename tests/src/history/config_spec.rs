//! The configuration as one register with compare-and-set and change identifiers.

use todc_utils::Specification;

/// A call on the configuration and how it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigOp {
    /// A change was accepted as `version`; its first submission made it, a later one was told so.
    Accepted {
        /// Identifier of the change.
        change: u32,
        /// Version that it was submitted on.
        at: u64,
        /// Version that it became.
        version: u64,
    },
    /// A change came too late.
    Conflict {
        /// Identifier of the change.
        change: u32,
        /// Version that it was submitted on.
        at: u64,
        /// Version that its operator was told.
        current: u64,
    },
    /// A read found these accepted changes, oldest first.
    Read {
        /// Their identifiers.
        accepted: Vec<u32>,
    },
}

/// The sequential behaviour of the configuration: the identifiers of its accepted changes.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSpec;

impl Specification for ConfigSpec {
    type State = Vec<u32>;
    type Operation = ConfigOp;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &ConfigOp, state: &Vec<u32>) -> (bool, Vec<u32>) {
        let in_force = state.len() as u64;
        match operation {
            ConfigOp::Accepted {
                change,
                at,
                version,
            } => {
                let made = state.iter().position(|known| known == change);
                if let Some(index) = made {
                    return (*version == index as u64 + 1, state.clone());
                }
                if *at != in_force || *version != in_force + 1 {
                    return (false, state.clone());
                }
                let mut next = state.clone();
                next.push(*change);
                (true, next)
            }
            ConfigOp::Conflict {
                change,
                at,
                current,
            } => {
                let is_late = *at != in_force && *current == in_force;
                (is_late && !state.contains(change), state.clone())
            }
            ConfigOp::Read { accepted } => (accepted == state, state.clone()),
        }
    }
}
