//! Measurement of the use of the quotas.

use std::collections::VecDeque;

use ivypitch_coordination::UNITS_PER_MEMBER;
use ivypitch_types::{Nanos, SECOND};

use super::simulation::Simulation;
use super::{LEVEL_QUOTA, MEASUREMENT_INTERVAL, SPEND_WINDOW, WINDOW_QUOTA};

/// Time after the start from which demand is counted, so that quotas have followed the demand.
const SETTLING_TIME: Nanos = 2 * SECOND;
/// Interval of the printed series.
const SERIES_INTERVAL: Nanos = SECOND / 4;
/// Units that every gateway is guaranteed.
const RESERVED_UNITS: u32 = UNITS_PER_MEMBER / 10;
/// Environment variable that makes runs print the series.
const TRACE_VARIABLE: &str = "IVYPITCH_LAB_TRACE";

struct Spent {
    at: Nanos,
    units: u32,
}

#[derive(Clone, Copy, Default)]
struct Usage {
    demanded: f64,
    used: f64,
}

/// Use of the quotas by all gateways together.
pub(super) struct QuotaCounts {
    /// Units of the window quota that were spent within its window, oldest first.
    spent: VecDeque<Spent>,
    spent_in_window: u32,
    /// Demand for the level quota after the settling time.
    pub(super) demanded: f64,
    /// Used demand for the level quota after the settling time.
    pub(super) used: f64,
    /// Demand and use of the level quota by quarter second, if they are to be printed.
    series: Option<Vec<Usage>>,
}

impl QuotaCounts {
    pub(super) fn new() -> QuotaCounts {
        QuotaCounts {
            spent: VecDeque::new(),
            spent_in_window: 0,
            demanded: 0.0,
            used: 0.0,
            series: std::env::var_os(TRACE_VARIABLE).map(|_| Vec::new()),
        }
    }

    fn on_spent(&mut self, at: Nanos, units: u32) {
        if units > 0 {
            self.spent.push_back(Spent { at, units });
            self.spent_in_window += units;
        }
    }

    fn expire_spent(&mut self, now: Nanos) {
        while let Some(oldest) = self.spent.front()
            && oldest.at + SPEND_WINDOW <= now
        {
            self.spent_in_window -= oldest.units;
            self.spent.pop_front();
        }
    }

    fn on_demand(&mut self, since_start: Nanos, demanded: f64, used: f64) {
        if let Some(series) = &mut self.series {
            let interval = (since_start / SERIES_INTERVAL) as usize;
            series.resize(series.len().max(interval + 1), Usage::default());
            series[interval].demanded += demanded;
            series[interval].used += used;
        }
        if since_start >= SETTLING_TIME {
            self.demanded += demanded;
            self.used += used;
        }
    }

    pub(super) fn print_series(&self) {
        let Some(series) = &self.series else {
            return;
        };
        let fractions: Vec<String> = series
            .iter()
            .map(|usage| format!("{:.2}", usage.used / usage.demanded.max(1e-9)))
            .collect();
        eprintln!("usable by quarter second: {}", fractions.join(" "));
    }
}

impl Simulation<'_> {
    /// Measures the allowed and the actual use of the quotas by all gateways, and reports their
    /// demand to the coordinators.
    pub(super) fn count_quotas(&mut self) {
        let mut usable_by_all = 0;
        for gateway in 0..self.fleet.gateways {
            if self.gateways[gateway].is_up {
                usable_by_all += self.count_quotas_of(gateway);
            }
        }
        self.quota_counts.expire_spent(self.now);
        let total_units = self.fleet.total_units();
        let spent = self.quota_counts.spent_in_window;
        let verdict = &mut self.verdict;
        let usable_fraction = f64::from(usable_by_all) / f64::from(total_units);
        let spent_fraction = f64::from(spent) / f64::from(total_units);
        verdict.max_usable = verdict.max_usable.max(usable_fraction);
        verdict.max_spent = verdict.max_spent.max(spent_fraction);
        verdict.level_exceeded += u64::from(usable_by_all > total_units);
        verdict.window_exceeded += u64::from(spent > total_units);
    }

    /// Returns the units of the level quota that the gateway may use. A suspended process uses
    /// none: it checks the time before it continues.
    fn count_quotas_of(&mut self, gateway: usize) -> u32 {
        let is_coordinated = self.fleet.is_coordinated;
        let gateway = &mut self.gateways[gateway];
        let now = gateway.local_time(self.now);
        let usable = if is_coordinated {
            gateway.coordinator.usable_units_at(now, LEVEL_QUOTA)
        } else {
            UNITS_PER_MEMBER
        };
        if gateway.is_suspended {
            return 0;
        }
        if is_coordinated && usable < RESERVED_UNITS {
            self.verdict.below_reserved += 1;
        }
        let demanded = gateway.demand.level_units;
        gateway
            .coordinator
            .set_demand_level(now, LEVEL_QUOTA, demanded);
        gateway.unspent_demand +=
            gateway.demand.spent_per_second * MEASUREMENT_INTERVAL as f64 / SECOND as f64;
        let wanted = gateway.unspent_demand.floor() as u32;
        gateway.unspent_demand -= f64::from(wanted);
        let mut spent = 0;
        if is_coordinated {
            for _ in 0..wanted {
                spent += u32::from(gateway.coordinator.try_spend(now, WINDOW_QUOTA, 1));
            }
        }
        let used = demanded.min(f64::from(usable));
        let since_start = self.now - self.schedule.start;
        self.quota_counts.on_demand(since_start, demanded, used);
        self.quota_counts.on_spent(self.now, spent);
        usable
    }
}
