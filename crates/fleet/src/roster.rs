//! The targets that an entry VM may use, merged from what all keepers say.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use crate::{
    notice::{NoticeState, TargetNotice},
    registry::{RegistryMark, RegistryNews},
};

/// Silence of a keeper after which its targets count only if another keeper lists them.
///
/// Its targets have then had time to announce themselves elsewhere.
const KEEPER_SILENCE_MS: u64 = 9_000;

/// What one keeper has said.
#[derive(Debug, Default)]
struct KeeperView {
    mark: Option<RegistryMark>,
    heard_at: MonoTime,
    settled: bool,
    notices: HashMap<Arc<str>, TargetNotice>,
}

/// What all keepers say of the targets.
#[derive(Debug, Default)]
pub struct TargetRoster {
    keepers: BTreeMap<SocketAddr, KeeperView>,
}

impl TargetRoster {
    /// Where this VM stands in the changes of a keeper.
    #[must_use]
    pub fn mark(&self, keeper: SocketAddr) -> Option<RegistryMark> {
        self.keepers.get(&keeper).and_then(|view| view.mark)
    }

    /// Takes in what a keeper says; returns whether the targets may have changed.
    pub fn take(&mut self, keeper: SocketAddr, news: RegistryNews, now: MonoTime) -> bool {
        let view = self.keepers.entry(keeper).or_default();
        let changed = news.whole || !news.notices.is_empty() || !news.lapsed.is_empty();
        // A keeper that has just started does not know its targets yet: their absence says nothing.
        if news.whole && news.settled {
            view.notices.clear();
        }
        view.mark = Some(news.mark);
        view.heard_at = now;
        view.settled = news.settled;
        for id in &news.lapsed {
            view.notices.remove(id);
        }
        for notice in news.notices {
            let known = view.notices.get(&notice.id);
            if known.is_none_or(|known| known.rank() <= notice.rank()) {
                view.notices.insert(Arc::clone(&notice.id), notice);
            }
        }
        changed
    }

    /// Forgets keepers that have been silent while another one answers.
    ///
    /// Returns whether the targets may have changed. While no keeper answers, the last
    /// known targets stay in use.
    pub fn drop_silent(&mut self, now: MonoTime) -> bool {
        let silence = Duration::from_millis(KEEPER_SILENCE_MS);
        let is_silent = |view: &KeeperView| now.since(view.heard_at) > silence;
        let any_heard = self
            .keepers
            .values()
            .any(|view| view.settled && !is_silent(view));
        if !any_heard || !self.keepers.values().any(is_silent) {
            return false;
        }
        self.keepers.retain(|_, view| !is_silent(view));
        true
    }

    /// Keepers that have answered within `period`.
    #[must_use]
    pub fn heard_within(&self, period: Duration, now: MonoTime) -> usize {
        let heard = |view: &&KeeperView| view.mark.is_some() && now.since(view.heard_at) <= period;
        self.keepers.values().filter(heard).count()
    }

    /// The targets that take work, ordered by id.
    #[must_use]
    pub fn serving(&self) -> Vec<TargetNotice> {
        let mut latest: BTreeMap<&Arc<str>, &TargetNotice> = BTreeMap::new();
        for notice in self.keepers.values().flat_map(|view| view.notices.values()) {
            let known = latest.entry(&notice.id).or_insert(notice);
            if notice.rank() > known.rank() {
                *known = notice;
            }
        }
        // An address belongs to whoever started there last.
        let mut owners: HashMap<SocketAddr, (u64, u64)> = HashMap::new();
        for notice in latest.values() {
            if notice.state != NoticeState::Gone {
                let owner = owners.entry(notice.address).or_default();
                *owner = (*owner).max(notice.rank());
            }
        }
        let mut serving: Vec<TargetNotice> = Vec::new();
        for notice in latest.into_values() {
            let owns = owners.get(&notice.address).map(|owner| owner.0) == Some(notice.born_ms);
            if notice.state == NoticeState::Serving && owns {
                serving.push(notice.clone());
            }
        }
        serving
    }
}
