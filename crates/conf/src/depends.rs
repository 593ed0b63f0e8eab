//! Checks that the dependencies between services name known services and form no cycle.

use std::collections::{HashMap, HashSet};

use crate::{
    fault::{ConfigFault, FaultList, FaultReason},
    service_parse::ServiceDraft,
};

/// Maximum number of services that a fault lists for a cycle; longer cycles are truncated.
const CYCLE_NAMES_MAX: usize = 12;

/// Reports unknown and repeated dependencies, and each cycle that a depth-first search finds.
pub(crate) fn check_depends(drafts: &[ServiceDraft], faults: &mut FaultList) {
    let names = drafts.iter().enumerate();
    let indices: HashMap<&str, usize> = names
        .map(|(i, d)| (d.service_config.name.as_str(), i))
        .collect();
    let mut edges = Vec::with_capacity(drafts.len());
    for draft in drafts {
        edges.push(resolve_depends(draft, &indices, faults));
    }
    CycleSearch::new(drafts, &edges).run(faults);
}

fn resolve_depends(
    draft: &ServiceDraft,
    indices: &HashMap<&str, usize>,
    faults: &mut FaultList,
) -> Vec<usize> {
    let mut seen = HashSet::new();
    let mut edges = Vec::new();
    for dependency in &draft.service_config.depends {
        if !seen.insert(dependency) {
            let fault = depends_fault(draft, FaultReason::Conflict, "each service once");
            faults.push(fault.found(dependency.as_str()));
            continue;
        }
        let Some(index) = indices.get(dependency.as_str()) else {
            let expected = "a service that this text lists";
            let fault = depends_fault(draft, FaultReason::UnknownDependency, expected);
            faults.push(fault.found(dependency.as_str()));
            continue;
        };
        edges.push(*index);
    }
    edges
}

fn depends_fault(draft: &ServiceDraft, reason: FaultReason, expected: &str) -> ConfigFault {
    let fault = ConfigFault::new(reason, expected).at(draft.depends_line);
    let section = format!("service {}", draft.service_config.name);
    fault.section(&section).key("depends")
}

/// State of a service in the depth-first search.
#[derive(Clone, Copy, Eq, PartialEq)]
enum VisitState {
    New,
    OnPath,
    Done,
}

/// One service on the current path and the index of its next dependency to follow.
struct PathStep {
    node: usize,
    next_edge: usize,
}

/// Depth-first search for cycles. The path is an explicit stack, because recursion over a long
/// chain of dependencies could overflow the call stack.
struct CycleSearch<'a> {
    drafts: &'a [ServiceDraft],
    edges: &'a [Vec<usize>],
    states: Vec<VisitState>,
    path: Vec<PathStep>,
}

impl<'a> CycleSearch<'a> {
    fn new(drafts: &'a [ServiceDraft], edges: &'a [Vec<usize>]) -> Self {
        Self {
            drafts,
            edges,
            states: vec![VisitState::New; drafts.len()],
            path: Vec::new(),
        }
    }

    fn run(mut self, faults: &mut FaultList) {
        for start in 0..self.drafts.len() {
            if self.states[start] == VisitState::New {
                self.enter(start);
                self.walk(faults);
            }
        }
    }

    fn enter(&mut self, node: usize) {
        self.states[node] = VisitState::OnPath;
        self.path.push(PathStep { node, next_edge: 0 });
    }

    fn walk(&mut self, faults: &mut FaultList) {
        while let Some(step) = self.path.last_mut() {
            let node = step.node;
            let Some(next) = self.edges[node].get(step.next_edge).copied() else {
                self.states[node] = VisitState::Done;
                self.path.pop();
                continue;
            };
            step.next_edge += 1;
            match self.states[next] {
                VisitState::New => self.enter(next),
                VisitState::OnPath => self.push_cycle(next, faults),
                VisitState::Done => {}
            }
        }
    }

    /// Reports the cycle that starts at `first` and consists of the rest of the current path.
    fn push_cycle(&self, first: usize, faults: &mut FaultList) {
        let start = self.path.iter().position(|step| step.node == first);
        let nodes = self.path.iter().skip(start.unwrap_or_default());
        let mut names: Vec<&str> = nodes.map(|step| self.name(step.node)).collect();
        if names.len() > CYCLE_NAMES_MAX {
            names.truncate(CYCLE_NAMES_MAX);
            names.push("...");
        }
        names.push(self.name(first));
        let Some(last) = self.path.last() else {
            return;
        };
        let expected = format!("no cycle, but this closes {}", names.join(" -> "));
        let draft = &self.drafts[last.node];
        let fault = depends_fault(draft, FaultReason::DependencyCycle, &expected);
        faults.push(fault.found(self.name(first)));
    }

    fn name(&self, node: usize) -> &'a str {
        self.drafts[node].service_config.name.as_str()
    }
}
