//! `timeline --follow` over several instances.

use std::io::{Error, ErrorKind, Write};

use arbutuslug::Exit;
use operator::{Events, Member};
use timeline::{Event, Page, Record, Source, Stamp};
use world::instance::Incarnation;

use crate::fake::{Fake, State, member, run_into};

/// One millisecond in stamps.
const MS: u64 = (1 << 32) / 1_000 + 1;

/// Takes some lines, then is closed, as by `head`.
struct Head {
    lines: Vec<String>,
    most: usize,
}

impl Write for Head {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.lines.len() >= self.most {
            return Err(Error::from(ErrorKind::BrokenPipe));
        }
        self.lines.push(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn write_fmt(&mut self, text: std::fmt::Arguments<'_>) -> std::io::Result<()> {
        self.write(text.to_string().as_bytes()).map(drop)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A page with one record per time, and the clock after it.
fn page(instance: &str, times: &[u64], now: u64) -> Events {
    let source = Source { instance: instance.parse().unwrap(), incarnation: Incarnation(1) };
    let record = |(index, at): (usize, &u64)| Record {
        at: Stamp(at * MS),
        source: source.clone(),
        number: index as u64 + 1,
        event: Event::Configuration { generation: *at },
    };
    let records = times.iter().enumerate().map(record).collect();
    let last = times.len() as u64;
    Events {
        page: Page { source: source.clone(), records, overflowed_before: None, limited_before: None, last },
        now: Stamp(now * MS),
    }
}

/// Two instances; the second one's stream stays open or ends.
async fn site(first: Vec<Events>, second: Vec<Events>, second_open: bool) -> (Fake, Fake) {
    let second = Fake::start(State { events: second, open: second_open, ..State::default() }).await;
    let first = Fake::start(State { events: first, open: true, ..State::default() }).await;
    let members: Vec<Member> = vec![member("i1", 1, first.address), member("i2", 1, second.address)];
    first.state().members = members;
    (first, second)
}

fn generations(lines: &[String]) -> Vec<u64> {
    lines
        .iter()
        .map(|line| line.split("generation ").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap())
        .collect()
}

/// Two instances' events interleave. Each is shown once no instance can send
/// an earlier one, so the order is causal while it is followed, too.
#[tokio::test]
async fn events_are_shown_in_one_order() {
    let (first, _second) = site(vec![page("i1", &[1, 4, 5, 7], 9)], vec![page("i2", &[2, 3, 6], 9)], true).await;
    let mut head = Head { lines: Vec::new(), most: 6 };
    let (exit, err) = run_into(&[first.address], &["timeline", "--follow"], &mut head).await;
    // The seventh line finds the output closed, as by `head`.
    assert_eq!(exit, Exit::Done, "{err}");
    assert_eq!(generations(&head.lines), [1, 2, 3, 4, 5, 6]);
}

/// One instance's stream ends. Its gap is named and the other's events, held
/// back until then, are shown.
#[tokio::test]
async fn instance_that_goes_is_a_named_gap() {
    let (first, _second) = site(vec![page("i1", &[1, 4, 5], 9)], vec![page("i2", &[2], 3)], false).await;
    let mut head = Head { lines: Vec::new(), most: 3 };
    let (exit, err) = run_into(&[first.address], &["timeline", "--follow"], &mut head).await;
    assert_eq!(exit, Exit::Done, "{err}");
    assert_eq!(generations(&head.lines), [1, 2, 4]);
    assert!(err.contains("gap: i2: no records, it did not answer (it ended the stream)"), "{err}");
}
