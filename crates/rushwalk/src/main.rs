//! rushwalk: one controller of a cluster scheduler.

mod admin_cli;

use admin_cli::AdminArgs;
use clap::{Parser, Subcommand};
use poem::listener::TcpListener;
use rushwalk::controller::{self, Controller};
use rushwalk::http::admission::{AdmissionLimits, AdmissionListener};
use rushwalk::http::{peer_routes, public_routes};
use rushwalk::timing::Timing;
use rushwalk_clients::HttpClient;
use rushwalk_protocol::settings::{Settings, SettingsError};
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::runtime::Runtime;
use tracing_subscriber::filter::LevelFilter;

/// The exit code for settings that can't be used.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs one controller of a cluster that schedules tasks on rented machines.
#[derive(Parser)]
#[command(version, about, subcommand_negates_reqs = true)]
struct Cli {
    /// Path of the settings file (TOML) that the platform provides.
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Query a running controller at its peer address.
    Admin(AdminArgs),
}

/// Why a controller did not start.
#[derive(Debug, thiserror::Error)]
enum StartupError {
    /// The settings file can't be read.
    #[error("{}: {source}", path.display())]
    UnreadableSettings { path: PathBuf, source: io::Error },
    /// The settings are malformed or inconsistent.
    #[error("{}: {source}", path.display())]
    InvalidSettings {
        path: PathBuf,
        source: SettingsError,
    },
    /// The asynchronous runtime could not be started.
    #[error("can't start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
}

/// Why a controller stopped serving.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The address of the store or of the cloud is malformed.
    #[error(transparent)]
    ServiceAddress(#[from] rushwalk_clients::Error),
    /// A listener could not be opened, or failed.
    #[error(transparent)]
    Listener(#[from] io::Error),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Command::Admin(args)) = cli.command {
        return match admin_cli::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error, ExitCode::FAILURE),
        };
    }
    let config = cli.config.unwrap_or_default();
    let settings = match load_settings(&config) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, ExitCode::from(EXIT_INVALID_SETTINGS)),
    };
    if cli.check {
        println!("{}: ok", config.display());
        return ExitCode::SUCCESS;
    }
    init_logging();
    match build_runtime().map_err(StartupError::Runtime) {
        Ok(runtime) => run_until_failure(&runtime, settings),
        Err(error) => fail(&error, ExitCode::FAILURE),
    }
}

/// Prints an error to standard error and returns `code`.
fn fail(error: &dyn Display, code: ExitCode) -> ExitCode {
    eprintln!("rushwalk: {error}");
    code
}

fn load_settings(path: &Path) -> Result<Settings, StartupError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| StartupError::UnreadableSettings {
            path: path.to_path_buf(),
            source,
        })?;
    Settings::parse(&text).map_err(|source| StartupError::InvalidSettings {
        path: path.to_path_buf(),
        source,
    })
}

/// Logs to standard error, from the level that the environment variable `LOG_LEVEL` names:
/// `error`, `info` (the default) or `debug`.
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr)
        .with_ansi(false)
        .init();
}

/// A runtime that uses only the current thread, because a controller may be limited to a
/// fraction of a processor.
fn build_runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn run_until_failure(runtime: &Runtime, settings: Settings) -> ExitCode {
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(error = error.to_string(), "ended");
            ExitCode::FAILURE
        }
    }
}

/// Runs a controller: its background loops, and its public and peer listeners.
async fn serve(settings: Settings) -> Result<(), ServeError> {
    let public_address = settings.public_addr.clone();
    let peer_address = settings.peer_addr.clone();
    let http = HttpClient::new(controller::max_idle_connections(
        settings.site.limits.fd_limit,
    ));
    let (controller, loops) = Controller::new(settings, http)?;
    tracing::info!(
        controller = controller.context.member(),
        incarnation = controller.context.incarnation,
        "started"
    );
    let _loops = loops.spawn();
    let (public, peers) = tokio::join!(
        serve_public(&controller, public_address),
        serve_peers(&controller, peer_address),
    );
    Ok(public.and(peers)?)
}

/// Serves other controllers and operators.
async fn serve_peers(controller: &Arc<Controller>, address: String) -> io::Result<()> {
    poem::Server::new(TcpListener::bind(address))
        .run(peer_routes(controller))
        .await
}

/// Serves users and workers. The port stays closed until this process is registered and no shard is
/// leased to an earlier process of this controller, but at most for the duration of a member lease.
///
/// No request can be served before the cluster's state is listed. Workers retry every second; their
/// attempts cost nothing at a closed port, but with an open port those of a whole fleet delayed the
/// listing of a restarted controller by 7 s. Workers can't be served while their shards are leased
/// to the previous process, either: after a restart of all controllers, rejecting two thousand
/// workers a second delayed the election and the assignment of shards by up to 14 s.
async fn serve_public(controller: &Arc<Controller>, address: String) -> io::Result<()> {
    let ready = controller.replica.wait_until_ready();
    let _ = tokio::time::timeout(controller.context.timing.member_lease, ready).await;
    let listener = AdmissionListener::new(
        TcpListener::bind(address),
        controller.connections.clone(),
        admission_limits(&controller.context.timing),
    );
    poem::Server::new(listener)
        .run(public_routes(controller))
        .await
}

fn admission_limits(timing: &Timing) -> AdmissionLimits {
    AdmissionLimits {
        pass_limit: timing.round / 16,
        queue_timeout: timing.round * 3,
        worker_idle_limit: timing.unreachable_after,
    }
}
