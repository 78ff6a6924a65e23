//! `ivypitch fleet`: prints the shared state of the fleet as each gateway sees it, and differences.

mod client;
mod differences;
mod view;

use std::net::SocketAddr;
use std::process::ExitCode;

use serde_json::{Value, json};

pub use client::{FleetError, first_column};
pub use differences::differences;
pub use view::GatewayView;

/// The arguments of `ivypitch fleet`.
#[derive(clap::Args)]
pub struct Fleet {
    /// Addresses at which the gateways accept clients.
    #[arg(required = true, value_name = "ADDRESS")]
    gateways: Vec<SocketAddr>,
    /// Print only the differences between the views, one per line.
    #[arg(long)]
    differences: bool,
}

impl Fleet {
    /// Queries each gateway and prints the views and their differences on standard output. A
    /// gateway that returns no view is reported on standard error and makes the command fail.
    pub fn run(self) -> ExitCode {
        let mut views = Vec::new();
        let mut exit_code = ExitCode::SUCCESS;
        for address in &self.gateways {
            match client::fetch_view(*address) {
                Ok(view) => views.push(GatewayView::new(address.to_string(), view)),
                Err(error) => {
                    eprintln!("{address}: {error}");
                    exit_code = ExitCode::FAILURE;
                }
            }
        }
        if !self.differences {
            print_views(&views);
        }
        for line in differences(&views) {
            println!("{line}");
        }
        exit_code
    }
}

fn print_views(views: &[GatewayView]) {
    let entries: Vec<Value> = views
        .iter()
        .map(|view| json!({"gateway": view.gateway(), "view": view.json()}))
        .collect();
    println!(
        "{}",
        serde_json::to_string_pretty(&entries).unwrap_or_default()
    );
}
