//! Which requests were answered lately, and by which services.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use super::fingerprint::RequestFingerprint;

/// Most pairs of a request and a service that are kept, about 100 bytes each.
const PAIRS_MAX: usize = 4_096;
/// Time for which an answer is kept, in milliseconds.
const ANSWER_TTL_MS: u64 = 60_000;

/// The latest answers of services to a request.
type ServiceAnswers = Vec<(Arc<str>, MonoTime)>;

/// The latest answers, bounded in number and age.
#[derive(Debug, Default)]
pub(crate) struct AnswerMemory {
    answers: HashMap<RequestFingerprint, ServiceAnswers>,
    /// Requests in the order in which they were added.
    order: VecDeque<(RequestFingerprint, MonoTime)>,
    pairs: usize,
}

impl AnswerMemory {
    /// Records an answer of `service`.
    pub(crate) fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        service: &Arc<str>,
        now: MonoTime,
    ) {
        let answers = self.answers.entry(fingerprint).or_insert_with(|| {
            self.order.push_back((fingerprint, now));
            Vec::new()
        });
        if let Some((_, answered_at)) = answers.iter_mut().find(|(known, _)| known == service) {
            *answered_at = now;
        } else {
            answers.push((Arc::clone(service), now));
            self.pairs += 1;
        }
        self.remove_oldest(now);
    }

    /// Returns when services have answered a request.
    pub(crate) fn answers_to(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = &(Arc<str>, MonoTime)> {
        self.answers.get(&fingerprint).into_iter().flatten()
    }

    fn remove_oldest(&mut self, now: MonoTime) {
        let ttl = Duration::from_millis(ANSWER_TTL_MS);
        while let Some((oldest, added_at)) = self.order.front().copied() {
            if self.pairs <= PAIRS_MAX && now.since(added_at) < ttl {
                return;
            }
            self.order.pop_front();
            if let Some(removed) = self.answers.remove(&oldest) {
                self.pairs -= removed.len();
            }
        }
    }
}
