//! Converts the sections of the operators' configuration text into [`ServiceConfig`]s.

use std::{collections::HashMap, ops::RangeInclusive, time::Duration};

use fulmarweir_base::ServiceName;

use crate::{
    compiled_config::{AnswerPreference, ServiceConfig, ServiceKind},
    fault::{ConfigFault, FaultList, FaultReason},
    ini::IniSection,
    reader::{SectionReader, push_duplicate_section},
    value::{self, expected, list, name, number},
};

/// Maximum number of services in one text.
pub const SERVICES_MAX: usize = 10_000;

const DEPENDS_MAX: usize = 256;
const DEADLINE_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const SLOTS_RANGE: RangeInclusive<u32> = 1..=100_000;
const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=100_000;
const CONNECT_RANGE_MS: RangeInclusive<f64> = 0.0..=60_000.0;

const EXTRA_LOAD_DEFAULT: f64 = 0.05;
const SLOTS_DEFAULT: u32 = 3;
const CONNECTIONS_DEFAULT: u32 = 30;
const CONNECT_DEFAULT_MS: f64 = 6.0;
const MS_PER_SECOND: f64 = 1000.0;

/// A service whose dependencies are not checked yet.
pub(crate) struct ServiceDraft {
    /// The service.
    pub(crate) service_config: ServiceConfig,
    /// Line of the key `depends`, or of the section header if the key is missing.
    pub(crate) depends_line: u32,
}

/// Reads all sections.
///
/// A section with faults is part of the result unless its name is invalid or repeated, so that
/// dependencies on its service are not reported as unknown.
pub(crate) fn read_services(
    sections: &[IniSection<'_>],
    faults: &mut FaultList,
) -> Vec<ServiceDraft> {
    if sections.len() > SERVICES_MAX {
        let expected = format!("at most {SERVICES_MAX} services");
        let fault = ConfigFault::new(FaultReason::TooLarge, expected);
        faults.push(fault.found(&format!("{} sections", sections.len())));
        return Vec::new();
    }
    let mut drafts = Vec::new();
    let mut lines: HashMap<ServiceName, u32> = HashMap::new();
    for section in sections {
        let Some(service) = service_name(section, faults) else {
            continue;
        };
        if let Some(first_line) = lines.insert(service.clone(), section.line) {
            push_duplicate_section(section, first_line, faults);
            continue;
        }
        drafts.push(read_service(service, section, faults));
    }
    drafts
}

fn service_name(section: &IniSection<'_>, faults: &mut FaultList) -> Option<ServiceName> {
    let words = section.name.split_once([' ', '\t']);
    let Some(("service", text)) = words else {
        let fault = ConfigFault::new(FaultReason::UnknownSection, "[service NAME]");
        faults.push(fault.at(section.line).section(section.name));
        return None;
    };
    match name(text.trim()) {
        Ok(service) => Some(service),
        Err(expectation) => {
            let fault = ConfigFault::new(FaultReason::BadValue, expectation.0);
            let fault = fault.at(section.line).section(section.name);
            faults.push(fault.found(text.trim()));
            None
        }
    }
}

/// Reads one section.
///
/// An invalid value is replaced by a default, which never takes effect because the fault makes the
/// whole text invalid.
fn read_service(
    service: ServiceName,
    section: &IniSection<'_>,
    faults: &mut FaultList,
) -> ServiceDraft {
    let mut reader = SectionReader::new(section, faults);
    let depends = reader.or_default("depends", Vec::new(), |v| list(v, DEPENDS_MAX, name));
    let kind = reader.required("kind", service_kind);
    let prefer = reader.or_default("prefer", AnswerPreference::Latency, answer_preference);
    let deadline = read_deadline(&mut reader);
    let soft_deadline = read_soft_deadline(&mut reader, deadline);
    let coverage_min = reader.or_default("min-coverage", 0.0, share);
    let extra_load = reader.or_default("extra-load", EXTRA_LOAD_DEFAULT, share);
    let slots = reader.or_default("slots", SLOTS_DEFAULT, |v| number(v, &SLOTS_RANGE));
    let connections = reader.or_default("connections", CONNECTIONS_DEFAULT, |value| {
        number(value, &CONNECTIONS_RANGE)
    });
    let connect_ms = reader.or_default("connect-ms", CONNECT_DEFAULT_MS, |value| {
        number(value, &CONNECT_RANGE_MS)
    });
    let depends_line = reader.line("depends");
    reader.finish();
    let service_config = ServiceConfig {
        name: service,
        depends,
        kind: kind.unwrap_or(ServiceKind::Act),
        prefer,
        deadline: deadline.unwrap_or_default(),
        soft_deadline,
        coverage_min,
        extra_load,
        slots,
        connections,
        connect_time: Duration::from_secs_f64(connect_ms / MS_PER_SECOND),
    };
    ServiceDraft {
        service_config,
        depends_line,
    }
}

fn read_deadline(reader: &mut SectionReader<'_, '_>) -> Option<Duration> {
    let deadline_ms = reader.required("deadline-ms", |v| number(v, &DEADLINE_RANGE_MS));
    deadline_ms.map(Duration::from_millis)
}

/// Reads the soft deadline, which is the deadline itself if the key is missing.
fn read_soft_deadline(reader: &mut SectionReader<'_, '_>, deadline: Option<Duration>) -> Duration {
    let soft_ms = reader.optional("soft-deadline-ms", |v| number(v, &DEADLINE_RANGE_MS));
    let soft_deadline = soft_ms.map(Duration::from_millis);
    if let (Some(soft), Some(hard)) = (soft_deadline, deadline)
        && soft > hard
    {
        reader.conflict("soft-deadline-ms", "a time no longer than deadline-ms");
    }
    soft_deadline.or(deadline).unwrap_or_default()
}

fn service_kind(value: &str) -> value::Result<ServiceKind> {
    match value {
        "search" => Ok(ServiceKind::Search),
        "act" => Ok(ServiceKind::Act),
        _ => Err(expected("search or act")),
    }
}

fn answer_preference(value: &str) -> value::Result<AnswerPreference> {
    match value {
        "latency" => Ok(AnswerPreference::Latency),
        "coverage" => Ok(AnswerPreference::Coverage),
        _ => Err(expected("latency or coverage")),
    }
}

fn share(value: &str) -> value::Result<f64> {
    number(value, &SHARE_RANGE)
}
