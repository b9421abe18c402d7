//! `rushwalk admin`: queries a running controller and prints its response.

#[cfg(test)]
mod tests;

use clap::{Args, Subcommand};
use rushwalk_clients::http::Request;
use rushwalk_clients::{HttpClient, Method};
use std::io;
use std::time::Duration;

/// How long a controller may take to respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

// The doc comments of the arguments are shown as their help texts.
#[derive(Args)]
pub(crate) struct AdminArgs {
    /// Peer address of the controller as IP:port (`mesh_addr` in its settings).
    #[arg(long)]
    address: String,
    #[command(subcommand)]
    command: AdminCommand,
}

#[derive(Subcommand)]
enum AdminCommand {
    /// Show the leader, the shard leases, machines by zone and type, and why jobs wait.
    Status,
    /// List one page of machines.
    Machines {
        /// List the machines after this one, the last of the previous page.
        #[arg(long, default_value = "")]
        after: String,
    },
}

/// Why a controller could not be queried.
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
        /// The address from the command line.
        address: String,
        /// Why no such response was received.
        source: rushwalk_clients::Error,
    },
    /// The response could not be formatted.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
}

/// Runs `rushwalk admin` and prints the response to standard output.
///
/// # Errors
///
/// If the controller at the given address can't be reached, or responds with an error.
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
            // Removes characters that a path can't contain; no machine name has any.
            let name: String = after.chars().filter(char::is_ascii_graphic).collect();
            format!("/admin/machines?after={name}")
        }
    }
}

/// Sends a GET request to the controller at `address` and returns its response as indented
/// JSON.
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
