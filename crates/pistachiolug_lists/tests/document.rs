//! The two documents: findings with their places, and the committed schemas.

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
    let shown = |findings: Vec<pistachiolug_settings::finding::Finding>| {
        findings.iter().map(ToString::to_string).collect()
    };
    Document::parse(customers, plans).map_err(shown)
}

#[test]
fn good_lists_give_their_rows_in_any_order() {
    let other = r#"{"name": "free", "share": 0, "trial": true},"#;
    let one = plans(&format!("{other}{PLAN}"), MODEL, SERVICE);
    let two = plans(&format!("{PLAN},{other}"), MODEL, SERVICE);

    let one = parse(&customers(CUSTOMER), &one).expect("lists are good");
    let two = parse(&customers(CUSTOMER), &two).expect("lists are good");

    assert_eq!(one, two);
    let kinds: Vec<Kind> = one.rows.keys().map(|name| name.kind).collect();
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

#[test]
fn every_fault_is_found_with_its_place() {
    let good_customers = customers(CUSTOMER);
    let good_plans = plans(PLAN, MODEL, SERVICE);
    let twice = format!("{CUSTOMER},\n{}", CUSTOMER.replace("deli", "hotel"));
    let rows = [
        (
            customers(&CUSTOMER.replace("paid", "gold")),
            good_plans.clone(),
            "customers.jsonc:4:26: customers[0].plan: no plan `gold`",
        ),
        (
            customers(&twice),
            good_plans.clone(),
            "customers.jsonc:5:44: customers[1].keys[0]: the key digest belongs to customer",
        ),
        (
            customers(&format!("{CUSTOMER},\n{CUSTOMER}")),
            good_plans.clone(),
            "customers.jsonc:5:10: customers[1].name: customers[0] has the same name",
        ),
        (
            customers(&CUSTOMER.replace("DIGEST", "abc")),
            good_plans.clone(),
            "customers.jsonc:4:43: customers[0].keys[0]: `abc` is no digest",
        ),
        (
            customers(&CUSTOMER.replace("\"plan\"", "\"plans\"")),
            good_plans.clone(),
            "customers.jsonc:4:18: customers[0].plans: is no known field",
        ),
        (
            good_customers.clone(),
            plans(&PLAN.replace("pasta", "risotto"), MODEL, SERVICE),
            "plans.jsonc:2:41: plans[0].models[0]: no model `risotto`",
        ),
        (
            good_customers.clone(),
            plans(&PLAN.replace("booking", "billing"), MODEL, SERVICE),
            "plans.jsonc:2:64: plans[0].services[0]: no service `billing`",
        ),
        (
            good_customers.clone(),
            plans(&PLAN.replace(": 3", ": 0"), MODEL, SERVICE),
            "plans.jsonc:2:27: plans[0].share: a plan without a share",
        ),
        (
            good_customers.clone(),
            plans(&PLAN.replace(": 3", ": -3"), MODEL, SERVICE),
            "plans.jsonc:2:27: plans[0].share: `-3` is no whole number",
        ),
        (
            good_customers.clone(),
            plans(PLAN, &MODEL.replace("\"most\": 2", "\"most\": 0"), SERVICE),
            "plans.jsonc:5:152: models[0].replicas: `least` is above `most`",
        ),
        (
            good_customers.clone(),
            plans(PLAN, MODEL, &SERVICE.replace("/stock", "stock")),
            "plans.jsonc:8:36: services[0].idempotent[0]: a path prefix starts with `/`",
        ),
        (good_customers.clone(), "{".to_owned(), "plans.jsonc:1:1: "),
        (
            String::new(),
            good_plans.clone(),
            "customers.jsonc:1:1: is no object",
        ),
    ];
    for (customers, plans, expected) in rows {
        let findings = parse(&customers, &plans).expect_err(expected);

        let found = findings.iter().any(|finding| finding.starts_with(expected));
        assert!(found, "{expected}\nin {findings:#?}");
    }
}

#[test]
fn findings_of_both_lists_come_together() {
    let customers = customers(&CUSTOMER.replace("paid", "gold"));
    let plans = plans(&PLAN.replace(": 3", ": 0"), MODEL, SERVICE);

    let findings = parse(&customers, &plans).expect_err("both are wrong");

    assert_eq!(findings.len(), 2, "{findings:#?}");
}

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

#[test]
fn any_text_is_read_or_refused_without_panic() {
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
