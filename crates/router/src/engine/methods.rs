//! The properties of methods that the router needs itself. All others are used by the decisions alone.

use std::time::Duration;

use quillpoint::host::MethodId;

use crate::deployment::Deployment;
use crate::request_pipeline::StatementScope;
use crate::statement::Statement;

/// The range of the methods' deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlineRange {
    /// The shortest deadline of a method.
    pub shortest: Duration,
    /// The longest deadline of a method.
    pub longest: Duration,
}

/// A method of the deployment.
pub(super) struct MethodInfo {
    name: String,
    /// Upper bound for the remaining time that a client states, so that no RPC stays pending without limit.
    pub(super) deadline: Duration,
    pub(super) has_sessions: bool,
    writes: bool,
    /// Whether the method's reads must see all earlier commits, of any session.
    reads_fresh: bool,
}

impl MethodInfo {
    fn new(index: usize, name: &str, deployment: &Deployment) -> Self {
        let settings = &deployment.settings;
        let consistency = settings.text(&format!("replication.consistency.{index}"));
        let deadline = settings.duration(&format!("methods.{index}.deadline"));
        let writes = consistency == "write";
        Self {
            name: name.to_string(),
            deadline: deadline.unwrap_or(deployment.longest_deadline),
            has_sessions: writes || consistency == "session",
            writes,
            reads_fresh: !writes && !["session", "bounded", "any"].contains(&consistency),
        }
    }
}

/// The methods, indexed by their position in the settings.
pub(super) struct MethodTable(Vec<MethodInfo>);

impl MethodTable {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let methods = deployment.methods.iter().enumerate();
        Self(methods.map(|(index, name)| MethodInfo::new(index, name, deployment)).collect())
    }

    pub(super) fn get(&self, method: MethodId) -> &MethodInfo {
        &self.0[method.0]
    }

    pub(super) fn by_name(&self, name: &str) -> Option<MethodId> {
        self.0.iter().position(|method| method.name == name).map(MethodId)
    }

    pub(super) fn writes(&self, method: MethodId) -> bool {
        self.get(method).writes
    }

    pub(super) fn statement_scope(&self, method: MethodId, statement: &Statement) -> StatementScope {
        let method = self.get(method);
        StatementScope {
            replica_set: statement.replica_set,
            session: statement.session,
            writes: method.writes,
            reads_fresh: method.reads_fresh,
        }
    }

    pub(super) fn deadline_range(&self) -> DeadlineRange {
        let deadlines = || self.0.iter().map(|method| method.deadline);
        DeadlineRange {
            shortest: deadlines().min().unwrap_or_default(),
            longest: deadlines().max().unwrap_or_default(),
        }
    }
}
