//! `ivypitch fleet`: what gateways share, as each of them sees it, and where their views differ.

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
    /// Where gateways listen for clients.
    #[arg(required = true, value_name = "ADDRESS")]
    gateways: Vec<SocketAddr>,
    /// Only what differs between them, a line each.
    #[arg(long)]
    differences: bool,
}

impl Fleet {
    /// Asks each gateway and prints the views and their differences on standard output; a gateway that gives no view is
    /// named on standard error and makes the command fail.
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
    let all: Vec<Value> = views
        .iter()
        .map(|view| json!({"gateway": view.gateway(), "view": view.json()}))
        .collect();
    println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
}
