//! rushwalk: one controller of a cluster scheduler.

use clap::{Parser, Subcommand};
use poem::listener::TcpListener;
use rushwalk::controller::{self, Controller};
use rushwalk::http::admission::{AdmissionLimits, AdmissionListener};
use rushwalk::http::{admin, peers, users};
use rushwalk_clients::HttpClient;
use rushwalk_protocol::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Schedules tasks on rented machines, together with the other controllers.
#[derive(Parser)]
#[command(version, about, subcommand_negates_reqs = true)]
struct Cli {
    /// The settings file (TOML) handed over by the platform.
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    admin: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Ask a running controller, at its mesh address.
    Admin {
        /// IP:port, `mesh_addr` in that controller's settings.
        #[arg(long)]
        address: String,
        #[command(subcommand)]
        what: What,
    },
}

#[derive(Subcommand)]
enum What {
    /// Leader, grants, machines by zone and type, and why jobs wait.
    Status,
    /// Machines one by one, a page at a time.
    Machines {
        /// Begin behind this machine, the last one of the page before.
        #[arg(long, default_value = "")]
        after: String,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Verb::Admin { address, what }) = cli.admin {
        return administer(&address, what);
    }
    let config = cli.config.unwrap_or_default();
    let settings = match std::fs::read_to_string(&config) {
        Ok(text) => Settings::parse(&text).map_err(|e| e.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("rushwalk: {}: {error}", config.display());
            return ExitCode::from(2);
        }
    };
    if cli.check {
        println!("{}: ok", config.display());
        return ExitCode::SUCCESS;
    }
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("rushwalk: no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(error, "ended");
            ExitCode::FAILURE
        }
    }
}

fn administer(address: &str, what: What) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let answer = match (runtime, what) {
        (Ok(runtime), What::Status) => runtime.block_on(admin::ask(address, "/admin/status")),
        (Ok(runtime), What::Machines { after }) => {
            // A name has no characters that a path could not hold.
            let name: String = after.chars().filter(char::is_ascii_graphic).collect();
            let path = format!("/admin/machines?after={name}");
            runtime.block_on(admin::ask(address, &path))
        }
        (Err(error), _) => Err(error.to_string()),
    };
    match answer {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("rushwalk: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings) -> Result<(), String> {
    let public = settings.public_addr.clone();
    let mesh = settings.mesh_addr.clone();
    let http = HttpClient::new(controller::kept(settings.site.limits.fd_limit));
    let node = Controller::new(settings, http).map_err(|e| e.to_string())?;
    tracing::info!(member = node.member(), nonce = node.incarnation, "started");
    let _loops = controller::start(&node);
    let mesh = poem::Server::new(TcpListener::bind(mesh)).run(peers::routes(node.clone()));
    let public = async {
        // Until the view is there nobody can be served. Behind a closed port the
        // workers of a whole fleet, who ask again each second, cost nothing; at
        // an open one they once held up a restarted node's listing for 7 s.
        // Nor while its blocks belong to the process before: after an end
        // of all, refusing two thousand workers a second left no time to elect a
        // leader and to lend the blocks, for up to 14 s.
        let _ = tokio::time::timeout(node.timing.member_lease, node.wait_until_registered()).await;
        let limits = AdmissionLimits {
            pass_limit: node.timing.round / 16,
            queue_timeout: node.timing.round * 3,
            worker_idle_limit: node.timing.unreachable_after,
        };
        let listener =
            AdmissionListener::new(TcpListener::bind(public), node.connections.clone(), limits);
        poem::Server::new(listener)
            .run(users::routes(node.clone()))
            .await
    };
    let (public, mesh) = tokio::join!(public, mesh);
    public.and(mesh).map_err(|e| e.to_string())
}
