//! Names and keys recorded at d1ac1c5; a rename must not change them: the fields of the operator
//! settings with type, bounds and default (their descriptions were reworded since), the columns of
//! `SHOW QUEUE`, the keys of `SHOW FLEET` and of `ivypitch fleet`. The values of a view, key by key,
//! are in the recorded messages of `ivypitch-coordination`.

use std::process::Command;

use ivypitch_testbed::processes::{Fleet, FleetConfig, FleetEngines};
use ivypitch_testbed::test_servers::*;

const PEERS: &str = r#""period_ms":200,"suspicion_ms":700,"custody":{"enabled":false},
    "shares":{"enabled":true,"span_ms":1000}"#;

/// All keys of a JSON text in their order.
fn keys(text: &str) -> String {
    let mut keys: Vec<&str> = Vec::new();
    let mut strings = text.split('"').skip(1);
    while let (Some(name), Some(after)) = (strings.next(), strings.next()) {
        if after.trim_start().starts_with(':') {
            keys.push(name);
        }
    }
    keys.join(" ")
}

fn command_output(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ivypitch"))
        .args(arguments)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn the_fields_of_the_own_file_keep_their_recorded_text() {
    assert_eq!(
        command_output(&["check", "--fields"]),
        include_str!("recorded/check_fields.txt")
    );
}

/// The column names of a result.
fn column_names(client: &mut Client, show_statement: &str) -> Vec<String> {
    client.send(&query(show_statement));
    let mut names = Vec::new();
    let (_, count) = client.read_packet().unwrap();
    for _ in 0..count[0] {
        let (_, column) = client.read_packet().unwrap();
        // `def`, schema, table and its origin, each with its length; then the name.
        let name = &column[7..];
        assert_eq!(column[..7], *b"\x03def\0\0\0");
        names.push(String::from_utf8(name[1..1 + usize::from(name[0])].to_vec()).unwrap());
    }
    names
}

#[test]
fn the_columns_of_show_queue_and_show_wait_keep_their_recorded_names() {
    let engine = FakeEngine::completing();
    let own = r#"{"teams":{"show":true}}"#;
    let gateway = Gateway::start_with_own_settings(
        &[engine.row("s-1", "in_service")],
        |config| config,
        Some(own),
    );
    let recorded = [
        "req", "team", "workload", "state", "position", "low_ms", "mid_ms", "high_ms", "age_ms",
    ];
    for show_statement in ["SHOW QUEUE", "SHOW WAIT '00000000000000ff'"] {
        assert_eq!(
            column_names(&mut Client::connect(&gateway), show_statement),
            recorded,
            "{show_statement}"
        );
    }
}

#[test]
fn a_view_of_the_fleet_keeps_its_recorded_keys() {
    let held = ControlledEngine::start(1);
    let engines = FleetEngines::External(vec![held.addresses.clone()]);
    let setup = FleetConfig {
        gateways: 1,
        engines,
        peer_settings: Some(PEERS.into()),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(setup).unwrap();
    let address = fleet.gateways[0].address;
    assert_eq!(
        column_names(&mut Client::connect_to(address), "SHOW FLEET"),
        ["view"]
    );
    let Answer::Rows(rows) = Client::connect_to(address).execute("SHOW FLEET") else {
        panic!("no view")
    };
    assert_eq!(
        keys(&rows[0][0]),
        "place birth hearing heard journal journal_silent bounds name units home floor held lent \
         borrowed away need name units home floor held lent borrowed away need engines sent_bytes late \
         events_by_members traffic datagrams bytes_out bytes_in sends receives links bytes_out bytes_in \
         sends receives engines bytes_out bytes_in sends receives journal bytes_out bytes_in sends \
         receives"
    );
    let told = command_output(&["fleet", &address.to_string()]);
    let end = told.rfind(']').unwrap();
    assert_eq!(
        keys(&told[..end]),
        "gateway view birth bounds away borrowed floor held home lent name need units away borrowed \
         floor held home lent name need units engines events_by_members heard hearing journal \
         journal_silent late place sent_bytes traffic datagrams bytes_in bytes_out receives sends \
         engines bytes_in bytes_out receives sends journal bytes_in bytes_out receives sends links \
         bytes_in bytes_out receives sends"
    );
}
