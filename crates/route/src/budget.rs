//! The budget of extra attempts: hedges and retries together.

/// Extra attempts that may be saved up for a burst.
const BURST_ATTEMPTS: f64 = 24.0;

/// A bucket that each first attempt fills by a share and each extra attempt empties by one.
#[derive(Clone, Debug)]
pub(crate) struct ExtraBudget {
    tokens: f64,
}

impl Default for ExtraBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_ATTEMPTS,
        }
    }
}

impl ExtraBudget {
    /// Credits `firsts` first attempts at `share` extra attempts each.
    pub(crate) fn deposit(&mut self, firsts: usize, share: f64) {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let credit = firsts as f64 * share.max(0.0);
        self.tokens = (self.tokens + credit).min(BURST_ATTEMPTS);
    }

    /// How far the budget is used up, from 0 (full) to 1 (empty or in debt).
    pub(crate) fn pressure(&self) -> f64 {
        (1.0 - self.tokens / BURST_ATTEMPTS).clamp(0.0, 1.0)
    }

    /// Takes `count` extra attempts, all or none.
    pub(crate) fn try_take(&mut self, count: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let cost = count as f64;
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// Takes one extra attempt that costs the targets nothing, into debt of up to one burst.
    pub(crate) fn try_borrow(&mut self) -> bool {
        if self.tokens - 1.0 < -BURST_ATTEMPTS {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Charges `count` attempts that a caller repeats; may leave a debt of one burst.
    pub(crate) fn charge(&mut self, count: usize) {
        #[expect(clippy::cast_precision_loss, reason = "shard counts are small")]
        let cost = count as f64;
        self.tokens = (self.tokens - cost).max(-BURST_ATTEMPTS);
    }

    /// Returns `count` attempts that were taken but not sent.
    pub(crate) fn refund(&mut self, count: usize) {
        self.deposit(count, 1.0);
    }
}
