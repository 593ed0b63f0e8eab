//! Sends the applied configuration version to peers and compares the versions they send.

use std::net::SocketAddr;

use fulmarweir_base::MonoTime;

use crate::{
    ConfigStamp, FleetAction, FleetMessage, FleetState, ReadyPhase, config_tracker::ConfigAction,
    probe::shuffle,
};

/// In data centres up to this size, every VM that applies a configuration notifies all others.
const CONFIG_PUSH_ALL_VMS_MAX: usize = 16;

impl FleetState {
    pub(crate) fn on_config_news(&mut self, from: SocketAddr, stamp: ConfigStamp, now: MonoTime) {
        let retry = self.settings.config_retry_period;
        match self.config.on_peer_config(from, stamp, retry, now) {
            ConfigAction::Ignore => {}
            ConfigAction::Fetch => {
                self.actions
                    .push(FleetAction::ConfigOutdated { peer: from, stamp });
            }
            ConfigAction::ReportConflict => {
                self.actions
                    .push(FleetAction::ConfigConflict { peer: from, stamp });
            }
        }
        self.update_phase(now);
    }

    /// Retries the fetch of an outdated configuration, and updates the phase.
    pub(crate) fn tick_config(&mut self, now: MonoTime) {
        if let Some(peer) = self
            .config
            .retry_source(self.settings.config_retry_period, now)
        {
            let stamp = self.config.newest_known();
            self.actions
                .push(FleetAction::ConfigOutdated { peer, stamp });
        }
        self.update_phase(now);
    }

    pub(crate) fn update_phase(&mut self, now: MonoTime) {
        let no_seeds = self.settings.seeds.is_empty();
        let changed: Option<ReadyPhase> =
            self.config
                .advance_phase(no_seeds, self.settings.learning_timeout, now);
        self.actions.extend(changed.map(FleetAction::PhaseChanged));
    }

    /// Sends the applied configuration version to some peers and to contacts of other data centres.
    pub(crate) fn push_config(&mut self) {
        let stamp = self.config.applied();
        let mut peers: Vec<_> = self.members.live_peers().map(|peer| peer.peers).collect();
        if peers.len() > CONFIG_PUSH_ALL_VMS_MAX {
            shuffle(&mut peers, &mut self.rng);
            peers.truncate(self.settings.config_fan_out);
        }
        peers.extend(self.remote_contacts());
        for peer in peers {
            self.send(peer, FleetMessage::ConfigNews(stamp));
        }
    }
}
