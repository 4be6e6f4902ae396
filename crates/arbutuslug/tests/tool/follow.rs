//! `timeline --follow` over several instances.

use std::io::{Error, ErrorKind, Write};

use arbutuslug::Exit;
use operator::{Events, Member};
use timeline::{Event, Page, Record, Source, Stamp};
use world::instance::Incarnation;

use crate::fake::{Fake, State, Stream, member, run_into};

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

/// A page of the first run, with one record per time and the clock after it.
fn page(instance: &str, times: &[u64], now: u64) -> Events {
    page_of_run(1, instance, times, now)
}

fn page_of_run(run: u64, instance: &str, times: &[u64], now: u64) -> Events {
    let source = Source { instance: instance.parse().unwrap(), incarnation: Incarnation(run) };
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

fn stream(events: Events, open: bool) -> Stream {
    Stream { events: vec![events], open }
}

/// Two instances; the second one answers each question as told.
async fn site(first: Events, second: impl IntoIterator<Item = Stream>) -> (Fake, Fake) {
    let second = Fake::start(State { streams: second.into_iter().collect(), ..State::default() }).await;
    let first = Fake::start(State { streams: [stream(first, true)].into(), ..State::default() }).await;
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
    let (first, _second) = site(page("i1", &[1, 4, 5, 7], 9), [stream(page("i2", &[2, 3, 6], 9), true)]).await;
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
    let (first, _second) = site(page("i1", &[1, 4, 5], 9), [stream(page("i2", &[2], 3), false)]).await;
    let mut head = Head { lines: Vec::new(), most: 3 };
    let (exit, err) = run_into(&[first.address], &["timeline", "--follow"], &mut head).await;
    assert_eq!(exit, Exit::Done, "{err}");
    assert_eq!(generations(&head.lines), [1, 2, 4]);
    assert!(err.contains("gap: i2: no records, it did not answer (it ended the stream)"), "{err}");
}

/// An instance goes, is away for one more question, and comes back as another
/// run whose numbers begin anew. Its first records must not be taken for ones
/// already seen. They come after later ones were shown and are marked so; the
/// gap is told once.
#[tokio::test]
async fn instance_that_comes_back_is_followed_from_its_first_record() {
    let streams =
        [stream(page("i2", &[2, 3], 3), false), Stream::default(), stream(page_of_run(2, "i2", &[6, 7], 9), true)];
    let (first, _second) = site(page("i1", &[1, 4, 8], 9), streams).await;
    let mut head = Head { lines: Vec::new(), most: 6 };
    let (exit, err) = run_into(&[first.address], &["timeline", "--follow"], &mut head).await;
    assert_eq!(exit, Exit::Done, "{err}");
    assert_eq!(generations(&head.lines), [1, 2, 3, 4, 8, 6]);
    assert!(head.lines[5].contains("(late)"), "{:?}", head.lines);
    assert_eq!(err.matches("gap: i2").count(), 1, "{err}");
    assert!(err.contains("i2 answers again"), "{err}");
}
