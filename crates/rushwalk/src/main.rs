//! rushwalk: one controller of a cluster scheduler.

mod api;
mod holder;
mod leader;
mod mesh;
mod node;
mod slots;
mod sync;
mod view;

#[cfg(test)]
mod days;

use clap::Parser;
use node::Node;
use poem::listener::TcpListener;
use rushwalk_clients::Http;
use rushwalk_wire::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Schedules tasks on rented machines, together with the other controllers.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// The settings file (TOML) handed over by the platform.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let settings = match std::fs::read_to_string(&cli.config) {
        Ok(text) => Settings::parse(&text).map_err(|e| e.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("rushwalk: {}: {error}", cli.config.display());
            return ExitCode::from(2);
        }
    };
    if cli.check {
        println!("{}: ok", cli.config.display());
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

async fn serve(settings: Settings) -> Result<(), String> {
    let public = settings.public_addr.clone();
    let mesh = settings.mesh_addr.clone();
    let node = Node::new(settings, Http::default()).map_err(|e| e.to_string())?;
    tracing::info!(member = node.me(), nonce = node.nonce, "started");
    let _loops = node::start(&node);
    let mesh = poem::Server::new(TcpListener::bind(mesh)).run(mesh::routes(node.clone()));
    let public = poem::Server::new(TcpListener::bind(public)).run(api::routes(node));
    let (public, mesh) = tokio::join!(public, mesh);
    public.and(mesh).map_err(|e| e.to_string())
}
