//! Decoding of `SHOW FLEET` rows and the differences that `ivypitch fleet` prints.

use ivypitch_cli::fleet::{GatewayView, differences, first_column};
use serde_json::Value;

fn a_view(place: u64, journal: u64, out: bool, held: u64) -> Value {
    serde_json::json!({"place": place, "journal": journal, "hearing": "Most", "heard": [1 - place],
        "engines": [{"engine": 7, "out": out}], "bounds": [{"name": "cores", "units": 200, "held": held}]})
}

#[test]
fn differences_between_gateways_are_listed() {
    let (a, b) = (a_view(0, 4, true, 120), a_view(1, 2, false, 80));
    let lines = differences(&[GatewayView::new("a", a), GatewayView::new("b", b)]);
    assert_eq!(
        lines,
        [
            "engine 0000000000000007: ejected by a, in use by b",
            "b: 2 endpoint events behind",
            "quota cores: 200 of 200 units usable by these gateways"
        ]
    );
}

#[test]
fn columns_of_all_lengths_are_read() {
    assert_eq!(first_column(b"\x03abcd"), Some(&b"abc"[..]));
    let long = [&[0xfc, 0x2c, 0x01][..], &[b'x'; 300]].concat();
    assert_eq!(first_column(&long).map(<[u8]>::len), Some(300));
    assert_eq!(first_column(&[0xfd, 9, 0]), None);
}
