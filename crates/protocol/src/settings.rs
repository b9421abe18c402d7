//! The settings file that the platform hands to each controller.

mod validation;

use serde::Deserialize;

/// One controller's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The controller's name.
    pub member: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// `IP:port` for users, workers and health checks.
    pub public_addr: String,
    /// `IP:port` for the other controllers.
    #[serde(rename = "mesh_addr")]
    pub peer_addr: String,
    /// The other controllers.
    #[serde(rename = "others", default)]
    pub peers: Vec<PeerSettings>,
    /// The services that it calls.
    #[serde(rename = "outside")]
    pub endpoints: ServiceAddresses,
    /// What all controllers have in common.
    #[serde(rename = "settings")]
    pub site: SiteSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Its `IP:port` for the other controllers.
    pub endpoint: String,
}

/// The services around the controllers, each as `IP:port`.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// The cloud's API.
    pub cloud: String,
    /// The consensus-backed key-value store.
    #[serde(rename = "state")]
    pub store: String,
}

/// What all controllers have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct SiteSettings {
    /// All zones.
    pub zones: Vec<String>,
    /// How far a machine's time of day may differ from the true time, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// All teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The workers' intervals.
    pub workers: WorkerTiming,
    /// The store's limits.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// The limits of a controller's process.
    #[serde(rename = "quota")]
    pub limits: ProcessLimits,
}

/// A team's guarantee and its quota; 0 means none. Resources within the guarantee are the
/// team's whenever it needs them, those above it are borrowed from other teams.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed graphics processors.
    #[serde(default)]
    pub gpus: f64,
    /// Most graphics processors at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What a service-level objective measures, from a job's submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// The time until a job of the class starts.
    QueueTime,
    /// The time until a job of the class is done.
    CompletionTime,
    /// The time until a job within its team's guarantee starts.
    GuaranteedStart,
    /// A kind that this version does not know, and ignores.
    Unknown,
}

impl From<&str> for ObjectiveKind {
    fn from(kind: &str) -> Self {
        match kind {
            "wait" => ObjectiveKind::QueueTime,
            "finished" => ObjectiveKind::CompletionTime,
            "guarantee" => ObjectiveKind::GuaranteedStart,
            _ => ObjectiveKind::Unknown,
        }
    }
}

impl From<String> for ObjectiveKind {
    fn from(kind: String) -> Self {
        ObjectiveKind::from(kind.as_str())
    }
}

/// A service-level objective: this share of jobs within this time.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: ObjectiveKind,
    /// The class of jobs; empty if it is for all.
    #[serde(default)]
    pub class: String,
    /// In seconds.
    #[serde(default)]
    pub within_s: f64,
    /// 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// The workers' intervals, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// The time between two heartbeats of a worker, give or take a quarter.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// A worker kills its tasks and begins a new session once the last heartbeat that got a
    /// valid response was sent longer ago than this.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// The time within which a gang's tasks notice that one is gone, and within which all
    /// must be stopped for their progress to be saved.
    pub gang_peer_s: f64,
    /// The time within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// The store's limits. Bursts of one second's worth are allowed.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletions a second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Puts and deletions in a transaction.
    pub txn_ops: usize,
}

/// The cloud's limits. Bursts of two seconds' worth of requests are allowed.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// By how much the list of machines usually lags, in seconds; sometimes it is twice as
    /// much.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// The limits of a controller's process; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Open sockets.
    pub fd_limit: f64,
}

/// What is wrong with a settings file. Its text is one line.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The field, with its sections, or the whole file.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], for the first thing that is wrong.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError {
            field: "settings file".into(),
            reason: describe(&error, text),
        })?;
        settings.check()?;
        Ok(settings)
    }
}

/// A parser's error on one line, with the line that it is about.
fn describe(error: &toml::de::Error, text: &str) -> String {
    let message = error.message().replace('\n', " ");
    match error.span() {
        Some(span) => {
            let before = &text[..span.start.min(text.len())];
            let line = before.lines().count().max(1);
            format!("line {line}: {message}")
        }
        None => message,
    }
}

#[cfg(test)]
mod tests;
