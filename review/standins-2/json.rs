//! A small JSON reader, enough for the transactions that the system sends to the store.

use std::collections::BTreeMap;

#[derive(Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let end = rest.iter().position(|byte| !b"+-.eE0123456789".contains(byte));
        let text = std::str::from_utf8(&rest[..end.unwrap_or(rest.len())]).ok()?;
        self.at += text.len();
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b'r' => text.push(b'\r'),
                        b't' => text.push(b'\t'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            text.extend_from_slice(letter.encode_utf8(&mut [0; 4]).as_bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(items));
            }
            self.take(b',')?;
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Table(fields));
            }
            self.take(b',')?;
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= part.len() { letter as char } else { '=' });
        }
    }
    text
}
