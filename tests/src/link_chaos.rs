//! Cuts links between daemons at random and heals them.

use std::time::Duration;

use fulmarweir_bench::{LinkState, Tier};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::{sync::watch, time::sleep};

const CUT_MIN_MS: u64 = 100;
const CUT_MAX_MS: u64 = 900;
const HEALED_MAX_MS: u64 = 300;
/// Share of cuts that isolate a daemon from all others instead of from one.
const ISOLATED_SHARE: f64 = 0.4;
/// Share of cuts that affect one direction only.
const ONE_WAY_SHARE: f64 = 0.3;

/// Cuts links of a tier until `stop` is set, and returns the number of cuts.
async fn cut_links(tier: &Tier, seed: u64, stop: watch::Receiver<bool>) -> u32 {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut cuts = 0;
    while !*stop.borrow() {
        cut_once(tier, &mut generator).await;
        cuts += 1;
        let pause_ms = generator.random_range(0..HEALED_MAX_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
    cuts
}

/// Runs `work` while links are cut, and heals them before it returns.
///
/// # Panics
///
/// When nothing was cut.
pub async fn run_with_link_cuts<T>(tier: &Tier, seed: u64, work: impl Future<Output = T>) -> T {
    let stop = watch::Sender::new(false);
    let work_then_stop = async {
        let result = work.await;
        stop.send_replace(true);
        result
    };
    let (result, cuts) = tokio::join!(work_then_stop, cut_links(tier, seed, stop.subscribe()));
    assert!(cuts > 0, "nothing was cut");
    result
}

/// Makes one cut and heals it after a random time.
pub async fn cut_once<R: Rng>(tier: &Tier, generator: &mut R) {
    let count = tier.daemons().len();
    let one = generator.random_range(0..count);
    let other = (one + generator.random_range(1..count)) % count;
    let mut state = LinkState::cut();
    if generator.random_bool(ONE_WAY_SHARE) {
        state.hold_backward = false;
    }
    let isolated = generator.random_bool(ISOLATED_SHARE);
    let set = |state| {
        if isolated {
            tier.set_links_of_group(&[one], state);
        } else {
            tier.set_link(one, other, state);
        }
    };
    set(state);
    let cut_ms = generator.random_range(CUT_MIN_MS..CUT_MAX_MS);
    sleep(Duration::from_millis(cut_ms)).await;
    set(LinkState::default());
}
