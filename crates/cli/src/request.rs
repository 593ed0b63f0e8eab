//! The commands `search` and `act`.

use fulmarweir_base::ServiceName;
use http::{HeaderName, Method, header::CONTENT_TYPE};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;

use crate::{
    answers::{SearchAnswer, cell_text, read_answer},
    call::{CallKind, VmCall},
    failure::{Result, ToolError},
    fallback::VmList,
    flags::{Act, Search},
    report::{CommandReport, TextTable},
};

const EMPTY_BODY: &str = "{}";
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const MIN_VERSION_HEADER: HeaderName = HeaderName::from_static("fulmarweir-min-version");

/// Runs `search`.
pub(crate) async fn search(vms: &VmList, flags: &Search) -> Result<CommandReport> {
    let mut query = QueryString::default();
    query.add("key", flags.key.as_deref());
    let limit = flags.limit.map(|limit| limit.to_string());
    query.add("limit", limit.as_deref());
    let path = request_path("search", &flags.service, &query);
    let mut call = json_call(path, CallKind::Search, flags.body.as_deref())?;
    if let Some(version) = flags.min_version {
        call = call.header(MIN_VERSION_HEADER, &version.to_string())?;
    }
    let json = vms.call(&call).await?.json(&call)?;
    Ok(CommandReport::new(search_text(&read_answer(&json)), json))
}

/// Runs `act`.
pub(crate) async fn act(vms: &VmList, flags: &Act) -> Result<CommandReport> {
    let mut query = QueryString::default();
    query.add("key", Some(&flags.key));
    let path = request_path("act", &flags.service, &query);
    let body = flags.body.as_deref();
    let call = match &flags.idempotency_key {
        Some(id) => json_call(path, CallKind::Keyed, body)?.header(IDEMPOTENCY_KEY_HEADER, id)?,
        None => json_call(path, CallKind::Unkeyed, body)?,
    };
    let json = vms.call(&call).await?.json(&call)?;
    Ok(CommandReport::new(format!("{json:#}"), json))
}

/// The query of a URI, with its question mark.
#[derive(Default)]
struct QueryString(String);

impl QueryString {
    fn add(&mut self, name: &str, value: Option<&str>) {
        let Some(value) = value else {
            return;
        };
        self.0.push(if self.0.is_empty() { '?' } else { '&' });
        self.0 += name;
        self.0.push('=');
        self.0.extend(utf8_percent_encode(value, NON_ALPHANUMERIC));
    }
}

fn request_path(verb: &str, service: &ServiceName, query: &QueryString) -> String {
    format!("/v1/{verb}/{service}{}", query.0)
}

fn json_call(path: String, kind: CallKind, body: Option<&str>) -> Result<VmCall> {
    let body = body.unwrap_or(EMPTY_BODY);
    if let Err(error) = serde_json::from_str::<Value>(body) {
        let message = format!("--body is not JSON: {error}");
        return Err(ToolError::BadUsage(message));
    }
    let mut call = VmCall::new(Method::POST, path, kind);
    call.body = body.to_owned().into();
    call.sends_deadline = true;
    call.header(CONTENT_TYPE, "application/json")
}

fn search_text(answer: &SearchAnswer) -> String {
    let mut table = TextTable::new(&["id", "score", "fields"]);
    for hit in &answer.hits {
        table.add_row([
            field_text(hit, "id"),
            field_text(hit, "score"),
            other_fields_text(hit),
        ]);
    }
    let coverage = &answer.coverage;
    let missing: Vec<String> = coverage.missing.iter().map(ToString::to_string).collect();
    let mut line = format!(
        "index version {}, coverage {}/{}",
        cell_text(answer.version.as_ref()),
        cell_text(coverage.answered.as_ref()),
        cell_text(coverage.shards.as_ref()),
    );
    if !missing.is_empty() {
        line += ", missing shards ";
        line += &missing.join(", ");
    }
    format!("{table}\n{line}")
}

fn field_text(hit: &Value, name: &str) -> String {
    match hit.get(name) {
        None => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

/// Formats the fields of a hit other than `id` and `score`.
fn other_fields_text(hit: &Value) -> String {
    let Some(fields) = hit.as_object() else {
        return hit.to_string();
    };
    let rest = fields
        .iter()
        .filter(|(name, _)| *name != "id" && *name != "score");
    let pairs: Vec<String> = rest
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    pairs.join(" ")
}
