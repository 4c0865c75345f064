//! Tests of `explain --log`, which builds the trace of a request from the logs of several
//! processes.

mod environment;

use environment::{CommandOutput, run};
use rosemarymoor_testutils::temp_folder::TempFolder;

const ENTRY: &str = "\
1000.010 INFO handler event=admitted request=r1 route=drafts version=3
1000.011 INFO handler event=admitted request=r2 route=drafts version=3
1000.015 INFO budget_client event=money_reserved request=r1 reservation=ab budget=shop/prepaid holder=side-1 tokens=10
1000.400 INFO stream event=stream_ended request=r1 outcome=broken events=3
1000.401 INFO budget_client event=money_settled request=r1 reservation=ab used=9
not a line of a log
";

/// Log of the budget server, whose clock is two seconds ahead.
const SERVER: &str = "\
1002.014 INFO ceiling event=reserved reservation=ab budget=shop/prepaid tokens=10
1002.015 INFO ceiling event=reserved reservation=cd budget=shop/prepaid tokens=10
1002.402 INFO ceiling event=settled reservation=ab used=9
";

async fn explain(request: &str, options: &[&str]) -> CommandOutput {
    let folder = TempFolder::open().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let (entry, server) = (write("entry.log", ENTRY), write("server.log", SERVER));
    let mut args = vec!["explain", request, "--log", &entry, "--log", &server];
    args.extend(options);
    run(&args).await
}

#[tokio::test]
async fn the_reservation_of_a_request_is_part_of_its_trace() {
    let trace = explain("r1", &["--json"]).await.json();
    let events: Vec<&str> = trace
        .as_array()
        .unwrap()
        .iter()
        .map(|line| line["text"].as_str().unwrap().split(' ').next().unwrap())
        .collect();
    let expected = [
        "event=admitted",
        "event=money_reserved",
        "event=reserved",
        "event=stream_ended",
        "event=money_settled",
        "event=settled",
    ];
    assert_eq!(events, expected, "clocks are corrected and other requests left out");
}

#[tokio::test]
async fn text_output_shows_times_since_the_first_line() {
    let stdout = explain("r1", &[]).await.stdout;
    assert!(stdout.contains("390 ms"), "{stdout}");
    assert!(!stdout.contains("reservation=cd"));
}

#[tokio::test]
async fn an_unknown_request_is_an_error() {
    assert_eq!(explain("r9", &[]).await.code, 1);
}

#[tokio::test]
async fn a_missing_file_is_named() {
    let output = run(&["explain", "r1", "--log", "/nowhere/entry.log"]).await;
    assert_eq!(output.code, 1);
    assert!(output.stderr.contains("/nowhere/entry.log"), "{}", output.stderr);
}
