//! The retry budget, which hedges and retries share.

/// Extra attempts that the budget holds when full.
const BURST_ATTEMPTS: f64 = 24.0;

/// A token bucket: each first attempt adds a share of a token, each extra attempt spends one token.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_ATTEMPTS,
        }
    }
}

impl RetryBudget {
    /// Adds `share` tokens for each of `first_attempts` first attempts.
    pub(crate) fn deposit(&mut self, first_attempts: usize, share: f64) {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let credit = first_attempts as f64 * share.max(0.0);
        self.tokens = (self.tokens + credit).min(BURST_ATTEMPTS);
    }

    /// Returns the used share of the budget, from 0 (full) to 1 (empty or in debt).
    pub(crate) fn utilization(&self) -> f64 {
        (1.0 - self.tokens / BURST_ATTEMPTS).clamp(0.0, 1.0)
    }

    /// Spends tokens for `count` extra attempts, or none if there are fewer tokens.
    pub(crate) fn try_spend(&mut self, count: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let cost = count as f64;
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// Spends a token for the retry of an attempt that cost its target nothing. The budget may go
    /// into debt by up to `BURST_ATTEMPTS`.
    pub(crate) fn try_borrow(&mut self) -> bool {
        if self.tokens - 1.0 < -BURST_ATTEMPTS {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends tokens for `count` attempts that are sent in any case: those of a request that its
    /// caller repeats, and retries after a version is gone. The budget may go into debt by up to
    /// `BURST_ATTEMPTS`.
    pub(crate) fn charge(&mut self, count: usize) {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let cost = count as f64;
        self.tokens = (self.tokens - cost).max(-BURST_ATTEMPTS);
    }

    /// Returns the tokens of `count` attempts that were not sent.
    pub(crate) fn refund(&mut self, count: usize) {
        self.deposit(count, 1.0);
    }
}
