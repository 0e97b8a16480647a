//! The region of each data centre.

use cactusnotch_base::{Table, name};
use cactusnotch_derive::record;

/// The region of each data centre.
#[record]
#[derive(Default)]
pub struct Regions {
    by_data_centre: Table<String, String>,
}

impl Regions {
    /// Returns whether a data centre is in any of `regions`; a data centre without a
    /// known region is in none.
    #[must_use]
    pub fn any_contains<S: AsRef<str>>(&self, regions: &[S], data_centre: &str) -> bool {
        let region = self.by_data_centre.get(data_centre);
        region.is_some_and(|region| regions.iter().any(|allowed| allowed.as_ref() == region))
    }

    /// Returns the data centres in any of `regions`.
    #[must_use]
    pub fn data_centres<S: AsRef<str>>(&self, regions: &[S]) -> Vec<name::DataCentre> {
        let names = self.by_data_centre.keys();
        let allowed = names.filter(|data_centre| self.any_contains(regions, data_centre));
        allowed
            .map(|data_centre| name::DataCentre::new(data_centre.clone()))
            .collect()
    }
}

impl FromIterator<(String, String)> for Regions {
    /// Collects data centres with their regions.
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        let mut by_data_centre = Table::new();
        for (data_centre, region) in pairs {
            by_data_centre.insert(data_centre, region);
        }
        Self { by_data_centre }
    }
}
