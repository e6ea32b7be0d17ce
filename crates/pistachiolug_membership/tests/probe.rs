//! Probes of excluded instances against processes with given state dumps.

use std::{net::SocketAddr, time::Duration};

use http::Response;
use pistachiolug_http::{
    body::Body,
    limit::Limit,
    secret::Secret,
    server::{Handler, Reply, Request, Server},
};
use pistachiolug_kernel::timer::Timer;
use pistachiolug_membership::{exclusion::Cause, probe, view::View};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use tokio::{sync::mpsc, time::sleep};

/// Process that always answers with the same state dump and reports each probe.
#[derive(Clone)]
struct Process {
    state: &'static str,
    probes: mpsc::UnboundedSender<()>,
}

impl Handler for Process {
    async fn handle(&self, request: Request) -> Reply {
        assert_eq!(request.uri().path(), "/debug/state");
        // The receiver is gone if the test has ended.
        let _ = self.probes.send(());
        Response::new(Body::from(self.state))
    }
}

/// Returns a view that lists one agent at `address`.
fn view(address: SocketAddr) -> View {
    let place = Place {
        region: "gauteng".to_owned(),
        zone: "midrand".to_owned(),
    };
    let instance = Instance {
        name: "a".to_owned(),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address,
        place,
        state: State::Live,
    };
    let view = View::default();
    view.replace(Snapshot {
        version: 1,
        instances: vec![instance],
    });
    view
}

/// Guards against calls to a process that can't take them: one that is still leaving, or another instance that has got
/// the address.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_running_process_of_the_instance_is_readmitted() {
    let rows = [
        ("running", r#"{"instance":"a","phase":"running"}"#, true),
        ("draining", r#"{"instance":"a","phase":"draining"}"#, false),
        (
            "another instance",
            r#"{"instance":"b","phase":"running"}"#,
            false,
        ),
        ("not a state dump", "ok", false),
    ];
    for (case, state, is_readmitted) in rows {
        let (probes, mut received_probes) = mpsc::unbounded_channel();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = Process { state, probes };
        let server = Server::bind(loopback, 1, Limit::default(), process).expect("a port is free");
        let view = view(server.address());
        view.exclude("a", Cause::Left);
        let timer = Timer::default();
        tokio::spawn(timer.clone().run());
        let prober = tokio::spawn(probe::run(view.clone(), timer, Secret::new("secret")));

        received_probes
            .recv()
            .await
            .expect("the instance is probed");
        if is_readmitted {
            while view.cause("a").is_some() {
                sleep(Duration::from_millis(5)).await;
            }
        } else {
            // The second probe starts after the first one was answered or has timed out.
            received_probes
                .recv()
                .await
                .expect("the instance is probed again");
        }

        assert_eq!(
            view.agents("assistant").len(),
            usize::from(is_readmitted),
            "{case}"
        );
        prober.abort();
        server.stop();
    }
}
