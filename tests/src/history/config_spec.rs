//! Sequential specification of the configuration as a compare-and-set register whose changes have
//! identifiers.

use todc_utils::Specification;

/// An operation on the configuration together with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigOp {
    /// A change was accepted as `version`, by this submission or an earlier one.
    Accepted {
        /// Identifier of the change.
        change: u32,
        /// Version that the change was submitted on.
        at: u64,
        /// Version that the change became.
        version: u64,
    },
    /// A change was refused because its base version was no longer in force.
    Conflict {
        /// Identifier of the change.
        change: u32,
        /// Version that the change was submitted on.
        at: u64,
        /// Version in force according to the answer.
        current: u64,
    },
    /// A read returned the accepted changes.
    Read {
        /// Identifiers of the accepted changes, oldest first.
        accepted: Vec<u32>,
    },
}

/// Sequential specification whose state is the identifiers of the accepted changes, oldest first.
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
                let earlier_index = state.iter().position(|known| known == change);
                if let Some(index) = earlier_index {
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
                let is_stale = *at != in_force && *current == in_force;
                (is_stale && !state.contains(change), state.clone())
            }
            ConfigOp::Read { accepted } => (accepted == state, state.clone()),
        }
    }
}
