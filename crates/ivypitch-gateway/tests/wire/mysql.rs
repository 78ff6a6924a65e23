//! Packets, logins, result sets, and the statements that the gateway answers itself.

use bytes::{Bytes, BytesMut};
use ivypitch_gateway::wire::gateway_statements;
use ivypitch_gateway::wire::mysql::{self, Command, Writer};
use test_case::test_case;

#[test]
fn packets_are_parsed_wherever_their_bytes_are_split() {
    let bytes = [&[4, 0, 0, 0, 3][..], b"abc", &[1, 0, 0, 7, 0x0e]].concat();
    for cut in 0..=bytes.len() {
        let mut input = BytesMut::from(&bytes[..cut]);
        let mut packets = Vec::new();
        for rest in [&bytes[cut..], &[]] {
            while let Some(packet) = mysql::next_packet(&mut input, 100).unwrap() {
                packets.push((
                    packet.sequence,
                    mysql::parse_command(packet.payload).unwrap(),
                ));
            }
            input.extend_from_slice(rest);
        }
        while let Some(packet) = mysql::next_packet(&mut input, 100).unwrap() {
            packets.push((
                packet.sequence,
                mysql::parse_command(packet.payload).unwrap(),
            ));
        }
        assert_eq!(
            packets,
            [(0, Command::Query(Bytes::from("abc"))), (7, Command::Ping)]
        );
    }
}

#[test]
fn a_result_set_has_columns_rows_and_two_eof_packets() {
    let (short, long) = (vec![b'x'; 250], vec![b'y'; 251]);
    let mut out = BytesMut::new();
    let mut writer = Writer {
        out: &mut out,
        sequence: 1,
    };
    writer.columns(&[b"c"]);
    [&short, &long]
        .into_iter()
        .for_each(|value| writer.row(std::iter::once(&value[..])));
    writer.eof();
    let mut packets = Vec::new();
    while let Some(packet) = mysql::next_packet(&mut out, 300).unwrap() {
        packets.push(packet);
    }
    assert!(packets.iter().map(|packet| packet.sequence).eq(1..=6));
    assert_eq!(packets[0].payload[..], [1]);
    assert_eq!(
        (packets[3].payload[0], packets[3].payload.len()),
        (250, 251)
    );
    assert_eq!(
        (&packets[4].payload[..3], packets[4].payload.len()),
        (&[0xfc, 251, 0][..], 254)
    );
    assert_eq!((packets[2].payload[0], packets[5].payload[0]), (0xfe, 0xfe));
}

#[test_case(b"KILL QUERY 7", Some(7); "plain")]
#[test_case(b" kill  query 7 ;", Some(7); "other case and spaces")]
#[test_case(b"KILL 7", None; "a connection")]
#[test_case(b"KILL QUERY -7", None; "no id")]
fn kill_query_names_a_connection(text: &[u8], id: Option<u32>) {
    assert_eq!(gateway_statements::parse_kill_query(text), id);
}

#[test]
fn a_truncated_login_is_an_error() {
    let login = [
        &(1u32 << 3 | 1 << 9 | 1 << 15).to_le_bytes()[..],
        &[0; 28],
        b"app\0\0dw\0",
    ]
    .concat();
    let parsed = mysql::parse_login(&login).unwrap();
    assert_eq!(
        (parsed.user, parsed.database, parsed.has_password),
        (&b"app"[..], Some(&b"dw"[..]), false)
    );
    assert!((0..login.len() - 3).all(|cut| mysql::parse_login(&login[..cut]).is_err()));
}
