//! Classifies the replies to the requests of a load run.

use std::{collections::BTreeSet, time::Duration};

use http::StatusCode;
use serde::Deserialize;

use super::arrivals::{PlannedRequest, RequestKind};
use crate::{
    client::HttpReply,
    scenario::HITS_PER_SHARD,
    stand_in::{AnswerCheck, AnswerFault, SearchAnswer},
};

/// Outcome of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) kind: RequestKind,
    pub(crate) body: String,
    /// Time from the intended start until the caller received the complete answer.
    pub(crate) latency: Duration,
    pub(crate) status: RequestStatus,
}

/// Whether a request was answered or refused.
#[derive(Clone, Debug)]
pub(crate) enum RequestStatus {
    /// Answered, with the share of covered shards and the faults of the answer.
    Answered {
        coverage: f64,
        faults: BTreeSet<AnswerFault>,
    },
    /// Refused or failed, with the reason.
    Refused(RequestRefusal),
}

/// Reason of a refusal, and its run verdict, e.g. `not-run`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestRefusal {
    pub(crate) reason: String,
    pub(crate) run: String,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    reason: String,
    run: String,
}

/// Reason for requests without a reply.
const NO_REPLY: &str = "no-reply";
/// Reason for error replies that cannot be parsed.
const UNREADABLE: &str = "unreadable-error";
const MAY_HAVE_RUN: &str = "may-have-run";

impl RequestStatus {
    pub(crate) fn from_reply(request: &PlannedRequest, reply: Option<&HttpReply>) -> Self {
        let Some(reply) = reply else {
            return Self::Refused(RequestRefusal {
                reason: NO_REPLY.to_owned(),
                run: MAY_HAVE_RUN.to_owned(),
            });
        };
        if reply.status != StatusCode::OK {
            return Self::Refused(refusal(reply));
        }
        match request.kind {
            RequestKind::Act => act_answer(request, reply),
            RequestKind::Lookup | RequestKind::Search => search_answer(request, reply),
        }
    }
}

fn refusal(reply: &HttpReply) -> RequestRefusal {
    match serde_json::from_slice::<ErrorBody>(&reply.body) {
        Ok(body) => RequestRefusal {
            reason: body.error.reason,
            run: body.error.run,
        },
        Err(_) => RequestRefusal {
            reason: UNREADABLE.to_owned(),
            run: MAY_HAVE_RUN.to_owned(),
        },
    }
}

fn act_answer(request: &PlannedRequest, reply: &HttpReply) -> RequestStatus {
    #[derive(Deserialize)]
    struct ActAnswer {
        echo: String,
    }
    let fault = match serde_json::from_slice::<ActAnswer>(&reply.body) {
        Ok(answer) if answer.echo == request.body() => None,
        Ok(_) => Some(AnswerFault::OtherRequest),
        Err(_) => Some(AnswerFault::Unreadable),
    };
    RequestStatus::Answered {
        coverage: 1.0,
        faults: fault.into_iter().collect(),
    }
}

fn search_answer(request: &PlannedRequest, reply: &HttpReply) -> RequestStatus {
    let Ok(answer) = serde_json::from_slice::<SearchAnswer>(&reply.body) else {
        return RequestStatus::Answered {
            coverage: 0.0,
            faults: BTreeSet::from([AnswerFault::Unreadable]),
        };
    };
    let sent = request.body();
    let check = AnswerCheck {
        sent: &sent,
        hits_per_shard: HITS_PER_SHARD,
        coverage_header: reply.header("fulmarweir-coverage"),
        version_header: reply.header("fulmarweir-version"),
    };
    let shards = f64::from(answer.coverage.shards.max(1));
    RequestStatus::Answered {
        coverage: f64::from(answer.coverage.answered) / shards,
        faults: check.faults(&answer),
    }
}
