//! Team queues of a gateway process, and the operator settings file that configures them.

use std::process::{Command, Output};

use ivypitch_testbed::log_lines::is_event;
use ivypitch_testbed::test_servers::*;
use test_case::test_case;

/// One engine of two cores: the team limit releases three threads, further statements are queued.
const CORES: &str = r#""cores-by-kind":[64]"#;

fn small(config: String) -> String {
    config.replace(CORES, r#""cores-by-kind":[2]"#)
}

fn operator_settings(teams: &str) -> String {
    format!(
        r#"{{"teams":{{"show":true,"window":"fixed","wait_part":20,"other":{{"most_released_threads":3}},{teams}}}}}"#
    )
}

fn start(engine: &FakeEngine, teams: &str) -> Gateway {
    Gateway::start_with_own_settings(
        &[engine.row("s-1", "in_service")],
        small,
        Some(&operator_settings(teams)),
    )
}

/// Clients whose statements fill the window and never complete.
fn fill_window(gateway: &Gateway, engine: &FakeEngine) -> Vec<Client> {
    let clients: Vec<Client> = (1..=3)
        .map(|req| {
            let mut client = Client::connect(gateway);
            client.send(&query(&statement("lookup", req, 20_000)));
            client
        })
        .collect();
    engine
        .calls
        .wait_for_nth("starts", 3, |c| c.has_method("POST"));
    clients
}

fn loads_started(engine: &FakeEngine) -> usize {
    engine
        .calls
        .all()
        .iter()
        .filter(|c| c.header("Via-Class") == Some("load"))
        .count()
}

fn show(gateway: &Gateway, show_statement: &str) -> Vec<Vec<String>> {
    match Client::connect(gateway).execute(show_statement) {
        Answer::Rows(rows) => rows,
        other => panic!("{show_statement}: {other:?}"),
    }
}

/// Waits until `count` statements are queued.
fn wait_for_queue_length(gateway: &Gateway, count: usize) -> Vec<Vec<String>> {
    for _ in 0..600 {
        let rows = show(gateway, "SHOW QUEUE");
        if rows.len() == count {
            return rows;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    panic!("never {count} waiting");
}

#[test]
fn a_statement_without_a_free_thread_is_queued_shown_and_started_later() {
    let engine = FakeEngine::never_completing();
    let gateway = start(&engine, r#""most_queued":50"#);
    let running = fill_window(&gateway, &engine);
    let mut client = Client::connect(&gateway);
    client.send(&query(&statement("load", 0xabc, 20_000)));
    let rows = wait_for_queue_length(&gateway, 1);
    assert_eq!(
        rows[0][..5],
        ["0000000000000abc", "acme", "load", "waiting", "1"].map(str::to_owned)
    );
    let figures: Vec<u64> = rows[0][5..].iter().map(|n| n.parse().unwrap()).collect();
    assert!(
        figures[0] <= figures[1] && figures[1] <= figures[2],
        "low, mid, high: {figures:?}"
    );
    assert_eq!(
        show(&gateway, "show wait '0000000000000abc';")[0][3],
        "waiting"
    );
    assert_eq!(
        show(&gateway, "SHOW WAIT '0000000000000001'")[0][3],
        "running"
    );
    assert!(show(&gateway, "SHOW WAIT '00000000000000ff'").is_empty());
    assert_eq!(
        loads_started(&engine),
        0,
        "no queued statement reaches an engine"
    );
    drop(running);
    engine.calls.wait("the start of what waited", |c| {
        c.header("Via-Class") == Some("load")
    });
}

#[test_case("kill", 1317; "killed")]
#[test_case("gone", 0; "its client goes")]
#[test_case("timeout", 1203; "its time is over")]
fn a_queued_statement_that_leaves_reaches_no_engine(way: &str, code: u16) {
    let engine = FakeEngine::never_completing();
    let gateway = start(&engine, r#""most_queued":50"#);
    let _running = fill_window(&gateway, &engine);
    let mut client = Client::connect(&gateway);
    let timeout = if way == "timeout" { 1500 } else { 20_000 };
    client.send(&query(&statement("load", 0xabc, timeout)));
    if way != "timeout" {
        wait_for_queue_length(&gateway, 1);
    }
    match way {
        "kill" => {
            let kill = format!("KILL QUERY {}", client.connection);
            assert_eq!(
                Client::connect(&gateway).execute(&kill),
                Answer::Rows(Vec::new())
            );
        }
        "gone" => client.stream.shutdown(std::net::Shutdown::Both).unwrap(),
        _ => {}
    }
    if code > 0 {
        assert_eq!(client.read_answer(1).error_code(), code);
    }
    wait_for_queue_length(&gateway, 0);
    assert_eq!(loads_started(&engine), 0);
}

#[test]
fn a_statement_over_the_queue_limit_of_its_team_is_rejected_with_retry_after() {
    let engine = FakeEngine::never_completing();
    let gateway = start(
        &engine,
        r#""by_name":{"acme":{"most_released_threads":3,"most_queued":1}}"#,
    );
    let _running = fill_window(&gateway, &engine);
    let mut waits = Client::connect(&gateway);
    waits.send(&query(&statement("load", 4, 20_000)));
    wait_for_queue_length(&gateway, 1);
    let Answer::Error(1203, text) =
        Client::connect(&gateway).execute(&statement("load", 5, 20_000))
    else {
        panic!("not refused")
    };
    let after: u64 = text
        .split("holdoff=")
        .nth(1)
        .expect("a holdoff")
        .trim()
        .parse()
        .unwrap();
    assert!((1..=2000).contains(&after), "{text}");
    gateway.log.wait("mode", |line| {
        is_event(line, "team mode Within -> Over", &[("tenant", "acme")])
    });
    gateway.log.wait("mode", |line| {
        line.contains("queueing mode Direct -> Queueing")
    });
}

#[test]
fn sigterm_with_a_full_queue_answers_all_and_exits_with_0() {
    let engine = FakeEngine::never_completing();
    let mut gateway = start(&engine, r#""most_queued":50"#);
    let _running = fill_window(&gateway, &engine);
    let mut clients: Vec<Client> = (10..30)
        .map(|req| {
            let mut client = Client::connect(&gateway);
            client.send(&query(&statement("load", req, 20_000)));
            client
        })
        .collect();
    gateway
        .log
        .wait("mode", |line| line.contains("Direct -> Queueing"));
    gateway.terminate();
    for client in &mut clients {
        let code = client.read_answer(1).error_code();
        assert!([1203, 1040].contains(&code), "{code}: it never ran");
    }
    assert_eq!(gateway.exit_code(), Some(0));
    gateway
        .log
        .wait("record", |line| line.contains("wait estimate totals"));
    assert_eq!(loads_started(&engine), 0);
}

#[test]
fn sighup_loads_new_budgets_and_keeps_the_old_ones_if_the_file_is_invalid() {
    let engine = FakeEngine::never_completing();
    let gateway = start(
        &engine,
        r#""by_name":{"acme":{"most_released_threads":3,"most_queued":1}}"#,
    );
    let _running = fill_window(&gateway, &engine);
    let mut waits = Client::connect(&gateway);
    waits.send(&query(&statement("load", 4, 20_000)));
    wait_for_queue_length(&gateway, 1);
    gateway.write_own_settings(&operator_settings(
        r#""by_name":{"acme":{"most_released_threads":3,"most_queued":-1}}"#,
    ));
    gateway.signal("HUP");
    let line = gateway.log.wait("fault", |line| {
        line.contains("operator settings not reloaded")
    });
    assert!(
        line.contains("teams.by_name.acme.most_queued: -1 is out of range; expected 0 to"),
        "{line}"
    );
    assert_eq!(
        Client::connect(&gateway)
            .execute(&statement("load", 5, 20_000))
            .error_code(),
        1203
    );
    gateway.write_own_settings(&operator_settings(
        r#""by_name":{"acme":{"most_released_threads":3,"most_queued":9}}"#,
    ));
    gateway.signal("HUP");
    gateway.log.wait("reload", |line| {
        is_event(line, "team budgets reloaded", &[("teams", "1")])
    });
    let mut more = Client::connect(&gateway);
    more.send(&query(&statement("load", 6, 20_000)));
    wait_for_queue_length(&gateway, 2);
}

#[test]
fn without_operator_settings_show_queue_is_rejected() {
    let engine = FakeEngine::completing();
    let gateway = Gateway::start(&[engine.row("s-1", "in_service")]);
    assert_eq!(
        Client::connect(&gateway).execute("SHOW QUEUE").error_code(),
        1064
    );
}

// ---- operator settings file ----

fn check(name: &str, text: &str, more: &[&str]) -> Output {
    let path = std::env::temp_dir().join(format!("own-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(ivypitch_program())
        .arg("check")
        .arg(&path)
        .args(more)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(path);
    output
}

#[test]
fn all_faults_of_a_file_come_at_once_with_line_and_path() {
    let text = "{\n  teams = {\n    shwo = true,\n    window = \"wide\",\n    by_name = {\n      acme = { share = -1,\n        most_queued = 1.5 },\n    },\n  },\n  lgo = {},\n}\n";
    let output = check("faults.ncl", text, &[]);
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8(output.stderr).unwrap();
    for wanted in [
        "line 3: teams.shwo: unknown field; did you mean show?",
        "line 4: teams.window: expected one of gradient, additive, fixed; found \"wide\"",
        "line 6: teams.by_name.acme.share: -1 is out of range; expected 0 to 1000000",
        "line 7: teams.by_name.acme.most_queued: 1.5 is not an integer",
        "line 10: lgo: unknown field; did you mean log?",
        "5 errors",
    ] {
        assert!(said.contains(wanted), "{wanted:?} is missing in\n{said}");
    }
}

#[test_case("half.ncl", "{ teams = ", "unexpected end of file"; "not readable")]
#[test_case("half.json", "{\"teams\": ", "line 1"; "JSON that is not readable")]
#[test_case("list.ncl", "[1, 2]", "expected a record, found a list"; "no record")]
#[test_case("function.ncl", "{ teams = fun x => x }", "teams"; "a function")]
fn an_unreadable_settings_file_gets_one_error(name: &str, text: &str, wanted: &str) {
    let output = check(name, text, &[]);
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        said.to_lowercase().contains(&wanted.to_lowercase()),
        "{said}"
    );
}

#[test]
fn the_emitted_form_is_whole_and_reads_back() {
    let text =
        "let few = { most_queued = 5 } in { teams = { by_name = { acme = few & { share = 2 } } } }";
    let output = check("good.ncl", text, &["--emit"]);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let operator_settings = ivypitch_config::operator::read(&output.stdout).unwrap();
    let given = ivypitch_config::read_deployment(SETTINGS.as_bytes()).unwrap();
    let budgets = operator_settings
        .teams
        .unwrap()
        .budgets(&given, 100)
        .unwrap();
    assert_eq!(
        (budgets.teams[0].share, budgets.teams[0].max_queued),
        (2.0, 5)
    );
    assert_eq!((budgets.other.share, budgets.max_queued), (1.0, 100));
}

#[test]
fn names_that_the_deployment_does_not_have_are_faults() {
    let config = std::env::temp_dir().join(format!("against-{}.json", std::process::id()));
    std::fs::write(
        &config,
        format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#),
    )
    .unwrap();
    let text =
        "{\n teams = { by_name = {\n  acne = { share = 2,\n   workloads = { lokup = {} } } } } }";
    let output = check("names.ncl", text, &["--against", config.to_str().unwrap()]);
    let _ = std::fs::remove_file(config);
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        said.contains(
            "line 3: teams.by_name.acne: the deployment has no customer of that name; it has acme"
        ),
        "{said}"
    );
    assert!(
        said.contains("line 4: teams.by_name.acne.workloads.lokup: the deployment has no workload"),
        "{said}"
    );
}

#[test]
fn the_file_under_deploy_is_good_and_every_field_is_described() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/ivypitch.ncl");
    let output = Command::new(ivypitch_program())
        .args(["check", file])
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let fields = Command::new(ivypitch_program())
        .args(["check", "--fields"])
        .output()
        .unwrap();
    let fields = String::from_utf8(fields.stdout).unwrap();
    assert!(
        fields.contains("teams.by_name.NAME.share: 0 to 1000000; default 1."),
        "{fields}"
    );
}

#[test]
fn a_file_of_records_is_evaluated_by_a_child_as_the_program_starts_and_logs_as_it_says() {
    let engine = FakeEngine::completing();
    let text = "{ teams = { show = true }, log = { format = \"json\" } }";
    let gateway = Gateway::start_with_own_settings_file(
        &[engine.row("s-1", "in_service")],
        small,
        "ncl",
        text,
    );
    assert!(show(&gateway, "SHOW QUEUE").is_empty());
    let line = gateway
        .log
        .wait("a line", |line| line.contains("gateway started"));
    assert!(
        line.starts_with('{') && line.contains("\"level\":\"info\""),
        "{line}"
    );
}

/// Loads are ordered by key, and may wait for seconds.
fn ordered_by_key(config: String) -> String {
    let two_owners = r#""customers":[{"name":"acme","allowance-per-s":100000},{"name":"other","allowance-per-s":100000}]"#;
    small(config)
        .replace(r#""cores-by-kind":[2]"#, r#""cores-by-kind":[16]"#)
        .replace(
            r#""customers":[{"name":"acme","allowance-per-s":100000}]"#,
            two_owners,
        )
        .replace(
            r#""effect":"unsafe""#,
            r#""effect":"unsafe","keep-order":true"#,
        )
        .replace("\"goal-time-ns\":600000000", "\"goal-time-ns\":60000000000")
}

/// Guards against a load that is sent before an earlier one with the same key, which waits in the
/// queue of another team.
#[test_case(1; "one later load")]
#[test_case(10; "ten later loads")]
fn loads_of_one_key_keep_their_order_across_teams(later: u64) {
    const FIRST: u64 = 100;
    // Loads complete at once, the statements that fill the window never do.
    let engine = FakeEngine::start(|call, _| {
        let id = call.header("Via-Id").or(call.path.split('/').nth(2));
        let id = id.and_then(|id| u64::from_str_radix(id, 16).ok());
        match call.method.as_str() {
            "DELETE" => response(204, "", ""),
            _ if id >= Some(FIRST) => success_response("a\tb\tc\n"),
            _ => response(202, "", ""),
        }
    });
    let gateway = Gateway::start_with_own_settings(
        &[engine.row("s-1", "in_service")],
        ordered_by_key,
        Some(&operator_settings(r#""most_queued":50"#)),
    );
    let running = fill_window(&gateway, &engine);
    let keyed = |req: u64, owner: &str| {
        statement("load", req, 20_000)
            .replace(" */", ",subject=000200dc17aa5a17 */")
            .replace("owner=acme", &format!("owner={owner}"))
            .replace("sales_17", &format!("sales_{req}"))
    };
    let mut first = Client::connect(&gateway);
    first.send(&query(&keyed(FIRST, "acme")));
    wait_for_queue_length(&gateway, 1);
    let _others: Vec<Client> = (1..=later)
        .map(|n| {
            let mut other = Client::connect(&gateway);
            other.send(&query(&keyed(FIRST + n, "other")));
            wait_until_read(&other.stream);
            other
        })
        .collect();
    // Another session is served behind them: they have been taken.
    assert!(!show(&gateway, "SHOW QUEUE").is_empty());
    assert_eq!(loads_started(&engine), 0, "before the first of the key");
    drop(running);
    engine
        .calls
        .wait_for_nth("loads", 2, |c| c.header("Via-Class") == Some("load"));
    let is_load = |c: &Call| c.header("Via-Class") == Some("load");
    let calls = engine.calls.all();
    let started = calls
        .iter()
        .find(|c| is_load(c))
        .and_then(|c| c.header("Via-Id"));
    assert_eq!(started, Some(format!("{FIRST:016x}").as_str()));
}
