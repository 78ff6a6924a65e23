//! What the tests of races share: statements, gateways and their settings.

use ivypitch_testbed::test_servers::*;

/// How long a client waits for its answer.
pub const STATEMENT_TIMEOUT_MS: u64 = 20_000;

/// Completes each statement at once.
pub fn respond_success(call: &Call, _: usize) -> Reply {
    if call.has_method("DELETE") {
        response(204, "", "")
    } else {
        success_response("a\tb\tc\n")
    }
}

/// The answer to a statement that [`respond_success`] completed.
pub fn rows() -> Answer {
    Answer::Rows(vec![["a", "b", "c"].map(str::to_owned).to_vec()])
}

/// Connection attempts may take as long as a test blocks them.
pub fn with_long_connect_timeout(config: String) -> String {
    config.replace(
        "\"connect-timeout-ns\":250000000",
        "\"connect-timeout-ns\":30000000000",
    )
}

/// Loads may be retried within this window, in milliseconds.
pub fn with_deduplication_window(config: String, window_ms: u64) -> String {
    let window = format!(
        "\"effect\":\"keyed\",\"window-ns\":{}",
        window_ms * 1_000_000
    );
    config.replace("\"effect\":\"unsafe\"", &window)
}

/// Starts a gateway that watches this discovery service.
pub fn start_gateway(
    rows: &[String],
    discovery_server: Option<&FakeDiscoveryServer>,
    change: impl Fn(String) -> String,
) -> Gateway {
    Gateway::start_with_config(change(configuration(
        "127.0.0.1:0",
        rows,
        discovery_server,
        1024,
    )))
}

/// Starts a gateway with `peers`: it is the only member, and every statement has an owner.
pub fn start_gateway_with_peers(rows: &[String], change: impl Fn(String) -> String) -> Gateway {
    let member = format!(
        r#"{{"name":"n0","zone":"z","address":"{}"}}"#,
        ivypitch_testbed::processes::ports::free_port()
    );
    let own = format!(r#"{{"peers":{{"gateways":[{member}]}}}}"#);
    Gateway::start_with_own_settings(rows, change, Some(&own))
}

/// Sends a statement on a new connection and does not wait for its answer.
pub fn send_statement(gateway: &Gateway, kind: &str, req: u64, timeout_ms: u64) -> Client {
    let mut client = Client::connect(gateway);
    client.send(&query(&statement(kind, req, timeout_ms)));
    client
}

pub fn start_count_of(engine: &FakeEngine, req: u64) -> usize {
    let id = format!("{req:016x}");
    engine
        .calls
        .all()
        .iter()
        .filter(|c| c.has_method("POST") && c.header("Via-Id") == Some(&id))
        .count()
}

/// An engine that completes its first statement on request, to keep a gateway in "finishing".
pub fn engine_with_held_statement() -> (FakeEngine, EventLog<()>) {
    let end = EventLog::<()>::new();
    let over = end.clone();
    let engine = FakeEngine::start(move |call, n| {
        let is_held = !call.has_method("DELETE") && id_of(call) == 1 && over.all().is_empty();
        if is_held {
            response(202, "", "")
        } else {
            respond_success(call, n)
        }
    });
    (engine, end)
}

pub fn id_of(call: &Call) -> u64 {
    let id = call
        .header("Via-Id")
        .or(call.path.split('/').nth(2))
        .unwrap_or_default();
    u64::from_str_radix(id, 16).unwrap_or(0)
}
