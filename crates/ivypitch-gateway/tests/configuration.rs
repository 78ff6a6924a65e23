//! Error messages for configurations that cannot be used.

use std::path::Path;

use ivypitch_gateway::lifecycle::configuration::{from_file, parse};
use test_case::test_case;

#[test_case(r#"{"listen":"here","settings":{}}"#, "listen \"here\" is not an address and port"; "listen")]
#[test_case(r#"{"listen":"127.0.0.1:1","journal":"there","settings":{}}"#, "journal \"there\" is not an address and port"; "journal")]
#[test_case(r#"{"settings":{}}"#, "missing field `listen` at line 1 column 15"; "a missing field")]
fn an_invalid_field_is_named_in_the_error(text: &str, message: &str) {
    let error = parse(text).err().expect("the configuration is invalid");
    assert_eq!(error.to_string(), message);
}

#[test]
fn an_unreadable_file_is_named_in_the_error() {
    let error = from_file(Path::new("no/such.json"))
        .err()
        .expect("the file does not exist");
    assert!(error.to_string().starts_with("no/such.json: "), "{error}");
}
