//! Answers with statuses that end no request.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use pistachiolug_http::client::{Client, Error};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against callers of other processes and services that take what is no answer for one.
#[tokio::test]
async fn a_status_that_ends_no_request_is_an_error() {
    for (status, is_answer) in [
        ("000", false),
        ("101", false),
        ("199", false),
        ("200", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await.unwrap();
            let answer = format!("HTTP/1.1 {status} -\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await.unwrap();
        });
        let request = Request::get(format!("http://{address}/")).body(Bytes::new());

        let response = Client::new(0).fetch(request.unwrap(), 100, TIMEOUT).await;

        assert_eq!(response.is_ok(), is_answer, "{status}: {response:?}");
        let is_unsent = response.is_err_and(|error: Error| error.is_unsent());
        assert!(!is_unsent, "{status}");
        serving.await.unwrap();
    }
}
