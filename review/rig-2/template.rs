//! Fills in a settings template as DEPLOY.md tells: values, lists and sections.

use std::collections::BTreeMap;

/// A field of the platform's settings file.
#[derive(Debug, Clone)]
pub enum Value {
    Text(String),
    /// A number, or true or false, as it is written.
    Plain(String),
    List(Vec<Value>),
}

/// Fields by their path, such as `bounds.grace-s`.
pub type Fields = BTreeMap<String, Value>;

impl Value {
    fn plain(&self) -> String {
        match self {
            Self::Text(text) | Self::Plain(text) => text.clone(),
            Self::List(values) => values.iter().map(Self::plain).collect::<Vec<_>>().join(","),
        }
    }

    fn json(&self) -> String {
        match self {
            Self::Text(text) => format!("{text:?}"),
            Self::Plain(text) => text.clone(),
            Self::List(values) => format!("[{}]", values.iter().map(Self::json).collect::<Vec<_>>().join(",")),
        }
    }

    fn is_present(&self) -> bool {
        !matches!(self, Self::Plain(text) if text == "false")
    }
}

/// Fills in a template. `entry` is the entry of the section, and whether it is the last one.
pub fn fill(template: &str, fields: &Fields, entry: Option<(&Value, bool)>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        filled.push_str(before);
        let Some((name, after)) = after.split_once("}}") else { break };
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let Some((inside, after)) = rest.split_once(&end) else { break };
            rest = after;
            match fields.get(section) {
                Some(Value::List(values)) => {
                    for (index, value) in values.iter().enumerate() {
                        filled += &fill(inside, fields, Some((value, index + 1 == values.len())));
                    }
                }
                Some(value) if value.is_present() => filled += &fill(inside, fields, entry),
                _ => {}
            }
            continue;
        }
        let (name, is_json) = name.strip_suffix("|json").map_or((name, false), |name| (name, true));
        let value = match (name, entry) {
            (",", Some((_, is_last))) => {
                filled += if is_last { "" } else { "," };
                continue;
            }
            (".", Some((value, _))) => Some(value),
            _ => fields.get(name),
        };
        filled += &value.map(|value| if is_json { value.json() } else { value.plain() }).unwrap_or_default();
    }
    filled + rest
}
