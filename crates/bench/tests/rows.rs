//! Tests of the row formats and of the command line.

use swiftlink_bench::row::Rows;
use swiftlink_bench::table::markdown;

#[test]
fn rows_become_tables_by_scenario() {
    let mut rows = Rows::new();
    rows.add("one", "a", "share_pct", 0.25);
    rows.add("one", "b", "share_pct", 12.0);
    rows.add("one", "b", "count", 3.0);
    rows.add("two", "a", "count", 4_000.5);
    let line = rows.all()[0].to_string();
    assert_eq!(line, "scenario=one policy=a metric=share_pct value=0.250");
    let text = markdown(rows.all());
    assert!(text.contains("### one\n\n| policy | share_pct | count |\n|---|---:|---:|\n"));
    assert!(text.contains("| a | 0.250 | |\n| b | 12 | 3 |\n"));
    assert!(text.contains("### two\n"));
    assert_eq!(rows.get("one", "b", "count"), Some(3.0));
}

#[test]
fn wrong_arguments_are_errors() {
    for args in [
        ["--scenario", "nothing"],
        ["--seed", "x"],
        ["--quick", "word"],
    ] {
        let args = args.map(str::to_owned);
        let mut out = Vec::new();
        assert!(swiftlink_bench::run(&args, &mut out).is_err(), "{args:?}");
    }
}

#[test]
fn a_quick_run_gives_the_same_lines_for_a_seed() {
    let run = || {
        let args = ["--scenario", "limits", "--quick", "--seed", "9"].map(str::to_owned);
        let mut out = Vec::new();
        swiftlink_bench::run(&args, &mut out).expect("it runs");
        String::from_utf8(out).expect("rows are text")
    };
    let text = run();
    assert_eq!(text, run());
    assert!(text.contains("scenario=overload-2x policy=classes metric=goodput_per_s value="));
}
