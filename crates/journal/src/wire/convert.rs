//! Records to and from their messages.

use world::{
    contract::Customer,
    instance::{self, Incarnation},
    model::Version,
    money::{Amount, Currency},
    request, service,
    session::{self, Left, Pin},
    time::Timestamp,
};

use super::{
    Invalid,
    message::{
        Bill, Bind, Claim, Close, Grant, Holder, LeftVersion, Mark, Origin, Outcome, PinnedVersion, Pins, Record,
        Settle, Teller, Wide,
    },
};
use crate::{
    bill::{self, Item},
    record::{self, Digest, End, Standing},
};

impl From<&record::Record> for Record {
    fn from(record: &record::Record) -> Self {
        let mut wire = Self::default();
        match record {
            record::Record::Claim(claim) => wire.claim = Some(claim.into()),
            record::Record::Settle(settle) => wire.settle = Some(settle.into()),
            record::Record::Bill(bill) => wire.bill = Some(bill.into()),
            record::Record::Bind(bind) => wire.bind = Some(bind.into()),
            record::Record::Close(close) => wire.close = Some(close.into()),
            record::Record::Mark(mark) => wire.mark = Some(mark.into()),
        }
        wire
    }
}

/// Nothing for a record of a kind that this build does not know.
impl TryFrom<Record> for Option<record::Record> {
    type Error = Invalid;

    fn try_from(wire: Record) -> Result<Self, Invalid> {
        Ok(Some(match wire {
            Record { claim: Some(claim), .. } => record::Record::Claim(claim.try_into()?),
            Record { settle: Some(settle), .. } => record::Record::Settle(settle.try_into()?),
            Record { bill: Some(bill), .. } => record::Record::Bill(bill.try_into()?),
            Record { bind: Some(bind), .. } => record::Record::Bind(bind.try_into()?),
            Record { close: Some(close), .. } => record::Record::Close(close.try_into()?),
            Record { mark: Some(mark), .. } => record::Record::Mark(mark.try_into()?),
            _ => return Ok(None),
        }))
    }
}

impl From<Digest> for Wide {
    #[expect(clippy::cast_possible_truncation, reason = "each half is 64 bits wide")]
    fn from(digest: Digest) -> Self {
        Self { high: (digest.0 >> 64) as u64, low: digest.0 as u64 }
    }
}

impl TryFrom<Option<Wide>> for Digest {
    type Error = Invalid;

    fn try_from(wire: Option<Wide>) -> Result<Self, Invalid> {
        let halves = wire.ok_or_else(|| Invalid::missing("digest"))?;
        Ok(Self(u128::from(halves.high) << 64 | u128::from(halves.low)))
    }
}

impl From<&record::Origin> for Origin {
    fn from(origin: &record::Origin) -> Self {
        Self { instance: origin.instance.as_str().into(), incarnation: origin.incarnation.0 }
    }
}

impl TryFrom<Origin> for record::Origin {
    type Error = Invalid;

    fn try_from(wire: Origin) -> Result<Self, Invalid> {
        Ok(Self { instance: instance::Id::parse(&wire.instance)?, incarnation: Incarnation(wire.incarnation) })
    }
}

impl From<&record::Claim> for Claim {
    fn from(claim: &record::Claim) -> Self {
        Self {
            digest: Some(claim.digest.into()),
            nonce: claim.nonce,
            by: Some((&claim.by).into()),
            made_at: claim.made_at.0,
            fingerprint: claim.fingerprint,
        }
    }
}

impl TryFrom<Claim> for record::Claim {
    type Error = Invalid;

    fn try_from(wire: Claim) -> Result<Self, Invalid> {
        Ok(Self {
            digest: wire.digest.try_into()?,
            nonce: wire.nonce,
            by: wire.by.ok_or_else(|| Invalid::missing("by"))?.try_into()?,
            made_at: Timestamp(wire.made_at),
            fingerprint: wire.fingerprint,
        })
    }
}

impl From<&record::Settle> for Settle {
    fn from(settle: &record::Settle) -> Self {
        let end = Outcome::from(settle.end).into();
        Self { digest: Some(settle.digest.into()), nonce: settle.nonce, made_at: settle.made_at.0, end }
    }
}

impl TryFrom<Settle> for record::Settle {
    type Error = Invalid;

    fn try_from(wire: Settle) -> Result<Self, Invalid> {
        let end = wire.end().try_into()?;
        Ok(Self { digest: wire.digest.try_into()?, nonce: wire.nonce, made_at: Timestamp(wire.made_at), end })
    }
}

impl From<End> for Outcome {
    fn from(end: End) -> Self {
        match end {
            End::Answered => Self::Answered,
            End::NotRun => Self::NotRun,
            End::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<Outcome> for End {
    type Error = Invalid;

    fn try_from(wire: Outcome) -> Result<Self, Invalid> {
        match wire {
            Outcome::Answered => Ok(Self::Answered),
            Outcome::NotRun => Ok(Self::NotRun),
            Outcome::Unknown => Ok(Self::Unknown),
            Outcome::Running => Err(Invalid::missing("end")),
        }
    }
}

impl From<&bill::Bill> for Bill {
    fn from(bill: &bill::Bill) -> Self {
        let (version, service) = match &bill.item {
            Item::Version(version) => (Some(version.to_string()), None),
            Item::Service(service) => (None, Some(service.to_string())),
        };
        Self {
            customer: bill.id.customer.as_str().into(),
            key: bill.id.key.as_str().into(),
            at: bill.at.0,
            amount: bill.amount.0,
            currency: bill.currency.to_string(),
            version,
            service,
            input_tokens: bill.input_tokens,
            output_tokens: bill.output_tokens,
            attempts: bill.attempts,
            grant: bill.grant.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<Bill> for bill::Bill {
    type Error = Invalid;

    fn try_from(wire: Bill) -> Result<Self, Invalid> {
        let item = match (&wire.version, &wire.service) {
            (Some(version), _) => Item::Version(Version::parse(version)?),
            (None, Some(service)) => Item::Service(service::Id::parse(service)?),
            (None, None) => return Err(Invalid::missing("version")),
        };
        let id = request::Id { customer: Customer::parse(&wire.customer)?, key: request::Key::parse(&wire.key)? };
        Ok(Self {
            id,
            at: Timestamp(wire.at),
            amount: Amount(wire.amount),
            currency: Currency::try_from(wire.currency).map_err(Invalid)?,
            item,
            input_tokens: wire.input_tokens,
            output_tokens: wire.output_tokens,
            attempts: wire.attempts,
            grant: wire.grant.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&bill::Grant> for Grant {
    fn from(grant: &bill::Grant) -> Self {
        Self { holder: Some((&grant.holder).into()), period: grant.period.0 }
    }
}

impl TryFrom<Grant> for bill::Grant {
    type Error = Invalid;

    fn try_from(wire: Grant) -> Result<Self, Invalid> {
        Ok(Self { holder: wire.holder.try_into()?, period: Timestamp(wire.period) })
    }
}

impl From<&bill::Holder> for Holder {
    fn from(holder: &bill::Holder) -> Self {
        Self { instance: holder.instance.as_str().into(), incarnation: holder.incarnation.0, epoch: holder.epoch }
    }
}

impl TryFrom<Option<Holder>> for bill::Holder {
    type Error = Invalid;

    fn try_from(wire: Option<Holder>) -> Result<Self, Invalid> {
        let holder = wire.ok_or_else(|| Invalid::missing("holder"))?;
        Ok(Self {
            instance: instance::Id::parse(&holder.instance)?,
            incarnation: Incarnation(holder.incarnation),
            epoch: holder.epoch,
        })
    }
}

impl From<&[Pin]> for Pins {
    fn from(pins: &[Pin]) -> Self {
        let left = |left: &Left| LeftVersion {
            versions: left.versions.iter().map(ToString::to_string).collect(),
            by: left.by.to_string(),
            told: left.told.as_ref().map(Teller::from),
        };
        let pin = |pin: &Pin| PinnedVersion {
            tier: pin.tier.into(),
            version: pin.version.to_string(),
            left: pin.left.as_ref().map(left),
        };
        Self { pins: pins.iter().map(pin).collect() }
    }
}

impl TryFrom<Pins> for Vec<Pin> {
    type Error = Invalid;

    fn try_from(wire: Pins) -> Result<Self, Invalid> {
        let pin = |pin: PinnedVersion| {
            let tier = u8::try_from(pin.tier).map_err(|_| Invalid("tier is above 255".into()))?;
            let left = pin.left.map(Left::try_from).transpose()?;
            Ok(Pin { tier, version: Version::parse(&pin.version)?, left })
        };
        wire.pins.into_iter().map(pin).collect()
    }
}

impl TryFrom<LeftVersion> for Left {
    type Error = Invalid;

    fn try_from(wire: LeftVersion) -> Result<Self, Invalid> {
        let versions = wire.versions.iter().map(|version| Version::parse(version)).collect::<Result<_, _>>()?;
        let told = wire.told.map(session::Teller::try_from).transpose()?;
        Ok(Self { versions, by: request::Key::parse(&wire.by)?, told })
    }
}

impl From<&session::Teller> for Teller {
    fn from(teller: &session::Teller) -> Self {
        Self {
            request: teller.request.to_string(),
            instance: teller.instance.to_string(),
            incarnation: teller.incarnation.0,
        }
    }
}

impl TryFrom<Teller> for session::Teller {
    type Error = Invalid;

    fn try_from(wire: Teller) -> Result<Self, Invalid> {
        Ok(Self {
            request: request::Key::parse(&wire.request)?,
            instance: instance::Id::parse(&wire.instance)?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl From<&record::Bind> for Bind {
    fn from(bind: &record::Bind) -> Self {
        Self {
            digest: Some(bind.digest.into()),
            pins: Some(bind.pins.as_slice().into()),
            replaces: bind.replaces.as_deref().map(Into::into),
            at: bind.at.0,
        }
    }
}

impl TryFrom<Bind> for record::Bind {
    type Error = Invalid;

    fn try_from(wire: Bind) -> Result<Self, Invalid> {
        Ok(Self {
            digest: wire.digest.try_into()?,
            pins: wire.pins.unwrap_or_default().try_into()?,
            replaces: wire.replaces.map(TryInto::try_into).transpose()?,
            at: Timestamp(wire.at),
        })
    }
}

impl From<&record::Close> for Close {
    fn from(close: &record::Close) -> Self {
        Self { holder: Some((&close.holder).into()), at: close.at.0 }
    }
}

impl TryFrom<Close> for record::Close {
    type Error = Invalid;

    fn try_from(wire: Close) -> Result<Self, Invalid> {
        Ok(Self { holder: wire.holder.try_into()?, at: Timestamp(wire.at) })
    }
}

impl From<&record::Mark> for Mark {
    fn from(mark: &record::Mark) -> Self {
        let (standing, by) = match &mark.standing {
            Standing::Running(by) => (Outcome::Running, Some(by.into())),
            Standing::Answered => (Outcome::Answered, None),
            Standing::NotRun => (Outcome::NotRun, None),
            Standing::Unknown => (Outcome::Unknown, None),
        };
        Self {
            digest: Some(mark.digest.into()),
            standing: standing.into(),
            by,
            nonce: mark.nonce,
            fingerprint: mark.fingerprint,
            made_at: mark.made_at.0,
            billed: mark.billed,
            dead: mark.dead.clone(),
        }
    }
}

impl TryFrom<Mark> for record::Mark {
    type Error = Invalid;

    fn try_from(wire: Mark) -> Result<Self, Invalid> {
        let standing = match (wire.standing(), wire.by) {
            (Outcome::Running, Some(by)) => Standing::Running(by.try_into()?),
            (Outcome::Running, None) => return Err(Invalid::missing("by")),
            (Outcome::Answered, _) => Standing::Answered,
            (Outcome::NotRun, _) => Standing::NotRun,
            (Outcome::Unknown, _) => Standing::Unknown,
        };
        Ok(Self {
            digest: wire.digest.try_into()?,
            standing,
            nonce: wire.nonce,
            fingerprint: wire.fingerprint,
            made_at: Timestamp(wire.made_at),
            billed: wire.billed,
            dead: wire.dead,
        })
    }
}
