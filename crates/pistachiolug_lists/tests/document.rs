//! Customers and plans documents: findings with their positions, and the committed JSON schemas.

use std::{env, fs, path::PathBuf};

use pistachiolug_lists::{
    document::{Document, Text},
    fields,
    row::Kind,
};

const DIGEST: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn customers(rows: &str) -> String {
    format!("{{\n// Restaurants and delis.\n\"customers\": [\n{rows}\n]}}")
        .replace("DIGEST", DIGEST)
}

fn plans(plans: &str, models: &str, services: &str) -> String {
    format!(
        "{{\"plans\": [\n{plans}\n],\n\"models\": [\n{models}\n],\n\"services\": [\n{services}\n]}}"
    )
    .replace("DIGEST", DIGEST)
}

const CUSTOMER: &str = r#"{"name": "deli", "plan": "paid", "keys": ["DIGEST"]}"#;
const PLAN: &str = r#"{"name": "paid", "share": 3, "models": ["pasta"], "services": ["booking"]}"#;
const MODEL: &str = r#"{"name": "pasta", "service": "assistant", "version": "v1", "manifest": "DIGEST", "replicas": {"least": 1, "most": 2}}"#;
const SERVICE: &str = r#"{"name": "booking", "idempotent": ["/stock"]}"#;

fn parse(customers: &str, plans: &str) -> Result<Document, Vec<String>> {
    let customers = Text {
        name: "customers.jsonc",
        text: customers,
    };
    let plans = Text {
        name: "plans.jsonc",
        text: plans,
    };
    let render = |findings: Vec<pistachiolug_settings::finding::Finding>| {
        findings.iter().map(ToString::to_string).collect()
    };
    Document::parse(customers, plans).map_err(render)
}

/// Documents with the same rows in another order must not count as a change.
#[test]
fn row_order_in_the_documents_is_irrelevant() {
    let free = r#"{"name": "free", "share": 0, "trial": true},"#;
    let free_first = plans(&format!("{free}{PLAN}"), MODEL, SERVICE);
    let free_last = plans(&format!("{PLAN},{free}"), MODEL, SERVICE);

    let free_first = parse(&customers(CUSTOMER), &free_first).expect("documents are valid");
    let free_last = parse(&customers(CUSTOMER), &free_last).expect("documents are valid");

    assert_eq!(free_first, free_last);
    let kinds: Vec<Kind> = free_first.rows.keys().map(|name| name.kind).collect();
    assert_eq!(
        kinds,
        [
            Kind::Customers,
            Kind::Plans,
            Kind::Plans,
            Kind::Models,
            Kind::Services
        ]
    );
}

/// Every kind of mistake must be reported with the line and column where the operator finds it.
#[test]
fn every_mistake_is_reported_with_its_position() {
    let valid_customers = customers(CUSTOMER);
    let valid_plans = plans(PLAN, MODEL, SERVICE);
    let shared_key = format!("{CUSTOMER},\n{}", CUSTOMER.replace("deli", "hotel"));
    let rows = [
        (
            customers(&CUSTOMER.replace("paid", "gold")),
            valid_plans.clone(),
            "customers.jsonc:4:26: customers[0].plan: no plan `gold`",
        ),
        (
            customers(&shared_key),
            valid_plans.clone(),
            "customers.jsonc:5:44: customers[1].keys[0]: the key digest belongs to customer",
        ),
        (
            customers(&format!("{CUSTOMER},\n{CUSTOMER}")),
            valid_plans.clone(),
            "customers.jsonc:5:10: customers[1].name: customers[0] has the same name",
        ),
        (
            customers(&CUSTOMER.replace("DIGEST", "abc")),
            valid_plans.clone(),
            "customers.jsonc:4:43: customers[0].keys[0]: `abc` is not a digest",
        ),
        (
            customers(&CUSTOMER.replace("\"plan\"", "\"plans\"")),
            valid_plans.clone(),
            "customers.jsonc:4:18: customers[0].plans: is not a known field",
        ),
        (
            valid_customers.clone(),
            plans(&PLAN.replace("pasta", "risotto"), MODEL, SERVICE),
            "plans.jsonc:2:41: plans[0].models[0]: no model `risotto`",
        ),
        (
            valid_customers.clone(),
            plans(&PLAN.replace("booking", "billing"), MODEL, SERVICE),
            "plans.jsonc:2:64: plans[0].services[0]: no service `billing`",
        ),
        (
            valid_customers.clone(),
            plans(&PLAN.replace(": 3", ": 0"), MODEL, SERVICE),
            "plans.jsonc:2:27: plans[0].share: a plan without a share",
        ),
        (
            valid_customers.clone(),
            plans(&PLAN.replace(": 3", ": -3"), MODEL, SERVICE),
            "plans.jsonc:2:27: plans[0].share: `-3` is not a whole number",
        ),
        (
            valid_customers.clone(),
            plans(PLAN, &MODEL.replace("\"most\": 2", "\"most\": 0"), SERVICE),
            "plans.jsonc:5:152: models[0].replicas: `least` is above `most`",
        ),
        (
            valid_customers.clone(),
            plans(PLAN, MODEL, &SERVICE.replace("/stock", "stock")),
            "plans.jsonc:8:36: services[0].idempotent[0]: a path prefix starts with `/`",
        ),
        (valid_customers.clone(), "{".to_owned(), "plans.jsonc:1:1: "),
        (
            String::new(),
            valid_plans.clone(),
            "customers.jsonc:1:1: is not an object",
        ),
    ];
    for (customers, plans, expected) in rows {
        let findings = parse(&customers, &plans).expect_err(expected);

        let found = findings.iter().any(|finding| finding.starts_with(expected));
        assert!(found, "{expected}\nin {findings:#?}");
    }
}

/// An operator must see all findings at once, not first those of one document and then those of the other.
#[test]
fn findings_of_both_documents_are_reported_together() {
    let customers = customers(&CUSTOMER.replace("paid", "gold"));
    let plans = plans(&PLAN.replace(": 3", ": 0"), MODEL, SERVICE);

    let findings = parse(&customers, &plans).expect_err("both documents are invalid");

    assert_eq!(findings.len(), 2, "{findings:#?}");
}

/// Editors would report valid lists as wrong if the committed schemas did not follow the field definitions.
#[test]
fn schemas_are_current() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let schemas = [
        ("schemas/list.customers.json", fields::customers_schema()),
        ("schemas/list.plans.json", fields::plans_schema()),
    ];
    for (path, text) in schemas {
        if env::var_os("UPDATE_SCHEMAS").is_some() {
            fs::write(root.join(path), &text).expect("schema can be written");
        }
        let committed = fs::read_to_string(root.join(path)).unwrap_or_default();
        assert!(
            committed == text,
            "{path} is old; run with UPDATE_SCHEMAS=1"
        );
    }
}

/// Changes, cuts or removes bytes of valid documents, as a bad merge or an interrupted write may do.
#[test]
fn damaged_documents_are_parsed_or_rejected_without_panic() {
    bolero::check!()
        .exhaustive()
        .with_generator(0_u64..3000)
        .cloned()
        .for_each(|seed| {
            let mut plans = plans(PLAN, MODEL, SERVICE).into_bytes();
            let mut customers = customers(CUSTOMER).into_bytes();
            for (step, text) in [(seed, &mut plans), (seed / 7, &mut customers)] {
                let at = (step.wrapping_mul(2_654_435_761) % text.len() as u64) as usize;
                match step % 3 {
                    0 => text[at] = (step % 127) as u8,
                    1 => text.truncate(at),
                    _ => drop(text.remove(at)),
                }
            }
            let plans = String::from_utf8_lossy(&plans);
            let customers = String::from_utf8_lossy(&customers);

            if let Err(findings) = parse(&customers, &plans) {
                assert!(!findings.is_empty());
            }
        });
}
