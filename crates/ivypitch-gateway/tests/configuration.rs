//! What a configuration that can't be used says to the operator.

use std::path::Path;

use ivypitch_gateway::lifecycle::configuration::{from_file, parse};
use test_case::test_case;

#[test_case(r#"{"listen":"here","settings":{}}"#, "listen \"here\" is not an address and port"; "listen")]
#[test_case(r#"{"listen":"127.0.0.1:1","journal":"there","settings":{}}"#, "journal \"there\" is not an address and port"; "journal")]
#[test_case(r#"{"settings":{}}"#, "missing field `listen` at line 1 column 15"; "a missing field")]
fn a_field_that_cannot_be_used_is_named(text: &str, message: &str) {
    let error = parse(text).err().expect("it can't be used");
    assert_eq!(error.to_string(), message);
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = from_file(Path::new("no/such.json"))
        .err()
        .expect("there is none");
    assert!(error.to_string().starts_with("no/such.json: "), "{error}");
}
