//! Compares the views of gateways: contradictions, and information that a gateway lacks.

use super::view::GatewayView;

/// Returns the differences among the views and, for each quota, the units that these gateways can
/// use together, one line each.
pub fn differences(views: &[GatewayView]) -> Vec<String> {
    let mut lines = Vec::new();
    let newest_position = views
        .iter()
        .map(GatewayView::watch_position)
        .max()
        .unwrap_or(0);
    for view in views {
        compare_with_newest(view, newest_position, &mut lines);
        for other in views {
            compare_pair(view, other, &mut lines);
        }
    }
    let quotas = views.first().map_or(0, GatewayView::quota_count);
    for index in 0..quotas {
        lines.push(describe_quota(views, index));
    }
    lines
}

fn compare_with_newest(view: &GatewayView, newest_position: u64, lines: &mut Vec<String>) {
    let gateway = view.gateway();
    let missing_events = newest_position - view.watch_position();
    if missing_events > 0 {
        lines.push(format!(
            "{gateway}: {missing_events} endpoint events behind"
        ));
    }
    if !view.reaches_majority() {
        let reachable = view.reachable_members().len();
        lines.push(format!(
            "{gateway}: reaches {reachable} other members, no majority"
        ));
    }
}

fn compare_pair(view: &GatewayView, other: &GatewayView, lines: &mut Vec<String>) {
    let (gateway, other_gateway) = (view.gateway(), other.gateway());
    for engine in view.ejected_engines().difference(&other.ejected_engines()) {
        lines.push(format!(
            "engine {engine:016x}: ejected by {gateway}, in use by {other_gateway}"
        ));
    }
    if gateway != other_gateway && !view.can_reach(other.member()) {
        lines.push(format!("{gateway} cannot reach {other_gateway}"));
    }
}

fn describe_quota(views: &[GatewayView], index: usize) -> String {
    let quotas = || views.iter().map(|view| view.quota(index));
    let usable: u64 = quotas().map(|quota| quota.usable_units).sum();
    let total = quotas().map(|quota| quota.total_units).max().unwrap_or(0);
    let name = quotas().find_map(|quota| quota.name).unwrap_or("?");
    format!("quota {name}: {usable} of {total} units usable by these gateways")
}
