//! `rushwalk admin`: asks a running controller and prints its response.

#[cfg(test)]
mod tests;

use clap::{Args, Subcommand};
use rushwalk_clients::http::Request;
use rushwalk_clients::{HttpClient, Method};
use std::io;
use std::time::Duration;

/// How long a controller may take to respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

// The doc comments of the arguments are their help texts.
#[derive(Args)]
pub(crate) struct AdminArgs {
    /// IP:port, `mesh_addr` in that controller's settings.
    #[arg(long)]
    address: String,
    #[command(subcommand)]
    command: AdminCommand,
}

#[derive(Subcommand)]
enum AdminCommand {
    /// Leader, shard leases, machines by zone and type, and why jobs wait.
    Status,
    /// Machines one by one, a page at a time.
    Machines {
        /// Begin behind this machine, the last one of the page before.
        #[arg(long, default_value = "")]
        after: String,
    },
}

/// Why a controller could not be asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    /// The asynchronous runtime could not be started.
    #[error(transparent)]
    Runtime(#[from] io::Error),
    /// The address is not an IP address with a port.
    #[error(transparent)]
    InvalidAddress(rushwalk_clients::Error),
    /// The controller did not respond with JSON and status 200.
    #[error("{address}: {source}")]
    Request {
        /// The controller's address.
        address: String,
        /// What went wrong.
        source: rushwalk_clients::Error,
    },
    /// The response could not be formatted.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
}

/// Carries out `rushwalk admin`; the response goes to standard output.
///
/// # Errors
///
/// If the controller at the given address can't be asked, or responds with an error.
pub(crate) fn run(args: &AdminArgs) -> Result<(), AdminError> {
    let runtime = crate::build_runtime()?;
    let path = request_path(&args.command);
    let response = runtime.block_on(request(&args.address, &path))?;
    println!("{response}");
    Ok(())
}

fn request_path(command: &AdminCommand) -> String {
    match command {
        AdminCommand::Status => "/admin/status".to_string(),
        AdminCommand::Machines { after } => {
            // No machine's name has characters that a path can't hold.
            let name: String = after.chars().filter(char::is_ascii_graphic).collect();
            format!("/admin/machines?after={name}")
        }
    }
}

/// The response of the controller at `address`, as indented JSON.
async fn request(address: &str, path: &str) -> Result<String, AdminError> {
    let remote =
        rushwalk_clients::http::parse_address(address).map_err(AdminError::InvalidAddress)?;
    let response: serde_json::Value = HttpClient::new(0)
        .json(Request {
            address: remote,
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout: REQUEST_TIMEOUT,
        })
        .await
        .map_err(|source| AdminError::Request {
            address: address.to_string(),
            source,
        })?;
    Ok(serde_json::to_string_pretty(&response)?)
}
