//! The example frames of the simulator's wire documentation, as bytes, and the errors of malformed
//! input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use ivypitch_simulator_adapter::codec::{Reply, read_batch};
use test_case::test_case;

fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn frame(records: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = (20 + body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(records.to_le_bytes());
    bytes.extend(5_000_000_000u64.to_le_bytes());
    bytes.extend(1u32.to_le_bytes());
    bytes.extend(body);
    bytes
}

const SETTINGS: &str = r#"{"balancers": 1, "later-key": [1, {"a": null}],
  "categories": [{"goal-time-ns": 800000000, "give-up-ns": 4000000000, "effect": "safe", "worth": 1.0}],
  "contract": {"cold-from": 0.3}, "extra": {"cores-by-kind": [8]}, "host-types": ["std-8"]}"#;

fn begin_record(instance: u32, settings: &str) -> Vec<u8> {
    let mut record = vec![10];
    record.extend(instance.to_le_bytes());
    record.extend(9u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

const LIST: &str = "78 0000 01000000 0a124a07 931f 0000 0000 0000 01 0000803f 0000000000000000";
const PEERS_KNOWN: &str = "14 03000000 02 2900000000000000 0000";
const INBOUND: &str = "1e 03000000 c4913a5d 00 640ad2557c3bf091 00003041 001c4e0e00000000 0100 00000000 0000c043 \
                       001bb70000000000";
const DONE: &str = "32 03000000 c4913a5d 0000 0a124a07 931f c800 a0491a0100000000 01 60100100 03 000040400000e040\
                    cdcccc3e";

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ivypitch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read all of its input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn an_empty_batch_gets_the_documented_empty_reply() {
    let output = run_adapter(&decode_hex("14000000 00000000 90bf68f501000000 01000000"));
    assert_eq!(output.stdout, decode_hex("0c000000 00000000 01000000"));
    assert!(output.status.success());
}

#[test]
fn documented_events_are_decoded_and_answered() {
    let mut body = begin_record(3, SETTINGS);
    for record in [
        LIST,
        PEERS_KNOWN,
        INBOUND,
        "46 03000000 4d00000000000000",
        "3c 05000000 192b6f0e",
        DONE,
    ] {
        body.extend(decode_hex(record));
    }
    let output = run_adapter(&frame(7, &body));
    assert!(output.status.success(), "{output:?}");
    let issue = decode_hex("46 03000000 c4913a5d 0a124a07 931f");
    assert!(
        output.stdout.windows(issue.len()).any(|w| w == issue),
        "{:x?}",
        output.stdout
    );
}

#[test]
fn an_instance_destroyed_and_started_in_one_batch_starts_empty() {
    let mut body = begin_record(3, SETTINGS);
    body.extend(
        [
            decode_hex(LIST),
            decode_hex(PEERS_KNOWN),
            decode_hex("64 03000000"),
            begin_record(3, SETTINGS),
            decode_hex(INBOUND),
        ]
        .concat(),
    );
    let output = run_adapter(&frame(6, &body));
    assert!(output.status.success());
    let issue = decode_hex("46 03000000 c4913a5d");
    assert!(
        !output.stdout.windows(issue.len()).any(|w| w == issue),
        "the new instance has no endpoint list yet"
    );
}

#[test]
fn a_list_number_refers_to_the_latest_list_before_the_event() {
    let second = LIST.replace("0a124a07", "0a124a08");
    let mut body = begin_record(3, SETTINGS);
    body.extend(
        [
            decode_hex(LIST),
            decode_hex(&second),
            decode_hex(PEERS_KNOWN),
            decode_hex(INBOUND),
            decode_hex(LIST),
        ]
        .concat(),
    );
    let output = run_adapter(&frame(6, &body));
    let issue = decode_hex("46 03000000 c4913a5d 0a124a08 931f");
    assert!(output.stdout.windows(issue.len()).any(|w| w == issue));
}

#[test]
fn invalid_settings_end_only_their_instance() {
    let mut body = begin_record(4, "{\"categories\": 7}");
    body.extend(
        [
            begin_record(3, SETTINGS),
            decode_hex(LIST),
            decode_hex(PEERS_KNOWN),
            decode_hex(INBOUND),
        ]
        .concat(),
    );
    let output = run_adapter(&frame(5, &body));
    assert!(output.status.success());
    let (give_in, issue) = (decode_hex("32 04000000"), decode_hex("46 03000000"));
    assert!(
        output.stdout.windows(5).any(|w| w == give_in)
            && output.stdout.windows(5).any(|w| w == issue)
    );
    assert!(String::from_utf8_lossy(&output.stderr).contains("BEGIN at byte"));
}

#[test_case(decode_hex("1400"), "batch header at byte 2"; "a truncated header")]
#[test_case(decode_hex("ffffffff 00000000 90bf68f501000000 01000000"), "batch header at byte 0"; "an oversized frame")]
#[test_case(decode_hex("03000000 00000000 90bf68f501000000 01000000"), "batch header at byte 0"; "an undersized frame")]
#[test_case(decode_hex("40000000 01000000 90bf68f501000000 01000000 46"), "batch header at byte 21"; "a truncated frame")]
#[test_case(frame(1, &decode_hex("46 0300")), "WAKE at byte 21"; "a truncated record")]
#[test_case(frame(1, &decode_hex("ff 03000000")), "record at byte 20"; "an unknown code")]
#[test_case(frame(2, &decode_hex("64 03000000")), "record at byte 25"; "a record count that exceeds the frame")]
#[test_case(frame(0, &decode_hex("64 03000000")), "batch at byte 20"; "bytes after the last record")]
#[test_case(frame(1, &decode_hex("78 0000 ffffff7f")), "LIST at byte 27"; "an entry count that exceeds the frame")]
#[test_case(frame(1, &decode_hex("0a 03000000 0900000000000000 ffffffff")), "BEGIN at byte 37"; "settings that exceed the frame")]
fn malformed_input_ends_the_adapter_with_a_one_line_error(input: Vec<u8>, expected: &str) {
    let output = run_adapter(&input);
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{line}");
    assert!(
        line.contains(expected) && line.trim_end().lines().count() == 1,
        "{line}"
    );
}

#[test]
fn a_reply_counts_its_records_and_bytes() {
    let mut reply = Reply::default();
    reply.start();
    reply.record(110, 5).put_counted(b"two servers known");
    let expected = "24000000 01000000 0c000000 6e 05000000 1100 74776f2073657276657273206b6e6f776e";
    assert_eq!(reply.finish(12), decode_hex(expected));
    assert_eq!(read_batch(&mut &b""[..]).unwrap(), None);
}
