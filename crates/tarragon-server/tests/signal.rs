//! A signal that ends the process. Alone in its test binary, since signals reach the whole process.

use std::{net::SocketAddr, time::Duration};

use rustix::process::{Signal, getpid, kill_process};
use tarragon_server::{
    serve::run,
    settings::{ProcessLimits, SecretText, ServeSettings},
};
use tokio::{net::TcpStream, time::timeout};

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Guards against a process that a service manager has to kill.
#[tokio::test]
async fn terminate_signal_shuts_down() {
    let caller_address = free_address();
    let settings = ServeSettings {
        vm: "signal".into(),
        data_centre: "here".into(),
        caller_address,
        peer_address: free_address(),
        admin_address: free_address(),
        admin_key: None,
        peer_keys: vec![SecretText::new("a key of the tests only")],
        platform: None,
        seed_peers: Vec::new(),
        log_format: Default::default(),
        limits: ProcessLimits::default(),
        drain_timeout: Duration::from_secs(2),
        rules_file: None,
        targets: Vec::new(),
    };
    let running = tokio::spawn(run(settings));
    let connected = async {
        while TcpStream::connect(caller_address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(5), connected).await.expect("the process starts");
    kill_process(getpid(), Signal::TERM).unwrap();
    let ended = timeout(Duration::from_secs(5), running).await.expect("the process ends");
    ended.unwrap().unwrap();
    assert!(TcpStream::connect(caller_address).await.is_err());
}
