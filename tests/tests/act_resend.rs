//! Acts that are sent at another VM while the first request with their key is refused.

use std::time::Duration;

use fulmarweir_bench::Tier;
use fulmarweir_tests::{ActResult, TestCaller, one_centre, service_text};
use futures::future::join_all;

/// One request claims the key and gives the claim back; the other meets the claim meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_act_that_was_not_run_is_not_in_doubt_for_a_second_request() {
    let tier = Tier::start(&one_centre(2)).await.unwrap();
    tier.submit_config(&service_text("act", ""), 0)
        .await
        .unwrap();
    let caller = TestCaller::default();
    let patience = Duration::from_secs(5);
    // Without a target every act is refused as not run, after its key was claimed.
    for number in 0..20 {
        let key = format!("k-{number}");
        let acts = tier
            .daemons()
            .iter()
            .map(|daemon| caller.act(daemon.callers(), &key, patience));
        let ended = join_all(acts).await;
        assert_eq!(ended, [ActResult::NotRun; 2], "{key}");
    }
    tier.stop().await.unwrap();
}
