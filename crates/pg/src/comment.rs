//! The comment at the head of a statement, which holds the fields of a request.

/// The most fields that a comment may have. The protocol names seven; a deployment may add some of its own.
pub const MAX_COMMENT_FIELDS: usize = 32;

/// The most characters of a value that an error shows.
const MAX_SHOWN: usize = 40;

/// The fields of a comment, each name once, and the text behind it.
///
/// ```
/// use juniperdock_pg::Comment;
///
/// let comment = Comment::parse("/* id=9b,c=basket,d=480 */ SELECT 1").unwrap();
/// assert_eq!((comment.field("c"), comment.field("k")), (Some("basket"), None));
/// assert_eq!((comment.number("d"), comment.rest()), (Ok(480), " SELECT 1"));
/// assert!(comment.number("c").is_err() && comment.required("cluster").is_err());
/// for unsound in ["/* id=9b", "/* id=9b */", "/* id=9b,id=9c */ SELECT 1", "/* id */ SELECT 1"] {
///     assert!(Comment::parse(unsound).is_err(), "{unsound}");
/// }
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    fields: Vec<(&'a str, &'a str)>,
    rest: &'a str,
}

impl<'a> Comment<'a> {
    /// Parses the comment at the head of a statement.
    ///
    /// # Errors
    /// If there is none, if it can be read in more than one way, or if nothing follows it.
    pub fn parse(statement: &'a str) -> Result<Comment<'a>, String> {
        let (inside, rest) = statement
            .trim_start()
            .strip_prefix("/*")
            .ok_or("expected a statement that starts with a comment")?
            .split_once("*/")
            .ok_or("expected the end of the comment")?;
        let mut fields: Vec<(&str, &str)> = Vec::new();
        for part in inside.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| format!("expected name=value in the comment, found {}", shown(part)))?;
            if fields.iter().any(|(other, _)| *other == name) {
                return Err(format!("expected {} once in the comment", shown(name)));
            }
            if fields.len() == MAX_COMMENT_FIELDS {
                return Err(format!("expected at most {MAX_COMMENT_FIELDS} fields in the comment"));
            }
            fields.push((name, value));
        }
        if rest.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            return Err("expected a statement behind the comment".to_owned());
        }
        Ok(Comment { fields, rest })
    }

    /// The text behind the comment.
    pub fn rest(&self) -> &'a str {
        self.rest
    }

    /// The value of a field, which may be empty.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|field| field.0 == name).map(|field| field.1)
    }

    /// The value of a field that must be there.
    ///
    /// # Errors
    /// If it is missing or empty.
    pub fn required(&self, name: &str) -> Result<&'a str, String> {
        let value = self.field(name).filter(|value| !value.is_empty());
        value.ok_or_else(|| format!("expected {name} in the comment"))
    }

    /// The value of a field that must be there and consist of decimal digits.
    ///
    /// # Errors
    /// If it is missing, or no such number.
    pub fn number(&self, name: &str) -> Result<u64, String> {
        let text = self.required(name)?;
        let digits = Some(text).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        digits
            .and_then(|digits| digits.parse().ok())
            .ok_or_else(|| format!("expected a number in {name}, found {}", shown(text)))
    }
}

/// The start of a value, for an error.
pub fn shown(value: &str) -> String {
    let cut: String = value.chars().take(MAX_SHOWN).collect();
    let more = if cut.len() < value.len() { "..." } else { "" };
    format!("{cut:?}{more}")
}
