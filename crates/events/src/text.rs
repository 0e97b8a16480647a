//! Checks that bytes are UTF-8, wherever they are cut.

/// The most bytes of a character.
const CHARACTER_MAX: usize = 4;

/// The bytes of a character that has not arrived completely.
#[derive(Debug, Default)]
pub(crate) struct Text {
    partial: [u8; CHARACTER_MAX],
    held: usize,
}

impl Text {
    /// Returns how many of the next bytes belong to UTF-8.
    pub(crate) fn valid(&mut self, data: &[u8]) -> usize {
        let mut at = 0;
        while self.held > 0 {
            let Some(&byte) = data.get(at) else {
                return at;
            };
            self.partial[self.held] = byte;
            match std::str::from_utf8(&self.partial[..=self.held]) {
                Ok(_) => self.held = 0,
                Err(error) if error.error_len().is_none() => self.held += 1,
                Err(_) => return at,
            }
            at += 1;
        }
        match std::str::from_utf8(&data[at..]) {
            Ok(_) => data.len(),
            Err(error) if error.error_len().is_none() => {
                let rest = &data[at + error.valid_up_to()..];
                self.partial[..rest.len()].copy_from_slice(rest);
                self.held = rest.len();
                data.len()
            }
            Err(error) => at + error.valid_up_to(),
        }
    }
}
