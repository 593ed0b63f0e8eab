//! Drives one relayed request: performs the actions of its [`RelayRun`] and reports back how
//! attempts and handovers ended.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, lock};
use fulmarweir_conf::RouteKey;
use fulmarweir_pool::{ConnectionReuse, ConnectionTerms, RelayFault, RelayReply, RequestEnd};
use fulmarweir_route::{
    AnswerSource, GroupOutcome, PlacementRule, RelayAction, RelayAttempt, RelayAttemptOutcome,
    RelayOutcome, RelayParams, RelayRefusal, RelayRun, RelayTarget, RequestFingerprint,
    StatedLimit, TargetNotice,
};
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, ready},
    stream::FuturesUnordered,
};
use http::{
    HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header,
    uri::{Authority, PathAndQuery},
};
use http_body_util::Full;
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use super::{
    adapter::{ReplyClass, ReplyNotice},
    answer::find_reply,
    attempt_loss::{examine_loss, record_refused_connection},
    cold_targets::record_cold_reply,
    entry::EntryNode,
    handover::{FinishedHandover, Handover, fetch_rest, hand_over, plan_for_helper},
    handover_message::GroupReply,
    routed::RoutedRequest,
    target_notices::{NoticeSource, apply_limit, apply_notice, notice_of},
};
use crate::metrics::{ChargeLabel, DistanceLabel, KindLabel, OutcomeLabel, ReasonLabel};

/// How long unfinished attempts may continue after their request was answered, in milliseconds.
///
/// A target that is still working can then finish, and its connection can be reused.
const LINGER_MS: u64 = 1_200;

/// The request as it is sent to every target.
#[derive(Debug)]
pub(crate) struct RelayMessage {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What makes this request the same as others, whatever its id.
    pub(crate) fingerprint: RequestFingerprint,
    /// Regions in which the request may run, as of its admission.
    pub(crate) placement: PlacementRule,
    /// The caller's id of this request, which targets return in their replies.
    pub(crate) request_id: HeaderValue,
    pub(crate) route: RouteKey,
    pub(crate) idempotent: bool,
    pub(crate) deadline: MonoTime,
}

impl RelayMessage {
    /// Returns the fingerprint of a request with these parts. The caller's organisation is the host
    /// that the request names.
    pub(crate) fn fingerprint_of(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: &[u8],
    ) -> RequestFingerprint {
        let named = headers.get(header::HOST).and_then(|h| h.to_str().ok());
        let host = named.or_else(|| uri.authority().map(Authority::as_str));
        let path = uri.path_and_query().map_or("/", PathAndQuery::as_str);
        RequestFingerprint::of(method.as_str(), host.unwrap_or_default(), path, body)
    }
}

/// A finished attempt.
struct FinishedAttempt {
    sub_request: usize,
    attempt: u32,
    sent_at: MonoTime,
    outcome: RelayAttemptOutcome,
    reply: Option<RelayReply>,
    fault: Option<&'static str>,
    target: Arc<RelayTarget>,
    notice: TargetNotice,
}

/// A finished part of a request in flight.
enum FinishedWork {
    Attempt(FinishedAttempt),
    /// The handover group with this index.
    Group(usize, FinishedHandover),
}

type WorkFuture = BoxFuture<'static, FinishedWork>;

/// The result of a request.
pub(crate) struct RelayResult {
    pub(crate) outcome: RelayOutcome,
    /// Replies by attempt number; includes replies that the outcome does not use.
    pub(crate) replies: Vec<(u32, RelayReply)>,
    /// Replies of brokers by the index of the handover group.
    pub(crate) group_replies: Vec<(usize, GroupReply)>,
    /// The outcome for the VM that handed over the request, if one did.
    pub(crate) group_outcome: GroupOutcome,
    /// What targets have said about themselves.
    pub(crate) notices: Vec<(Arc<RelayTarget>, TargetNotice)>,
    pub(crate) stats: RelayStats,
}

impl RelayResult {
    /// Whether the request was refused and has run nowhere.
    pub(crate) fn has_not_run(&self) -> bool {
        let is_not_run = |refusal: &RelayRefusal| refusal.verdict == RunVerdict::NotRun;
        matches!(&self.outcome, RelayOutcome::Refused(refusal) if is_not_run(refusal))
    }

    /// Returns the label of the outcome for logs and metrics.
    pub(crate) fn outcome_label(&self, is_search: bool) -> &'static str {
        match &self.outcome {
            RelayOutcome::Answered(_) if !is_search => "answered",
            RelayOutcome::Answered(_) if self.stats.missing == 0 => "whole",
            RelayOutcome::Answered(_) => "partial",
            RelayOutcome::TargetFailure(_) => "target-failure",
            RelayOutcome::Refused(refusal) => refusal.reason.as_str(),
        }
    }
}

/// Statistics of one request for its log line.
pub(crate) struct RelayStats {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(crate) missing: usize,
    pub(crate) verdict: RunVerdict,
    /// Services without an answer.
    pub(crate) missing_services: Vec<Arc<str>>,
    /// The last fault of an attempt.
    pub(crate) last_fault: Option<&'static str>,
    /// Status of the failure reply that is the outcome.
    pub(crate) failure_status: Option<StatusCode>,
    /// Services that were left out since nothing in the home regions could be reached.
    pub(crate) home_bound_services: Vec<Arc<str>>,
    /// Brokers to which groups of shards were handed over.
    pub(crate) brokers: Vec<SocketAddr>,
}

/// A request in flight. Dropping the driver abandons unfinished attempts and handovers.
pub(crate) struct RelayDriver {
    node: Arc<EntryNode>,
    message: Arc<RelayMessage>,
    routed: Arc<RoutedRequest>,
    run: RelayRun,
    in_flight: FuturesUnordered<WorkFuture>,
    replies: Vec<(u32, RelayReply)>,
    group_replies: Vec<(usize, GroupReply)>,
    /// Brokers to which groups of shards were handed over.
    brokers: Vec<SocketAddr>,
    /// Handover groups whose brokers are silent.
    silent_groups: UnboundedReceiver<usize>,
    silence: UnboundedSender<usize>,
    /// Changes when the links to targets are lost.
    link_losses: watch::Receiver<u64>,
    notices: Vec<(Arc<RelayTarget>, TargetNotice)>,
    last_fault: Option<&'static str>,
}

impl RelayDriver {
    /// Starts a request. Pass the returned actions to [`RelayDriver::run_to_end`].
    pub(crate) fn start(
        node: Arc<EntryNode>,
        routed: Arc<RoutedRequest>,
        params: RelayParams,
        handovers: Vec<Handover>,
    ) -> (Self, Vec<RelayAction>) {
        let link_losses = node.link_losses.subscribe();
        let now = node.timer.now();
        let (run, actions) = node.with_selector(|selector| RelayRun::start(params, selector, now));
        let (silence, silent_groups) = unbounded_channel();
        let mut driver = Self {
            node,
            message: Arc::clone(&routed.message),
            routed,
            run,
            in_flight: FuturesUnordered::new(),
            group_replies: Vec::new(),
            brokers: Vec::new(),
            silent_groups,
            silence,
            link_losses,
            notices: Vec::new(),
            replies: Vec::new(),
            last_fault: None,
        };
        let is_over = |action: &RelayAction| matches!(action, RelayAction::Finish(_));
        if !actions.iter().any(is_over) {
            driver.start_handovers(handovers);
        }
        (driver, actions)
    }

    fn start_handovers(&mut self, handovers: Vec<Handover>) {
        for (group_index, handover) in handovers.into_iter().enumerate() {
            self.start_handover(group_index, handover);
        }
    }

    fn start_handover(&mut self, group_index: usize, handover: Handover) {
        self.brokers.push(handover.broker());
        let on_silence = (group_index, self.silence.clone());
        let work = hand_over(Arc::clone(&self.node), handover, on_silence);
        self.push_group(group_index, work);
    }

    /// Hands a group over because the links to targets are lost.
    fn start_for_helper(&mut self, group_index: usize) {
        let repeats = self.run.repeats_in(group_index);
        let group = self.run.handover_group(group_index).clone();
        let services = self.run.services();
        match plan_for_helper(&self.node, &self.routed, services, &group, &repeats) {
            Some(handover) => {
                self.start_handover(group_index, handover);
            }
            None => self.push_group(group_index, ready(FinishedHandover::not_taken())),
        }
    }

    /// Drives the request until it has an outcome, and leaves unfinished attempts to a task.
    pub(crate) async fn run_to_end(mut self, actions: Vec<RelayAction>) -> RelayResult {
        let outcome = self.run_to_outcome(actions).await;
        let result = self.take_result(outcome);
        self.release();
        result
    }

    /// Continues a handover whose outcome was returned, until `soft_deadline` at least.
    pub(super) fn resume(
        &mut self,
        soft_deadline: MonoTime,
        deadline: MonoTime,
    ) -> Vec<RelayAction> {
        let now = self.node.timer.now();
        let mut selector = lock(&self.node.selector);
        self.run.resume(soft_deadline, deadline, &mut selector, now)
    }

    /// Drives the request until it has an outcome.
    pub(super) async fn run_to_outcome(&mut self, mut actions: Vec<RelayAction>) -> RelayOutcome {
        let mut wake_at = self.message.deadline;
        let mut exiting = pin!(self.node.exiting.clone().cancelled_owned());
        let mut is_ended = false;
        loop {
            for action in actions {
                match action {
                    RelayAction::Send(attempt) => self.send(attempt),
                    RelayAction::HandOver(group) => self.start_for_helper(group),
                    RelayAction::Wake(at) => wake_at = at,
                    RelayAction::Finish(outcome) => return outcome,
                }
            }
            let timer = self.node.timer.clone();
            actions = tokio::select! {
                biased;
                Some(finished) = self.in_flight.next() => self.on_work_end(finished),
                Some(group) = self.silent_groups.recv() => {
                    let now = self.node.timer.now();
                    let run = &mut self.run;
                    self.node.with_selector(|selector| run.on_group_silent(group, selector, now))
                }
                Ok(()) = self.link_losses.changed() => {
                    let now = self.node.timer.now();
                    let run = &mut self.run;
                    self.node.with_selector(|selector| run.on_links_lost(selector, now))
                }
                () = timer.sleep_until(wake_at) => {
                    let now = self.node.timer.now();
                    let run = &mut self.run;
                    self.node.with_selector(|selector| run.on_wake(selector, now))
                }
                () = &mut exiting, if !is_ended => {
                    is_ended = true;
                    let now = self.node.timer.now();
                    let run = &mut self.run;
                    self.node.with_selector(|selector| run.end(selector, now))
                }
            };
        }
    }

    /// Returns the result of the request, or of a handover up to now.
    pub(super) fn take_result(&mut self, outcome: RelayOutcome) -> RelayResult {
        let (hedges, _) = self.run.hedges();
        let stats = RelayStats {
            fingerprint: self.message.fingerprint,
            attempts: self.run.attempts(),
            hedges,
            missing: self.run.missing(),
            verdict: self.run.verdict(),
            missing_services: self.run.missing_services().cloned().collect(),
            last_fault: self.last_fault,
            failure_status: self.failure_status(&outcome),
            home_bound_services: self.run.home_bound_services().cloned().collect(),
            brokers: std::mem::take(&mut self.brokers),
        };
        let group_outcome = self.run.group_outcome();
        let group_replies = std::mem::take(&mut self.group_replies);
        let replies = std::mem::take(&mut self.replies);
        let notices = std::mem::take(&mut self.notices);
        RelayResult {
            outcome,
            replies,
            group_replies,
            group_outcome,
            notices,
            stats,
        }
    }

    /// Returns the status of the target's failure reply, if that is the outcome.
    fn failure_status(&self, outcome: &RelayOutcome) -> Option<StatusCode> {
        let RelayOutcome::TargetFailure(source) = outcome else {
            return None;
        };
        let reply = match source {
            AnswerSource::Attempt(attempt) => find_reply(&self.replies, *attempt),
            AnswerSource::Group(group) => {
                let mut replies = self.group_replies.iter();
                let found = replies.find(|(number, _)| number == group);
                found.and_then(|(_, reply)| reply.target_reply.as_deref())
            }
        };
        reply.map(|reply| reply.status)
    }

    /// Ends the request. Unfinished attempts go on for a while in a task.
    pub(super) fn release(self) {
        let (hedges, wins) = self.run.hedges();
        let metrics = &self.node.metrics;
        for (outcome, count) in [("sent", hedges), ("won", wins)] {
            metrics
                .hedges
                .get_or_create(&OutcomeLabel { outcome })
                .inc_by(count.into());
        }
        if !self.in_flight.is_empty() {
            let tasks = self.node.detached_tasks.clone();
            tasks.spawn(self.linger());
        }
    }

    /// Waits up to `LINGER_MS` for unfinished attempts, so that their connections can be reused.
    async fn linger(mut self) {
        let until = self.node.timer.now() + Duration::from_millis(LINGER_MS);
        let timer = self.node.timer.clone();
        loop {
            tokio::select! {
                finished = self.in_flight.next() => match finished {
                    Some(finished) => {
                        // The request has its outcome, so no action can follow.
                        let _ = self.on_work_end(finished);
                        self.replies.clear();
                    }
                    None => return,
                },
                () = timer.sleep_until(until) => return,
            }
        }
    }

    fn on_work_end(&mut self, finished: FinishedWork) -> Vec<RelayAction> {
        let now = self.node.timer.now();
        let finished = match finished {
            FinishedWork::Attempt(finished) => finished,
            FinishedWork::Group(group_index, finished) => {
                return self.on_group_end(group_index, finished, now);
            }
        };
        if let RelayAttemptOutcome::Answered { .. } = finished.outcome {
            let latency = now.since(finished.sent_at);
            lock(&self.node.latency_table).record(&self.message.route, latency);
        }
        if let Some(fault) = finished.fault {
            self.last_fault = Some(fault);
            let label = ReasonLabel { reason: fault };
            self.node
                .metrics
                .attempt_failures
                .get_or_create(&label)
                .inc();
        }
        if !finished.notice.is_empty() {
            self.notices.push((finished.target, finished.notice));
        }
        if let Some(reply) = finished.reply {
            self.replies.push((finished.attempt, reply));
        }
        let run = &mut self.run;
        self.node.with_selector(|selector| {
            run.on_attempt_end(
                finished.sub_request,
                finished.attempt,
                finished.outcome,
                selector,
                now,
            )
        })
    }

    fn push_group(
        &mut self,
        group_index: usize,
        work: impl Future<Output = FinishedHandover> + Send + 'static,
    ) {
        let work = work.map(move |finished| FinishedWork::Group(group_index, finished));
        self.in_flight.push(work.boxed());
    }

    fn on_group_end(
        &mut self,
        group_index: usize,
        finished: FinishedHandover,
        now: MonoTime,
    ) -> Vec<RelayAction> {
        let FinishedHandover {
            outcome,
            reply,
            centre,
            rest,
        } = finished;
        if let Some(centre) = centre {
            self.run.record_broker_centre(group_index, &centre);
        }
        self.group_replies
            .extend(reply.map(|reply| (group_index, reply)));
        let run = &mut self.run;
        let actions = self
            .node
            .with_selector(|selector| run.on_group_end(group_index, &outcome, selector, now));
        if let Some(rest) = rest
            && !self.run.is_finished()
        {
            let time_left = self.message.deadline.since(now);
            let work = fetch_rest(Arc::clone(&self.node), rest, time_left);
            self.push_group(group_index, work);
        }
        actions
    }

    fn send(&mut self, attempt: RelayAttempt) {
        let kind = attempt.kind.as_str();
        self.node
            .metrics
            .attempts
            .get_or_create(&KindLabel { kind })
            .inc();
        let charge = attempt.charge.as_str();
        self.node
            .metrics
            .attempt_charges
            .get_or_create(&ChargeLabel { charge })
            .inc();
        let distance = attempt.target.locality.as_str();
        self.node
            .metrics
            .attempt_distances
            .get_or_create(&DistanceLabel { distance })
            .inc();
        let work = run_attempt(Arc::clone(&self.node), Arc::clone(&self.message), attempt);
        self.in_flight.push(work.map(FinishedWork::Attempt).boxed());
    }
}

impl Drop for RelayDriver {
    fn drop(&mut self) {
        let now = self.node.timer.now();
        let abandoned = self.run.abandon(&mut lock(&self.node.selector), now);
        for sent_at in abandoned {
            lock(&self.node.latency_table).record(&self.message.route, now.since(sent_at));
        }
    }
}

/// Sends one attempt and classifies the reply.
async fn run_attempt(
    node: Arc<EntryNode>,
    message: Arc<RelayMessage>,
    attempt: RelayAttempt,
) -> FinishedAttempt {
    let sent_at = node.timer.now();
    let reuse = match (attempt.new_connection, message.idempotent) {
        (true, _) => ConnectionReuse::Never,
        (false, true) => ConnectionReuse::Any,
        (false, false) => ConnectionReuse::Recent,
    };
    let mut notice = TargetNotice::default();
    let finished = |outcome, reply, fault, notice| FinishedAttempt {
        sub_request: attempt.sub_request,
        attempt: attempt.attempt,
        sent_at,
        outcome,
        reply,
        fault,
        target: Arc::clone(&attempt.target),
        notice,
    };
    let Some(request) = build_request(&node, &message, &attempt, sent_at) else {
        let outcome = RelayAttemptOutcome::Unreachable;
        return finished(outcome, None, Some("bad-request"), notice);
    };
    let address = attempt.target.address;
    let is_sent = AtomicBool::new(false);
    let may_send = || {
        let now = node.timer.now();
        let mut selector = lock(&node.selector);
        let request = (message.fingerprint, &message.placement);
        let may_send = selector.may_send(&attempt.target, request, attempt.permits, now);
        is_sent.store(may_send, Relaxed);
        may_send
    };
    let terms = ConnectionTerms {
        reuse,
        idle_timeout: attempt.idle_timeout,
        request_id: message.request_id.as_bytes(),
        deadline: message.deadline,
    };
    let exchange = node.pool.exchange(address, request, terms, &may_send);
    let reply = tokio::select! {
        biased;
        reply = exchange => reply,
        // What waits for a connection will not get one.
        () = node.links_lost_unless(&is_sent) => Err(RelayFault::Connect),
    };
    let (reply, connection) = match reply {
        Ok(exchanged) => exchanged,
        Err(fault) => {
            let outcome = fault_outcome(&node, &message, &attempt, fault, sent_at).await;
            return finished(outcome, None, Some(fault.as_str()), notice);
        }
    };
    let class = (node.adapter.classify)(&reply, message.request_id.as_bytes());
    match class {
        ReplyClass::Answer { .. } => node.pool.keep(connection, RequestEnd::Answered),
        ReplyClass::Refused | ReplyClass::Moved | ReplyClass::Failure => {
            node.pool.keep(connection, RequestEnd::Unanswered);
        }
        // Later replies on this connection would belong to other requests as well.
        ReplyClass::Invalid => {
            drop(connection);
            node.pool.close_idle(address);
        }
    }
    // Any other reply may come from another target than this one.
    if !matches!(class, ReplyClass::Moved | ReplyClass::Invalid) {
        let is_answer = matches!(class, ReplyClass::Answer { .. });
        let reply_notice = (node.adapter.read_notice)(&reply);
        let request_id = &message.request_id;
        notice = apply_reply_notice(
            &node,
            request_id,
            &attempt,
            reply_notice,
            is_answer,
            sent_at,
        );
    }
    match class {
        ReplyClass::Answer { load } => {
            let outcome = RelayAttemptOutcome::Answered { load };
            finished(outcome, Some(reply), None, notice)
        }
        ReplyClass::Refused => {
            finished(RelayAttemptOutcome::Refused, None, Some("refused"), notice)
        }
        ReplyClass::Moved => finished(RelayAttemptOutcome::Moved, None, Some("moved"), notice),
        ReplyClass::Failure => {
            let outcome = RelayAttemptOutcome::FailureReply;
            finished(outcome, Some(reply), Some("failure"), notice)
        }
        ReplyClass::Invalid => finished(RelayAttemptOutcome::Broken, None, Some("garbage"), notice),
    }
}

/// Returns the outcome of an attempt without a reply.
async fn fault_outcome(
    node: &Arc<EntryNode>,
    message: &RelayMessage,
    attempt: &RelayAttempt,
    fault: RelayFault,
    sent_at: MonoTime,
) -> RelayAttemptOutcome {
    if fault == RelayFault::Broken {
        node.pool.close_idle(attempt.target.address);
    }
    match fault {
        RelayFault::Connect => RelayAttemptOutcome::Unreachable,
        RelayFault::ConnectRefused => {
            record_refused_connection(node, &attempt.target);
            RelayAttemptOutcome::Unreachable
        }
        RelayFault::NotSent => RelayAttemptOutcome::NoConnection,
        RelayFault::OverLimit => RelayAttemptOutcome::OverLimit,
        RelayFault::Withheld => RelayAttemptOutcome::Withheld,
        RelayFault::TooLarge => RelayAttemptOutcome::Broken,
        RelayFault::Rejected | RelayFault::Broken => {
            examine_loss(node, message, attempt, fault, sent_at).await
        }
    }
}

/// Applies what the reply to an attempt says about its target; returns what other VMs should know.
fn apply_reply_notice(
    node: &EntryNode,
    request_id: &HeaderValue,
    attempt: &RelayAttempt,
    reply_notice: ReplyNotice,
    is_answer: bool,
    sent_at: MonoTime,
) -> TargetNotice {
    let target = &attempt.target;
    if let Some(cold_for) = reply_notice.cold_for {
        record_cold_reply(node, target, cold_for);
    }
    let notice = notice_of(node, reply_notice);
    apply_notice(node, request_id, target, notice, NoticeSource::Reply);
    // Only an answer shows that a limit is over; a failure may come from before the target.
    if is_answer || reply_notice.limit != StatedLimit::None {
        apply_limit(node, request_id, target, reply_notice.limit, sent_at);
    }
    notice
}

/// Builds the HTTP request of one attempt. Returns `None` if a header value is invalid.
fn build_request(
    node: &EntryNode,
    message: &RelayMessage,
    attempt: &RelayAttempt,
    now: MonoTime,
) -> Option<Request<Full<Bytes>>> {
    let names = &node.adapter.headers;
    let left_ms = message.deadline.since(now).as_millis().max(1);
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let headers = request.headers_mut();
    let left = HeaderValue::from_str(&left_ms.to_string()).ok()?;
    headers.insert(names.time_left_ms.clone(), left);
    let target = HeaderValue::from_str(&attempt.target.id).ok()?;
    headers.insert(names.expected_target.clone(), target);
    Some(request)
}
