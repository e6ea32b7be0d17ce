//! The little JSON and Base64 that the store's calls need.

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields
                .iter()
                .find(|(known, _)| known == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        index: 0,
    };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    index: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self
            .bytes
            .get(self.index)
            .is_some_and(u8::is_ascii_whitespace)
        {
            self.index += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let taken = self.bytes.get(self.index) == Some(&byte);
        self.index += usize::from(taken);
        taken
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let taken = self.bytes[self.index..].starts_with(word.as_bytes());
        self.index += word.len();
        taken.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match self.bytes.get(self.index)? {
            b'{' => {
                self.index += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.take(b',');
                    let name = self.string()?;
                    self.take(b':').then_some(())?;
                    fields.push((name, self.value()?));
                }
                Some(Value::Table(fields))
            }
            b'[' => {
                self.index += 1;
                let mut values = Vec::new();
                while !self.take(b']') {
                    self.take(b',');
                    values.push(self.value()?);
                }
                Some(Value::List(values))
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.index;
                while self
                    .bytes
                    .get(self.index)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.index += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.index]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"').then_some(())?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.index)?;
            self.index += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.index)?;
                    self.index += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.index..self.index + 4)?)
                                    .ok()?;
                            self.index += 4;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text_of = char::from_u32(code)?.encode_utf8(&mut buffer);
                            text.extend_from_slice(text_of.as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(
                    ALPHABET[(bits >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = ALPHABET.iter().position(|known| *known == byte)?;
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(bytes)
}
