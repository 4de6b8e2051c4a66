//! Measures what one process adds to a call: latency, throughput, and memory for each open stream.
//!
//! Targets and load run in processes of their own (this program with a role as its argument), so that the
//! measured process holds the server alone. Run with `cargo bench -p tarragon-server --bench forwarding`.

mod client;
mod server;
mod target;

use anyhow::bail;

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    match arguments.as_slice() {
        ["target"] => runtime.block_on(target::run()),
        ["call", address, connections, seconds] => {
            runtime.block_on(client::call(address, connections.parse()?, seconds.parse()?))
        }
        ["hold", address, streams] => runtime.block_on(client::hold(address, streams.parse()?)),
        // `cargo bench` passes `--bench`; `cargo test --benches` passes nothing and must stay short.
        ["--bench", ..] => runtime.block_on(server::run()),
        [] => Ok(()),
        other => bail!("unknown arguments {other:?}"),
    }
}
