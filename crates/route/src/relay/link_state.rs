//! What a VM believes of its links to targets, and what goes into this belief.

use std::time::Duration;

use fulmarweir_base::MonoTime;

/// What this VM believes of its links to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Targets reply, or nothing says otherwise.
    Up,
    /// Targets do not reply, and it is not known why.
    Suspected,
    /// Other VMs reach targets that this VM does not.
    Lost,
    /// Neither this VM nor any other that was asked reaches a target.
    TargetsDown,
}

impl LinkState {
    /// Returns the label of this state in logs, which never changes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Suspected => "suspected",
            Self::Lost => "lost",
            Self::TargetsDown => "targets-down",
        }
    }
}

/// What the end of an attempt says about the link to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkEvidence {
    /// The target replied.
    Reply,
    /// No connection could be opened.
    NoConnection,
    /// The connection broke.
    Broken,
    /// This VM gave the attempt up.
    GivenUp,
    /// Nothing.
    None,
}

/// Why links are suspected, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkSuspicion {
    /// Targets that got attempts since the last reply of any target, and are silent or broke off.
    pub silent: usize,
    /// Targets to which no connection could be opened lately.
    pub unconnected: usize,
    /// Time since the last reply of any target.
    pub silence: Duration,
    /// How many targets to probe.
    pub wanted: usize,
    /// Whether a probe sends a request, since connections can be opened but targets are silent.
    pub with_request: bool,
}

/// What an examination of the links has found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkExamination {
    /// Targets that were probed.
    pub probed: usize,
    /// Those that this VM could connect to.
    pub connected: usize,
    /// Those that replied to a request of this VM.
    pub replied: usize,
    /// Those that another VM could connect to.
    pub connected_by_others: usize,
    /// Those that replied to a request of another VM.
    pub replied_by_others: usize,
    /// Other VMs that answered.
    pub witnesses: usize,
}

/// A change of the state of the links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkChange {
    /// The state before.
    pub before: LinkState,
    /// The state from now on.
    pub after: LinkState,
    /// When the links are taken to have been lost, for the time before the change.
    pub since: MonoTime,
}

/// What is due for the links now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkTask {
    /// Probe targets, and if none is reached, have other VMs probe them.
    Examine(LinkSuspicion),
    /// Probe targets to find out whether the links are back.
    ProbeReturn {
        /// How many targets to probe.
        wanted: usize,
        /// Whether a probe sends a request, since connections could be opened all the time.
        with_request: bool,
    },
}
