//! The operators' command-line tool.

use std::process::ExitCode;

use arbutuslug::{Console, Environment};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let environment = Environment::read();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let mut console = Console::new(&mut out, &mut err);
    arbutuslug::run(std::env::args_os(), &environment, &mut console).await.into()
}
