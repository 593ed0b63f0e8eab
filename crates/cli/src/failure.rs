//! The errors of commands and their exit codes.

use std::{fmt, process::ExitCode};

use fulmarweir_base::RunVerdict;
use fulmarweir_conf::FaultList;
use serde_json::{Value, json};

const EXIT_NOT_RUN: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;
const EXIT_UNDECIDED: u8 = 3;

/// The result of a fallible function of this tool.
pub(crate) type Result<T, E = ToolError> = std::result::Result<T, E>;

/// The error of a command.
#[derive(Debug)]
pub(crate) enum ToolError {
    /// The command line is invalid, or a file that it names can't be used.
    BadUsage(String),
    /// A configuration file is invalid.
    FaultyFile(FaultList),
    /// A request was refused, or no usable answer was received.
    Request(RequestFailure),
}

/// The failure of a request: a refusal, or the lack of a usable answer.
#[derive(Clone, Debug)]
pub(crate) struct RequestFailure {
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// Machine-readable reason.
    pub(crate) reason: String,
    /// Human-readable explanation.
    pub(crate) message: String,
    /// The body of the refusal, if it was JSON.
    pub(crate) body: Option<Value>,
    /// Whether every VM would refuse the request.
    pub(crate) is_final: bool,
    /// Whether the change was refused because it is not based on the newest version.
    pub(crate) is_conflict: bool,
}

impl RequestFailure {
    /// Creates the failure of a request without a usable answer of a VM.
    pub(crate) fn without_answer(verdict: RunVerdict, reason: &str, message: String) -> Self {
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
    /// Returns the exit code of the tool.
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

    /// Returns the error as JSON, in the format of the daemon's error bodies.
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

/// Returns the exit code of a command whose request ran but has not taken full effect yet.
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
