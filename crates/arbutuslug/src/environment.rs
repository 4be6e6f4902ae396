//! What the tool takes from its environment.

/// Variables the tool reads.
#[derive(Clone, Default)]
pub struct Environment {
    /// `ARBUTUSLUG_ADDRESS`: instances, parted by commas.
    pub address: Option<String>,
    /// `ARBUTUSLUG_KEY`: the operators' key.
    pub key: Option<String>,
    /// `ARBUTUSLUG_KEY_FILE`: a file that holds it.
    pub key_file: Option<String>,
    /// `ARBUTUSLUG_AUTHOR` or `USER`: who changes, for the history.
    pub author: Option<String>,
}

impl Environment {
    /// Reads the process's environment.
    #[must_use]
    pub fn read() -> Self {
        let var = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self {
            address: var("ARBUTUSLUG_ADDRESS"),
            key: var("ARBUTUSLUG_KEY"),
            key_file: var("ARBUTUSLUG_KEY_FILE"),
            author: var("ARBUTUSLUG_AUTHOR").or_else(|| var("USER")),
        }
    }
}

impl std::fmt::Debug for Environment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Environment").field("address", &self.address).finish_non_exhaustive()
    }
}
