//! Reads the few JSON bodies that the store gets.

/// JSON value; `Null` also stands for true and false, which no body here depends on.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of a table; `Null` if there is none.
    pub fn field(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map_or(NULL, |f| &f.1),
            _ => NULL,
        }
    }

    /// Returns a text, empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number, 0 if it is none.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the items of a list.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut parser = Parser { rest: text };
    parser.value()
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> bool {
        self.skip();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        if ["null", "true", "false"].iter().any(|word| self.take(word)) {
            return Some(Json::Null);
        }
        if self.take("[") {
            let mut items = Vec::new();
            while !self.take("]") {
                items.push(self.value()?);
                self.take(",");
            }
            return Some(Json::List(items));
        }
        if self.take("{") {
            let mut fields = Vec::new();
            while !self.take("}") {
                self.skip();
                let key = self.string()?;
                self.take(":").then_some(())?;
                fields.push((key, self.value()?));
                self.take(",");
            }
            return Some(Json::Table(fields));
        }
        self.skip();
        if self.rest.starts_with('"') {
            return self.string().map(Json::Text);
        }
        let is_part = |char: char| char.is_ascii_digit() || "+-.eE".contains(char);
        let end = self.rest.find(|char| !is_part(char)).unwrap_or(self.rest.len());
        let (number, rest) = self.rest.split_at(end);
        self.rest = rest;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        let mut chars = self.rest.char_indices();
        chars.next().filter(|(_, char)| *char == '"')?;
        let mut text = String::new();
        while let Some((at, char)) = chars.next() {
            match char {
                '"' => {
                    self.rest = &self.rest[at + 1..];
                    return Some(text);
                }
                '\\' => text.push(match chars.next()?.1 {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    other => other,
                }),
                other => text.push(other),
            }
        }
        None
    }
}

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for at in 0..3 {
            number = number << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
