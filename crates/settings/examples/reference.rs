//! Prints the settings reference.

fn main() {
    print!("{}", cactusnotch_settings::reference::markdown());
}
