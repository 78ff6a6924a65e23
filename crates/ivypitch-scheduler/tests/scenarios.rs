//! Runs the text scenarios of `tests/scenarios/` on a scheduler; `scenario_language` describes
//! their language.

mod scenario_language;

use ivypitch_types::EngineIndex;
use scenario_language::player::Player;
use std::collections::BTreeMap;
use test_case::test_case;

/// Steps about all gateways of a fleet together, which are checked after each has run the scenario.
const FLEET_STEPS: [&str; 3] = ["fleet ", "total_sends ", "gateways_per_engine "];

#[test_case("ordinary_path")]
#[test_case("safety_rules")]
#[test_case("attempt_outcomes")]
#[test_case("engine_health")]
#[test_case("unusual_inputs")]
#[test_case("fleet_coordination")]
#[test_case("confirm_send")]
#[test_case("limited_knowledge")]
#[test_case("subset")]
fn scenario(file: &str) {
    let path = format!("{}/tests/scenarios/{file}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the scenario's file");
    // Each `scenario` line begins a new scenario; the text before the first is a heading.
    for scenario in text.split("\nscenario ").skip(1) {
        let (title, steps) = scenario.split_once('\n').expect("a title and steps");
        play_fleet(title, steps);
    }
}

/// Runs a scenario once for each gateway of its fleet, with a scheduler of its own.
fn play_fleet(title: &str, steps: &str) {
    let fleet = fleet_step(steps, "fleet ").map_or(1, |numbers| numbers[0]);
    let mut sends = 0;
    let mut gateways_per_engine = BTreeMap::<EngineIndex, usize>::new();
    for member_index in 0..fleet {
        let mut player = Player::new(member_index);
        for (line_index, line) in steps.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() || FLEET_STEPS.iter().any(|step| line.starts_with(step)) {
                continue;
            }
            println!("{title}, line {}: {line}", line_index + 1);
            line.split("; ").for_each(|step| player.play(step));
        }
        for &engine in player.engines_used() {
            *gateways_per_engine.entry(engine).or_default() += 1;
        }
        sends += player.unchecked_sends();
    }
    if let Some(bounds) = fleet_step(steps, "total_sends ") {
        assert!(
            (bounds[0]..=bounds[1]).contains(&sends),
            "{title}: {sends} sends in total"
        );
    }
    if let Some(bounds) = fleet_step(steps, "gateways_per_engine ") {
        println!("{title}: {gateways_per_engine:?}");
        let is_within = |gateways: &usize| (bounds[0]..=bounds[1]).contains(gateways);
        assert!(
            gateways_per_engine.values().all(is_within),
            "{title}: {gateways_per_engine:?}"
        );
    }
}

/// Returns the numbers in the first line that begins with `step`.
fn fleet_step(steps: &str, step: &str) -> Option<Vec<usize>> {
    let numbers = steps.lines().find_map(|line| line.strip_prefix(step))?;
    Some(numbers.split(' ').map(|n| n.parse().unwrap()).collect())
}
