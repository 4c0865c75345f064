//! Decoding of the platform's host list.

use rosemarymoor_lib::host_list;

const FIRST: &str = r#"{"name":"a","role":"entry","address":"10.0.0.1:7000","data_center":"leics",
    "region":"midlands","state":"live"}"#;
const LAST: &str = r#"{"name":"z","role":"sidecar","address":"10.0.0.9:7000","data_center":"leics",
    "region":"midlands","state":"leaving"}"#;

/// Nesting beyond any recursion limit.
fn deep() -> String {
    format!("{}{}", "[".repeat(100_000), "]".repeat(100_000))
}

/// Defines a test that an odd item between two good ones leaves them.
macro_rules! odd_hosts {
    ($($name:ident: $item:expr;)*) => {
        $(#[test]
        fn $name() {
            let text = format!("[{LAST},{},{FIRST}]", $item);
            let decoded = host_list::decode(text.as_bytes()).expect("the list is read");
            let names: Vec<&str> = decoded.hosts.iter().map(|host| host.name.as_str()).collect();
            assert_eq!((names, decoded.malformed), (vec!["a", "z"], 1));
        })*
    };
}

odd_hosts! {
    an_item_that_is_nested: deep();
    an_item_that_is_null: "null";
    a_number_too_large: "1e400";
    a_nested_name: FIRST.replace("\"a\"", &deep());
    a_name_with_half_a_surrogate: FIRST.replace("\"a\"", "\"\\ud800\"");
    a_port_out_of_range: FIRST.replace("7000", "70000");
    a_host_name: FIRST.replace("10.0.0.1", "localhost");
    an_unknown_role: FIRST.replace("entry", "proxy");
    an_unknown_state: FIRST.replace("live", "resting");
    a_missing_region: FIRST.replace("\"region\":\"midlands\",", "");
}

#[test]
fn a_host_that_is_no_utf8_leaves_the_others() {
    let text = [b"[{\"name\":\"\xff\xfe\"},".as_slice(), FIRST.as_bytes(), b"]"].concat();
    let decoded = host_list::decode(&text).expect("the list is read");
    assert_eq!((decoded.hosts.len(), decoded.malformed), (1, 1));
}

#[test]
fn what_is_no_list_is_an_error() {
    for text in ["", "{}", "null", &deep()[1..], "[1"] {
        assert!(host_list::decode(text.as_bytes()).is_err(), "{}", &text[..text.len().min(9)]);
    }
}
