//! The settings file that the platform hands over.

use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub public_addr: String,
    pub mesh_addr: String,
    #[serde(rename = "others", default)]
    pub peers: Vec<PeerSettings>,
    #[serde(rename = "outside")]
    pub endpoints: ServiceAddresses,
    #[serde(rename = "settings")]
    pub site: SiteSettings,
}

#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    pub member: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub endpoint: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    pub cloud: String,
    #[serde(rename = "state")]
    pub store: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct SiteSettings {
    pub zones: Vec<String>,
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerTiming,
    #[serde(rename = "state")]
    pub store: StoreLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "quota")]
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: f64,
    #[serde(default)]
    pub share: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    pub cpu_share: f64,
    pub mem_mb: f64,
    pub fd_limit: f64,
}

#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    pub field: String,
    pub reason: String,
}

fn invalid(field: impl Into<String>, reason: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError {
        field: field.into(),
        reason: reason.into(),
    })
}

impl Settings {
    /// Reads and checks a settings file. Errors are one line.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError {
            field: "settings file".into(),
            reason: describe(&e, text),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.member.is_empty() || self.member.len() > 100 || self.member.contains(['/', ' ']) {
            return invalid("member", "must be a name without spaces or slashes");
        }
        let mut addresses = vec![
            ("public_addr".to_string(), &self.public_addr),
            ("mesh_addr".to_string(), &self.mesh_addr),
            ("outside.cloud".to_string(), &self.endpoints.cloud),
            ("outside.state".to_string(), &self.endpoints.store),
        ];
        let mut names = HashSet::from([self.member.as_str()]);
        for peer in &self.peers {
            if !names.insert(&peer.member) {
                return invalid("others.member", format!("{} is named twice", peer.member));
            }
            addresses.push((format!("others.{}.endpoint", peer.member), &peer.endpoint));
        }
        for (field, address) in addresses {
            if address.parse::<SocketAddr>().is_err() {
                return invalid(field, format!("{address:?} is not IP:port"));
            }
        }
        if self.public_addr == self.mesh_addr {
            return invalid("mesh_addr", "must differ from public_addr");
        }
        self.site.check()?;
        if !self.site.zones.contains(&self.zone) {
            return invalid("domain", format!("{} is not in settings.zones", self.zone));
        }
        Ok(())
    }
}

impl SiteSettings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.zones.is_empty() {
            return invalid("settings.zones", "at least one zone is needed");
        }
        if let Some(zone) = self
            .zones
            .iter()
            .find(|z| z.is_empty() || z.len() > 100 || z.contains(['/', ' ']))
        {
            return invalid("settings.zones", format!("{zone:?} can't name a zone"));
        }
        let mut zones = HashSet::new();
        if let Some(twice) = self.zones.iter().find(|z| !zones.insert(*z)) {
            return invalid("settings.zones", format!("{twice} is named twice"));
        }
        let positive = [
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
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, format!("{value} is not above 0"));
            }
        }
        // 0 means no limit; less than the least given is a slip of the hand.
        let limits = [
            ("settings.quota.cpu_share", self.limits.cpu_share, 0.005),
            ("settings.quota.mem_mb", self.limits.mem_mb, 32.0),
            ("settings.quota.fd_limit", self.limits.fd_limit, 64.0),
        ];
        for (field, value, least) in limits {
            if !(value == 0.0 || value.is_finite() && value >= least) {
                return invalid(field, format!("{value} is neither 0 nor at least {least}"));
            }
        }
        if self.store.txn_ops < 4 {
            return invalid(
                "settings.state.txn_ops",
                "fewer than 4 can't be worked with",
            );
        }
        if self.workers.lease_s < 3.0 * self.workers.heartbeat_s {
            return invalid(
                "settings.workers.lease_s",
                "must be at least three times report_s",
            );
        }
        if self.workers.cancel_s <= self.workers.lease_s {
            return invalid("settings.workers.cancel_s", "must be above lease_s");
        }
        if !(self.skew_ms.is_finite() && self.skew_ms >= 0.0) {
            return invalid("settings.skew_ms", "must not be negative");
        }
        let mut teams = HashSet::new();
        for team in &self.teams {
            let name = &team.name;
            if !teams.insert(name) {
                return invalid("settings.teams", format!("{name} is named twice"));
            }
            for (what, low, high) in [
                ("cpus", team.cpus, team.cpus_max),
                ("gpus", team.gpus, team.gpus_max),
            ] {
                if !(low.is_finite() && high.is_finite() && low >= 0.0 && high >= 0.0) {
                    return invalid(
                        format!("settings.teams.{name}.{what}"),
                        "must be 0 or more, and finite",
                    );
                }
                if high > 0.0 && low > high {
                    return invalid(
                        format!("settings.teams.{name}.{what}"),
                        format!("the guarantee {low} is above the limit {high}"),
                    );
                }
            }
        }
        Ok(())
    }
}

fn describe(error: &toml::de::Error, text: &str) -> String {
    let line = error
        .span()
        .map(|span| text[..span.start.min(text.len())].lines().count().max(1));
    let message = error.message().replace('\n', " ");
    match line {
        Some(line) => format!("line {line}: {message}"),
        None => message,
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub const EXAMPLE: &str = include_str!("../tests/settings.toml");

    #[test]
    fn the_example_is_read_and_unknown_fields_are_ignored() {
        let settings = Settings::parse(EXAMPLE).unwrap();
        assert_eq!(settings.peers.len(), 2);
        assert_eq!(settings.site.teams[0].gpus_max, 20.0);
        Settings::parse(&format!("novel = 1\n{EXAMPLE}")).unwrap();
    }

    #[test]
    fn each_inconsistency_names_its_field() {
        for (from, to, field) in [
            (
                "zones = [\"east\", \"west\", \"north\"]",
                "zones = []",
                "zones",
            ),
            ("lease_s = 40.0", "lease_s = 0.0", "lease_s"),
            ("member = \"node-1\"", "member = \"node-0\"", "member"),
            ("10.0.0.1:8080", "localhost:8080", "public_addr"),
            ("gpus = 10.0", "gpus = 30.0", "teams.red.gpus"),
            ("txn_ops = 16", "txn_ops = \"x\"", "line"),
            ("cpu_share = 0.2", "cpu_share = -0.2", "quota.cpu_share"),
            ("mem_mb = 200.0", "mem_mb = nan", "quota.mem_mb"),
            ("mem_mb = 200.0", "mem_mb = 1.0", "quota.mem_mb"),
        ] {
            let text = EXAMPLE.replacen(from, to, 1);
            assert_ne!(text, EXAMPLE, "{from}");
            let error = Settings::parse(&text).unwrap_err().to_string();
            assert!(error.contains(field), "{error}");
            assert!(!error.contains('\n'));
        }
    }
}
