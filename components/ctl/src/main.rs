//! `filbertsailctl`: checks configuration files and operates a fleet.

use std::{env, io, process::ExitCode};

use argh::FromArgs;
use filbertsail_ctl::{cli::Cli, exit::Exit, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<_> = env::args().collect();
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let (program, args) = args.split_first().unwrap_or((&"filbertsailctl", &[]));
    let exit = match Cli::from_args(&[program], args) {
        Ok(cli) => run(cli, &mut io::stdout(), &mut io::stderr()).await,
        Err(early_exit) if early_exit.status.is_ok() => {
            print!("{}", early_exit.output);
            Exit::Done
        }
        Err(early_exit) => {
            eprint!("{}", early_exit.output);
            Exit::Usage
        }
    };
    exit.into()
}
