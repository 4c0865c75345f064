//! What the head of an answer says of the form of its body.
//!
//! A resumed stream keeps the head of its first answer, so that another answer can go on with it
//! only in the same form.

use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderName};

/// Media type and encoding of a body, in lower case; empty if the head names none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamForm {
    media_type: String,
    encoding: String,
}

impl StreamForm {
    /// Decodes the form from the headers of an answer, without the parameters of the media type.
    pub fn decode(headers: &HeaderMap) -> StreamForm {
        let content_type = text(headers, &CONTENT_TYPE);
        let media_type = content_type.split(';').next().unwrap_or_default().trim().to_owned();
        StreamForm { media_type, encoding: text(headers, &CONTENT_ENCODING) }
    }
}

/// Returns all values of a header.
fn text(headers: &HeaderMap, name: &HeaderName) -> String {
    let values = headers.get_all(name).iter();
    let values: Vec<_> = values.map(|value| String::from_utf8_lossy(value.as_bytes())).collect();
    values.join(",").to_ascii_lowercase()
}
