//! The platform's messages: RESP2 arrays of bulk strings.

pub fn array(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).bytes());
    }
    bytes
}

/// Takes one complete message from the front of the buffer. An error is a stream that cannot be read.
pub fn take(buffer: &mut Vec<u8>) -> Result<Option<Vec<String>>, String> {
    let mut at = 0;
    let line = |at: &mut usize, kind: u8| -> Result<Option<usize>, String> {
        let rest = &buffer[*at..];
        let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else { return Ok(None) };
        if rest[0] != kind {
            return Err(format!("byte {:?} in place of {:?}", rest[0] as char, kind as char));
        }
        let number = std::str::from_utf8(&rest[1..end]).ok().and_then(|text| text.parse().ok());
        *at += end + 2;
        number.map(Some).ok_or("no number".into())
    };
    let Some(count) = line(&mut at, b'*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count {
        let Some(length) = line(&mut at, b'$')? else { return Ok(None) };
        if buffer.len() < at + length + 2 {
            return Ok(None);
        }
        words.push(String::from_utf8_lossy(&buffer[at..at + length]).into_owned());
        at += length + 2;
    }
    buffer.drain(..at);
    Ok(Some(words))
}
