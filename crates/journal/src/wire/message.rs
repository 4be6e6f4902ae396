//! Messages of the log.

use prost::Message;

#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(message, optional, tag = "1")]
    pub claim: Option<Claim>,
    #[prost(message, optional, tag = "2")]
    pub settle: Option<Settle>,
    #[prost(message, optional, tag = "3")]
    pub bill: Option<Bill>,
    #[prost(message, optional, tag = "4")]
    pub bind: Option<Bind>,
    #[prost(message, optional, tag = "5")]
    pub close: Option<Close>,
    #[prost(message, optional, tag = "6")]
    pub mark: Option<Mark>,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Wide {
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Origin {
    #[prost(string, tag = "1")]
    pub instance: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    #[prost(message, optional, tag = "1")]
    pub digest: Option<Wide>,
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    #[prost(message, optional, tag = "3")]
    pub by: Option<Origin>,
    #[prost(uint64, tag = "4")]
    pub made_at: u64,
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Settle {
    #[prost(message, optional, tag = "1")]
    pub digest: Option<Wide>,
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    #[prost(uint64, tag = "3")]
    pub made_at: u64,
    #[prost(enumeration = "Outcome", tag = "4")]
    pub end: i32,
}

/// How a request stands; 0 is "running" so that an unset one claims nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    Running = 0,
    Answered = 1,
    NotRun = 2,
    Unknown = 3,
}

#[derive(Clone, PartialEq, Message)]
pub struct Bill {
    #[prost(string, tag = "1")]
    pub customer: String,
    #[prost(string, tag = "2")]
    pub key: String,
    #[prost(uint64, tag = "3")]
    pub at: u64,
    #[prost(uint64, tag = "4")]
    pub amount: u64,
    #[prost(string, tag = "5")]
    pub currency: String,
    #[prost(string, optional, tag = "6")]
    pub version: Option<String>,
    #[prost(string, optional, tag = "7")]
    pub service: Option<String>,
    #[prost(uint64, tag = "8")]
    pub input_tokens: u64,
    #[prost(uint64, tag = "9")]
    pub output_tokens: u64,
    #[prost(uint32, tag = "10")]
    pub attempts: u32,
    #[prost(message, optional, tag = "11")]
    pub grant: Option<Grant>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Grant {
    #[prost(message, optional, tag = "1")]
    pub holder: Option<Holder>,
    #[prost(uint64, tag = "2")]
    pub period: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Holder {
    #[prost(string, tag = "1")]
    pub instance: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Pins {
    #[prost(message, repeated, tag = "1")]
    pub pins: Vec<PinnedVersion>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct PinnedVersion {
    #[prost(uint32, tag = "1")]
    pub tier: u32,
    #[prost(string, tag = "2")]
    pub version: String,
    #[prost(message, optional, tag = "3")]
    pub left: Option<LeftVersion>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeftVersion {
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    #[prost(string, tag = "2")]
    pub by: String,
    /// Whose answer has told; nothing if none has.
    #[prost(message, optional, tag = "4")]
    pub told: Option<Teller>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Teller {
    #[prost(string, tag = "1")]
    pub request: String,
    #[prost(string, tag = "2")]
    pub instance: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Bind {
    #[prost(message, optional, tag = "1")]
    pub digest: Option<Wide>,
    #[prost(message, optional, tag = "2")]
    pub pins: Option<Pins>,
    #[prost(message, optional, tag = "3")]
    pub replaces: Option<Pins>,
    #[prost(uint64, tag = "4")]
    pub at: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Close {
    #[prost(message, optional, tag = "1")]
    pub holder: Option<Holder>,
    #[prost(uint64, tag = "2")]
    pub at: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Mark {
    #[prost(message, optional, tag = "1")]
    pub digest: Option<Wide>,
    #[prost(enumeration = "Outcome", tag = "2")]
    pub standing: i32,
    #[prost(message, optional, tag = "3")]
    pub by: Option<Origin>,
    #[prost(fixed64, tag = "4")]
    pub nonce: u64,
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    #[prost(uint64, tag = "6")]
    pub made_at: u64,
    #[prost(fixed64, tag = "7")]
    pub billed: u64,
    #[prost(fixed64, repeated, tag = "8")]
    pub dead: Vec<u64>,
}
