//! Tests of parsing and validating submissions.

use super::*;

const EXAMPLE: &str = r#"{"uid":"j-000412","lane":"train","crew":"vision","shape":"gang",
    "rank":"urgent","pieces":16,"cpus":8.0,"gpus":1.0,"memoryGb":64.0,"kit":"img-07",
    "sizeGb":6.2,"builds":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
    "guessS":240.0,"waypointS":30.0,"stashS":4.0,"dueS":900.0,"later":1}"#;

#[test]
fn example_submission_is_parsed() {
    let spec = JobSpec::parse(EXAMPLE.as_bytes()).unwrap();
    assert_eq!(spec.shape, Shape::Gang);
    assert_eq!(spec.priority, Priority::High);
    assert_eq!(spec.tasks, 16);
    assert_eq!(spec.zone, None);
    let reparsed = JobSpec::parse(&serde_json::to_vec(&spec).unwrap()).unwrap();
    assert_eq!(reparsed, spec);
}

#[test]
fn errors_name_the_invalid_field() {
    for (valid, invalid, field) in [
        ("\"pieces\":16", "\"pieces\":0", "pieces"),
        ("\"pieces\":16", "\"pieces\":100001", "pieces"),
        ("\"pieces\":16", "\"pieces\":-1", "-1"),
        ("\"cpus\":8.0", "\"cpus\":-8.0", "cpus"),
        ("\"cpus\":8.0", "\"cpus\":1e300", "cpus"),
        ("\"crew\":\"vision\",", "", "crew"),
        ("j-000412", "job 7", "uid"),
        ("\"gang\"", "\"heap\"", "heap"),
    ] {
        let body = EXAMPLE.replace(valid, invalid);
        assert_ne!(body, EXAMPLE);
        let error = JobSpec::parse(body.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
    }
    assert!(JobSpec::parse(b"[]").is_err());
    assert!(JobSpec::parse(b"{").is_err());
}
