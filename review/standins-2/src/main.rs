//! Plays one case of the review: `stage CASE ROOT FOLDER TEMP`. ROOT is the root of the repository,
//! FOLDER the folder of the case, in which `record.txt` is written, TEMP a folder for settings, logs
//! and the process ids of the controllers. With `TROUBLE=0` in the
//! environment the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run.

mod cases;
mod cloud;
mod http;
mod machine;
mod record;
mod site;
mod state;
mod world;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, folder, temp] = args.as_slice() else {
        eprintln!("usage: stage CASE ROOT FOLDER TEMP");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let context = cases::Context {
        root: PathBuf::from(root),
        record: PathBuf::from(folder).join("record.txt"),
        temp: PathBuf::from(temp),
        trouble,
    };
    let verdict = cases::play(case, &context);
    match verdict {
        Ok(Verdict::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
