//! Stand-ins of the platform and the users, and the cases that play on them.
//!
//!     standins CASE RECORD
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#![allow(dead_code)]

mod cloud;
mod faulty;

mod http;
mod images;
mod json;
mod nodes;
mod quota;

mod record;
mod site;
mod state;
mod users;

use record::Record;
use std::sync::Arc;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = Arc::new(Record::new(&args.next().unwrap_or("record.txt".into())));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "faulty" => faulty::run(record, trouble),
        "quota" => quota::run(record, trouble),
        "images" => images::run(record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
