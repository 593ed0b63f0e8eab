//! Acts that are sent to two VMs at once under the same key and refused.

use std::time::Duration;

use fulmarweir_bench::Tier;
use fulmarweir_tests::{ActResult, TestCaller, service_config, single_centre_settings};
use futures::future::join_all;

/// One request claims the key and releases it. The other request may find the key claimed in the
/// meantime, and must not be answered as if the act may have run.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_of_an_act_that_was_not_run_both_get_not_run() {
    let tier = Tier::start(&single_centre_settings(2)).await.unwrap();
    tier.submit_config(&service_config("act", ""), 0)
        .await
        .unwrap();
    let caller = TestCaller::default();
    let timeout = Duration::from_secs(5);
    // Without a target, every act is refused as not run once its key is claimed.
    for number in 0..20 {
        let key = format!("k-{number}");
        let acts = tier
            .daemons()
            .iter()
            .map(|daemon| caller.act(daemon.callers(), &key, timeout));
        let results = join_all(acts).await;
        assert_eq!(results, [ActResult::NotRun; 2], "{key}");
    }
    tier.stop().await.unwrap();
}
