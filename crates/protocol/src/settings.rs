//! The settings file (TOML) that the platform provides to each controller.

mod validation;

use serde::Deserialize;

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The controller's name, which is unique among the controllers.
    pub member: String,
    /// The controller's zone, one of [`SiteSettings::zones`].
    #[serde(rename = "domain")]
    pub zone: String,
    /// The `IP:port` at which the controller serves users, workers and health checks.
    pub public_addr: String,
    /// The `IP:port` at which the controller serves the other controllers.
    #[serde(rename = "mesh_addr")]
    pub peer_addr: String,
    /// The other controllers of the cluster; empty for a cluster of one controller.
    #[serde(rename = "others", default)]
    pub peers: Vec<PeerSettings>,
    /// The addresses of the services that the controller calls.
    #[serde(rename = "outside")]
    pub endpoints: ServiceAddresses,
    /// The settings that are the same for all controllers.
    #[serde(rename = "settings")]
    pub site: SiteSettings,
}

/// The settings about another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// The other controller's name.
    pub member: String,
    /// The other controller's zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// The `IP:port` at which the other controller serves its peers.
    pub endpoint: String,
}

/// The addresses of the services that controllers call, each as `IP:port`.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// The address of the cloud's API.
    pub cloud: String,
    /// The address of the consensus-backed key-value store.
    #[serde(rename = "state")]
    pub store: String,
}

/// The settings that are the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct SiteSettings {
    /// The names of all zones.
    pub zones: Vec<String>,
    /// The maximum deviation of a machine's wall clock from the true time, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams whose users may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives of the jobs; empty if none is set.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The intervals and time limits of workers and their tasks.
    pub workers: WorkerTiming,
    /// The limits that the store imposes.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// The limits that the cloud imposes.
    pub cloud: CloudLimits,
    /// The resource limits of a controller's process.
    #[serde(rename = "quota")]
    pub limits: ProcessLimits,
}

/// A team's guarantee and quota of each resource; 0 means that none is set. A team gets
/// resources within its guarantee whenever it needs them. Resources that it uses beyond the
/// guarantee are borrowed from other teams.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, which [`JobSpec::team`](crate::jobs::JobSpec::team) refers to. It is
    /// unique among the teams.
    pub name: String,
    /// The guarantee of CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// The quota of CPU cores: the maximum that the team may use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// The guarantee of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The quota of GPUs: the maximum that the team may use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// The duration that a service-level objective bounds, counted from a job's submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// The time until a job of the class starts.
    QueueTime,
    /// The time until a job of the class is complete.
    CompletionTime,
    /// The time until a job within its team's guarantee starts.
    GuaranteedStart,
    /// A kind that this version does not know. Such objectives are ignored.
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

/// A service-level objective: the given share of jobs must reach a state within a given
/// time.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The duration that is bounded.
    pub kind: ObjectiveKind,
    /// The class of jobs that the objective applies to; empty for all jobs.
    #[serde(default)]
    pub class: String,
    /// The upper bound of the duration, in seconds.
    #[serde(default)]
    pub within_s: f64,
    /// The share of jobs that must meet the bound, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// The intervals and time limits of workers and their tasks, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTiming {
    /// The mean time between two heartbeats of a worker. Each interval varies by up to a
    /// quarter.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// The duration of a worker's lease, counted from the time at which the worker sent its
    /// last heartbeat that got a valid response. When the lease expires, the worker kills its
    /// tasks and begins a new session.
    pub lease_s: f64,
    /// How long a gang's task waits for the other tasks of the gang before it exits.
    pub gang_wait_s: f64,
    /// The time within which the tasks of a gang notice that one of them is gone. It is also
    /// the time within which all tasks of a gang must be stopped for their progress to be
    /// saved.
    pub gang_peer_s: f64,
    /// The time after the cancellation of a job within which its tasks must be gone.
    pub cancel_s: f64,
}

/// The limits that the store imposes. Its rate limits allow bursts of up to one second's
/// worth of requests or writes.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Maximum requests per second, of all controllers together.
    pub rps: f64,
    /// Maximum puts and deletions per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletions in a transaction.
    pub txn_ops: usize,
}

/// The limits that the cloud imposes. Its rate limit allows bursts of up to two seconds'
/// worth of requests.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// The usual delay in seconds until a change shows in the cloud's list of machines. The
    /// delay is sometimes twice as long.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// The resource limits of a controller's process; 0 means unlimited.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Maximum CPU time, as a share of one core.
    pub cpu_share: f64,
    /// Maximum memory, in MB.
    pub mem_mb: f64,
    /// Maximum number of open sockets.
    pub fd_limit: f64,
}

/// The reason why a settings file is invalid. Its display text is a single line.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The path of the invalid field, such as `settings.quota.mem_mb`, or `settings file` if
    /// the file can't be parsed.
    pub field: String,
    /// The requirement that the field doesn't meet, or the parser's error.
    pub reason: String,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first fault that is found.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError {
            field: "settings file".into(),
            reason: describe_parse_error(&error, text),
        })?;
        settings.check()?;
        Ok(settings)
    }
}

/// Formats a TOML error as a single line, prefixed with the line number of the faulty text.
fn describe_parse_error(error: &toml::de::Error, text: &str) -> String {
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
