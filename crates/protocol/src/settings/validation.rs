//! Validation of settings values, beyond what deserialization checks.

use super::{
    ProcessLimits, Settings, SettingsError, SiteSettings, StoreLimits, Team, WorkerTiming,
};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum length of a controller's or zone's name.
const MAX_NAME_BYTES: usize = 100;

/// Minimum of `settings.state.txn_ops`. Transactions with fewer operations can't contain
/// all writes that must be atomic.
const MIN_TXN_OPS: usize = 4;

/// Minimum duration of a worker's lease, in heartbeat intervals.
const MIN_LEASE_HEARTBEATS: f64 = 3.0;

type ValidationResult = Result<(), SettingsError>;

fn invalid(field: impl Into<String>, reason: impl Into<String>) -> ValidationResult {
    Err(SettingsError {
        field: field.into(),
        reason: reason.into(),
    })
}

/// Whether a text is a valid name of a controller or zone. Slashes and spaces are not
/// allowed, as names become parts of the store's keys and of log lines.
fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(['/', ' '])
}

impl Settings {
    pub(super) fn check(&self) -> ValidationResult {
        if !is_name(&self.member) {
            return invalid("member", "must be a name without spaces or slashes");
        }
        self.check_peers()?;
        self.check_addresses()?;
        self.site.check()?;
        if !self.site.zones.contains(&self.zone) {
            return invalid("domain", format!("{} is not in settings.zones", self.zone));
        }
        Ok(())
    }

    fn check_peers(&self) -> ValidationResult {
        let mut names = HashSet::from([self.member.as_str()]);
        for peer in &self.peers {
            if !names.insert(&peer.member) {
                return invalid("others.member", format!("{} is named twice", peer.member));
            }
        }
        Ok(())
    }

    fn check_addresses(&self) -> ValidationResult {
        check_address("public_addr", &self.public_addr)?;
        check_address("mesh_addr", &self.peer_addr)?;
        check_address("outside.cloud", &self.endpoints.cloud)?;
        check_address("outside.state", &self.endpoints.store)?;
        for peer in &self.peers {
            check_address(&format!("others.{}.endpoint", peer.member), &peer.endpoint)?;
        }
        if self.public_addr == self.peer_addr {
            return invalid("mesh_addr", "must differ from public_addr");
        }
        Ok(())
    }
}

fn check_address(field: &str, address: &str) -> ValidationResult {
    if address.parse::<SocketAddr>().is_err() {
        return invalid(field, format!("{address:?} is not IP:port"));
    }
    Ok(())
}

impl SiteSettings {
    fn check(&self) -> ValidationResult {
        self.check_zones()?;
        self.check_positive()?;
        self.limits.check()?;
        self.store.check()?;
        self.workers.check()?;
        if !(self.skew_ms.is_finite() && self.skew_ms >= 0.0) {
            return invalid("settings.skew_ms", "must not be negative");
        }
        self.check_teams()
    }

    fn check_zones(&self) -> ValidationResult {
        if self.zones.is_empty() {
            return invalid("settings.zones", "at least one zone is needed");
        }
        if let Some(zone) = self.zones.iter().find(|zone| !is_name(zone)) {
            return invalid("settings.zones", format!("{zone:?} can't name a zone"));
        }
        let mut zones = HashSet::new();
        if let Some(duplicate) = self.zones.iter().find(|zone| !zones.insert(*zone)) {
            return invalid("settings.zones", format!("{duplicate} is named twice"));
        }
        Ok(())
    }

    fn check_positive(&self) -> ValidationResult {
        let values = [
            ("settings.workers.report_s", self.workers.heartbeat_s),
            ("settings.workers.lease_s", self.workers.lease_s),
            ("settings.workers.gang_wait_s", self.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", self.workers.gang_peer_s),
            ("settings.workers.cancel_s", self.workers.cancel_s),
            ("settings.state.rps", self.store.rps),
            ("settings.state.write_rps", self.store.write_rps),
            ("settings.state.value_kb", self.store.value_kb),
            ("settings.state.txn_ops", self.store.txn_ops as f64),
            ("settings.cloud.rps", self.cloud.rps),
        ];
        for (field, value) in values {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, format!("{value} is not above 0"));
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> ValidationResult {
        let mut names = HashSet::new();
        for team in &self.teams {
            if !names.insert(&team.name) {
                return invalid("settings.teams", format!("{} is named twice", team.name));
            }
            team.check("cpus", team.cpus, team.cpus_max)?;
            team.check("gpus", team.gpus, team.gpus_max)?;
        }
        Ok(())
    }
}

impl ProcessLimits {
    /// Rejects limits below the minimum that a controller's process needs. 0 is valid and
    /// means unlimited.
    fn check(&self) -> ValidationResult {
        let limits = [
            ("settings.quota.cpu_share", self.cpu_share, 0.005),
            ("settings.quota.mem_mb", self.mem_mb, 32.0),
            ("settings.quota.fd_limit", self.fd_limit, 64.0),
        ];
        for (field, value, minimum) in limits {
            if !(value == 0.0 || value.is_finite() && value >= minimum) {
                return invalid(
                    field,
                    format!("{value} is neither 0 nor at least {minimum}"),
                );
            }
        }
        Ok(())
    }
}

impl StoreLimits {
    fn check(&self) -> ValidationResult {
        if self.txn_ops < MIN_TXN_OPS {
            let reason = format!("fewer than {MIN_TXN_OPS} can't be worked with");
            return invalid("settings.state.txn_ops", reason);
        }
        Ok(())
    }
}

impl WorkerTiming {
    fn check(&self) -> ValidationResult {
        if self.lease_s < MIN_LEASE_HEARTBEATS * self.heartbeat_s {
            return invalid(
                "settings.workers.lease_s",
                "must be at least three times report_s",
            );
        }
        if self.cancel_s <= self.lease_s {
            return invalid("settings.workers.cancel_s", "must be above lease_s");
        }
        Ok(())
    }
}

impl Team {
    /// Validates the guarantee and the quota of one resource.
    fn check(&self, resource: &str, guarantee: f64, quota: f64) -> ValidationResult {
        let field = format!("settings.teams.{}.{resource}", self.name);
        let is_amount = |value: f64| value.is_finite() && value >= 0.0;
        if !is_amount(guarantee) || !is_amount(quota) {
            return invalid(field, "must be 0 or more, and finite");
        }
        if quota > 0.0 && guarantee > quota {
            let reason = format!("the guarantee {guarantee} is above the limit {quota}");
            return invalid(field, reason);
        }
        Ok(())
    }
}
