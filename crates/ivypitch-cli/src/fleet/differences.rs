//! What gateways' views can't all be right about, or what one of them does not know yet.

use super::view::GatewayView;

/// The differences among the views, and how much of each quota these gateways hold together, a line each.
pub fn differences(views: &[GatewayView]) -> Vec<String> {
    let mut lines = Vec::new();
    let newest = views
        .iter()
        .map(GatewayView::watch_position)
        .max()
        .unwrap_or(0);
    for view in views {
        compare_with_newest(view, newest, &mut lines);
        for other in views {
            compare(view, other, &mut lines);
        }
    }
    let quotas = views.first().map_or(0, GatewayView::quota_count);
    for index in 0..quotas {
        lines.push(quota_line(views, index));
    }
    lines
}

fn compare_with_newest(view: &GatewayView, newest: u64, lines: &mut Vec<String>) {
    let gateway = view.gateway();
    let behind = newest - view.watch_position();
    if behind > 0 {
        lines.push(format!("{gateway}: {behind} events of the journal behind"));
    }
    if !view.is_connected() {
        let heard = view.heard_members().len();
        lines.push(format!("{gateway}: hears {heard} others"));
    }
}

fn compare(view: &GatewayView, other: &GatewayView, lines: &mut Vec<String>) {
    let (gateway, other_gateway) = (view.gateway(), other.gateway());
    for engine in view.ejected_engines().difference(&other.ejected_engines()) {
        lines.push(format!(
            "engine {engine:016x}: left out by {gateway}, used by {other_gateway}"
        ));
    }
    if gateway != other_gateway && !view.hears(other.member()) {
        lines.push(format!("{gateway} does not hear {other_gateway}"));
    }
}

fn quota_line(views: &[GatewayView], index: usize) -> String {
    let quotas = || views.iter().map(|view| view.quota(index));
    let held: u64 = quotas().map(|quota| quota.held_units).sum();
    let total = quotas().map(|quota| quota.total_units).max().unwrap_or(0);
    let name = quotas().find_map(|quota| quota.name).unwrap_or("?");
    format!("bound {name}: {held} of {total} held by these gateways")
}
