//! What operators see of odd entries of the list of instances. The log is the process's, so this test has a
//! program of its own.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::value::RawValue;
use standin::objects::{Limits, Objects};
use store::{Priority, Settings, open};

const SOUND: &str = r#"{"name":"i1","role":"entry","state":"live"}"#;

/// Output of a logger.
#[derive(Debug, Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn lines(&self) -> usize {
        String::from_utf8_lossy(&self.0.lock().expect("no panic")).matches("cannot be decoded").count()
    }
}

/// The list is read each second. An odd entry must not fill the log, and operators must be able to raise an alarm.
#[tokio::test]
async fn odd_entry_is_logged_once_and_counted() {
    let log = Log::default();
    let writer = log.clone();
    tracing_subscriber::fmt().with_writer(move || writer.clone()).init();
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _counted = metrics::set_default_local_recorder(&recorder);
    let standin = Objects::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Limits::none()).await.expect("a free port");
    let handle = open(Settings::new(standin.addr(), "us/1"));
    let read_with = async |odd: &[&str]| {
        let entries = odd.iter().copied().chain([SOUND]).map(|entry| RawValue::from_string(entry.to_owned()));
        standin.set_raw_instances(&entries.collect::<Result<Vec<_>, _>>().expect("JSON"));
        for _ in 0..3 {
            let members = handle.instances(Priority::Config).await.expect("the list");
            assert_eq!(members.iter().map(|member| member.name.as_str()).collect::<Vec<_>>(), ["i1"]);
        }
        let metrics = metrics.render();
        let value = |name: &str| {
            let line = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|value| value.parse::<u64>().ok())
        };
        let total = value("platform_undecodable_members_total");
        (log.lines(), total, value("platform_undecodable_members"))
    };
    assert_eq!(read_with(&["7"]).await, (1, Some(1), Some(1)));
    assert_eq!(read_with(&["7", "{}"]).await, (2, Some(2), Some(2)));
    assert_eq!(read_with(&[]).await, (2, Some(2), Some(0)));
    assert_eq!(read_with(&["7"]).await, (3, Some(3), Some(1)));
}
