//! Why a command did not succeed, and the exit code that says so.

use std::{fmt, process::ExitCode};

use fulmarweir_base::RunVerdict;
use fulmarweir_conf::FaultList;
use serde_json::{Value, json};

const EXIT_NOT_RUN: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;
const EXIT_UNDECIDED: u8 = 3;

/// Result of a command or of a part of one.
pub(crate) type Result<T, E = ToolError> = std::result::Result<T, E>;

/// Why a command did not succeed.
#[derive(Debug)]
pub(crate) enum ToolError {
    /// The command line or a file that it names can't be used.
    BadUsage(String),
    /// A configuration file has faults.
    FaultyFile(FaultList),
    /// A request was refused or got lost.
    Request(RequestFailure),
}

/// A request without a usable answer.
#[derive(Clone, Debug)]
pub(crate) struct RequestFailure {
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// Short reason for programs.
    pub(crate) reason: String,
    /// Explanation for people.
    pub(crate) message: String,
    /// The body of the refusal, if it was JSON.
    pub(crate) body: Option<Value>,
    /// Whether another VM would say the same.
    pub(crate) is_final: bool,
    /// Whether the refusal is about the version that the change was based on.
    pub(crate) is_conflict: bool,
}

impl RequestFailure {
    /// A failure before or while talking to a VM.
    pub(crate) fn of_transport(verdict: RunVerdict, reason: &str, message: String) -> Self {
        Self {
            verdict,
            reason: reason.to_owned(),
            message,
            body: None,
            is_final: false,
            is_conflict: false,
        }
    }
}

impl ToolError {
    /// The exit code of the tool.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::BadUsage(_) | Self::FaultyFile(_) => EXIT_BAD_USAGE,
            Self::Request(failure) => match failure.verdict {
                RunVerdict::NotRun => EXIT_NOT_RUN,
                RunVerdict::MayHaveRun | RunVerdict::Ran => EXIT_UNDECIDED,
            },
        };
        code.into()
    }

    /// The failure as a JSON document of the form that daemons use.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::BadUsage(message) => error_json("bad-usage", RunVerdict::NotRun, message),
            Self::FaultyFile(list) => json!({
                "error": {
                    "reason": "faulty-file",
                    "run": RunVerdict::NotRun,
                    "message": list.to_string(),
                    "faults": list.faults(),
                }
            }),
            Self::Request(failure) => {
                let mut json = error_json(&failure.reason, failure.verdict, &failure.message);
                if let Some(body) = &failure.body {
                    json["answer"] = body.clone();
                }
                json
            }
        }
    }
}

fn error_json(reason: &str, verdict: RunVerdict, message: &str) -> Value {
    json!({ "error": { "reason": reason, "run": verdict, "message": message } })
}

/// The exit code of a command whose request ran without its full effect so far.
pub(crate) fn incomplete_code() -> ExitCode {
    EXIT_UNDECIDED.into()
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadUsage(message) => f.write_str(message),
            Self::FaultyFile(list) => write!(f, "{list}"),
            Self::Request(failure) => {
                let verdict = match failure.verdict {
                    RunVerdict::NotRun => "not run",
                    RunVerdict::MayHaveRun => "may have run",
                    RunVerdict::Ran => "ran, but its answer is lost",
                };
                write!(f, "{verdict}: {}: {}", failure.reason, failure.message)
            }
        }
    }
}

impl std::error::Error for ToolError {}

impl From<RequestFailure> for ToolError {
    fn from(failure: RequestFailure) -> Self {
        Self::Request(failure)
    }
}
