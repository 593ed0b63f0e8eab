//! Every refusal and retry reason is documented in the operators' page.

use fulmarweir_route::{RefusalReason, RetryReason};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn every_reason_is_documented_in_the_operators_page() {
    let refusals = RefusalReason::ALL.iter().map(|reason| reason.as_str());
    let retries = RetryReason::ALL.iter().map(|reason| reason.as_str());
    for reason in refusals.chain(retries) {
        assert!(PAGE.contains(&format!("`{reason}`")), "{reason}");
    }
}
