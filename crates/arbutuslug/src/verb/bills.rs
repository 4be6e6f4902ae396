//! `bills CUSTOMER`

use std::collections::BTreeMap;

use operator::Bill;
use world::{
    contract::Customer,
    money::{Amount, Currency},
};

use crate::{
    console::Console,
    describe,
    exit::Failure,
    fleet::Fleet,
    table::{or_dash, table},
};

pub(crate) async fn run(fleet: Fleet<'_>, customer: &Customer, console: &mut Console<'_>) -> Result<(), Failure> {
    let bills = fleet
        .read(async |client| {
            let mut messages = client.bills(customer).await?;
            let mut bills = Vec::new();
            while let Some(bill) = messages.next().await? {
                bills.push(bill);
            }
            Ok(bills)
        })
        .await?;
    console.show(&bills, |bills| rows(bills))
}

fn rows(bills: &[Bill]) -> String {
    let rows = bills.iter().map(|bill| {
        [
            describe::time(bill.at),
            bill.request.key.to_string(),
            or_dash(bill.version.as_ref()),
            bill.cost.to_string(),
            bill.currency.to_string(),
            bill.attempts.to_string(),
        ]
    });
    let table = table(["TIME", "REQUEST", "VERSION", "COST", "CURRENCY", "ATTEMPTS"], rows);
    let totals: Vec<_> = totals(bills).into_iter().map(|(currency, sum)| format!("{sum} {currency}")).collect();
    format!("{table}\n{} bills, {}", bills.len(), if totals.is_empty() { "nothing".into() } else { totals.join(", ") })
}

fn totals(bills: &[Bill]) -> BTreeMap<String, Amount> {
    let mut totals = BTreeMap::new();
    for bill in bills {
        let sum: &mut Amount = totals.entry(Currency::to_string(&bill.currency)).or_default();
        *sum = sum.saturating_add(bill.cost);
    }
    totals
}
