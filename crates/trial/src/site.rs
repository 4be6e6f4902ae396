//! One user's deployment: its example files, with a stand-in in the place of
//! every outside system that they name.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::unix::fs::DirBuilderExt,
    path::{Path, PathBuf},
};

use standin::{
    engine::{self, Engine},
    objects::{self, Limits, Listed, Objects, Role, Standing},
    rating::{self, Rating},
    service::{self, Service},
};
use world::{
    Catalog, catalog,
    contract::Customer,
    endpoint,
    object::{self, Object},
    pool::{Pool, Serves},
};

/// A free port of the loopback address.
pub(crate) const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// File of the operators' key.
const OPERATORS_KEY: &str = "operators";
/// Where the examples' settings look for secrets.
const SECRETS: &str = "/run/secrets/arbutuslug";
/// To an engine's first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 4;
/// Between an engine's tokens, in milliseconds.
const PER_TOKEN_MS: u64 = 1;
/// Age of engines' reports, in milliseconds.
const LAG_MS: u64 = 300;
/// From a submission to its rating, in milliseconds.
const RATING_DELAY_MS: u64 = 200;
/// Share of cache events that are never told.
const LOST_EVENTS: f64 = 0.1;
/// Every third engine follows orders with an old fencing number.
const IGNORES_FENCE: usize = 3;

/// The users whose examples there are.
pub(crate) const NAMES: [&str; 2] = ["tousuvool", "tubig"];

/// Files with the secrets that the settings name; removed in the end.
#[derive(Debug)]
pub(crate) struct Secrets {
    pub(crate) directory: PathBuf,
}

impl Secrets {
    /// Makes random secrets.
    pub(crate) fn create() -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("arbutuslug-trial-{}", uuid::Uuid::new_v4()));
        std::fs::DirBuilder::new().mode(0o700).create(&directory)?;
        let secrets = Self { directory };
        for name in ["peers", OPERATORS_KEY, "sessions"] {
            std::fs::write(secrets.directory.join(name), uuid::Uuid::new_v4().simple().to_string())?;
        }
        Ok(secrets)
    }

    /// The file of the operators' key.
    pub(crate) fn operators(&self) -> PathBuf {
        self.directory.join(OPERATORS_KEY)
    }
}

impl Drop for Secrets {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.directory));
    }
}

/// A site's stand-ins, running.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) name: String,
    pub(crate) catalog: Catalog,
    pub(crate) objects: objects::Handle,
    pub(crate) rating: rating::Handle,
    pub(crate) engines: BTreeMap<endpoint::Id, engine::Handle>,
    pub(crate) services: BTreeMap<endpoint::Id, service::Handle>,
    /// One for each instance, platform and ratings at the stand-ins.
    pub(crate) settings: Vec<settings::Settings>,
}

/// Why a site did not start.
#[derive(Debug)]
pub(crate) enum Error {
    /// A file could not be read or written.
    File(PathBuf, io::Error),
    /// A stand-in could not listen.
    Listen(io::Error),
    /// Objects are not well formed.
    Object(PathBuf, object::Error),
    /// Objects do not fit each other.
    Catalog(PathBuf, Vec<catalog::Fault>),
    /// Settings are not well formed.
    Settings(PathBuf, settings::Error),
    /// An instance did not start.
    Daemon(String),
    /// The objects were not taken.
    Apply(String),
    /// An instance did not answer its operator.
    Operator(operator::Error),
    /// A bill in the object API does not read.
    Bill(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => {
                write!(f, "{}: {error}; run from the repository or name the examples with --examples", path.display())
            }
            Self::Listen(error) => write!(f, "cannot listen on the loopback address: {error}; free some ports"),
            Self::Object(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Catalog(path, faults) => {
                let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
                write!(f, "{}: {}", path.display(), faults.join("; "))
            }
            Self::Settings(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Daemon(message) => write!(f, "an instance did not start: {message}"),
            Self::Apply(error) => write!(f, "the objects were not taken: {error}"),
            Self::Operator(error) => write!(f, "an instance did not answer its operator: {error}"),
            Self::Bill(message) => write!(f, "a bill in the object API does not read: {message}"),
        }
    }
}

impl std::error::Error for Error {}

impl Site {
    /// Starts the stand-ins of the example in `examples`/`name`.
    pub(crate) async fn open(examples: &Path, name: &str, secrets: &Secrets, seed: u64) -> Result<Self, Error> {
        let directory = examples.join(name);
        let path = directory.join("objects.yaml");
        let mut found = Object::parse_file(&read(&path)?).map_err(|error| Error::Object(path.clone(), error))?;
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        for object in &mut found {
            if let Object::Pool(_, pool) = object {
                start_pool(pool, seed, &mut engines, &mut services).await.map_err(Error::Listen)?;
            }
        }
        let catalog = Catalog::build(0, found).map_err(|faults| Error::Catalog(path, faults))?;
        let limits = Limits { seed, ..Limits::default() };
        let objects = Objects::bind(ANY, limits).await.map_err(Error::Listen)?;
        let options = rating::Options { seed, delay_ms: RATING_DELAY_MS, ..rating::Options::default() };
        let rating = Rating::bind(ANY, options).await.map_err(Error::Listen)?;
        let mut settings = Vec::new();
        for path in settings_files(&directory)? {
            let mut one = read_settings(&path, secrets)?;
            one.platform.address = objects.addr();
            one.ratings = Some(rating.addr());
            settings.push(one);
        }
        let site = Self { name: name.into(), catalog, objects, rating, engines, services, settings };
        site.list(&BTreeSet::new());
        Ok(site)
    }

    /// Has the lagging list name everything, some instances as leaving.
    pub(crate) fn list(&self, leaving: &BTreeSet<String>) {
        let instances = self.settings.iter().map(|one| (one.instance.to_string(), Role::Entry));
        let endpoints = self.engines.keys().chain(self.services.keys()).map(|id| (id.to_string(), Role::Endpoint));
        let listed = instances.chain(endpoints).map(|(name, role)| {
            let state = if leaving.contains(&name) { Standing::Leaving } else { Standing::Live };
            Listed { name, role, state }
        });
        self.objects.set_instances(&listed.collect::<Vec<_>>());
    }

    /// The key that the examples' contracts hold the hash of.
    pub(crate) fn key(customer: &Customer) -> String {
        format!("example-{customer}")
    }
}

/// Puts a stand-in in the place of each endpoint of a pool.
async fn start_pool(
    pool: &mut Pool,
    seed: u64,
    engines: &mut BTreeMap<endpoint::Id, engine::Handle>,
    services: &mut BTreeMap<endpoint::Id, service::Handle>,
) -> io::Result<()> {
    for member in &mut pool.endpoints {
        let seed = world::hash::rendezvous(seed, member.name.as_str().as_bytes());
        match &pool.serves {
            Serves::Versions(versions) => {
                let options = engine::Options {
                    versions: versions.iter().map(ToString::to_string).collect(),
                    slots: member.slots as usize,
                    first_token_ms: FIRST_TOKEN_MS,
                    per_token_ms: PER_TOKEN_MS,
                    checks_fence: !engines.len().is_multiple_of(IGNORES_FENCE),
                    lag_ms: LAG_MS,
                    lost_events: LOST_EVENTS,
                    seed,
                    ..engine::Options::default()
                };
                let handle = Engine::bind(ANY, options).await?;
                member.address = handle.addr();
                engines.insert(member.name.clone(), handle);
            }
            Serves::Service(_) => {
                let handle = Service::bind(ANY, seed).await?;
                member.address = handle.addr();
                services.insert(member.name.clone(), handle);
            }
        }
    }
    Ok(())
}

fn settings_files(directory: &Path) -> Result<Vec<PathBuf>, Error> {
    let fault = |error| Error::File(directory.to_owned(), error);
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if name.starts_with("settings-") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads an instance's settings, its secrets from `secrets` and its
/// listeners on free ports of the loopback address.
fn read_settings(path: &Path, secrets: &Secrets) -> Result<settings::Settings, Error> {
    let text = read(path)?.replace(SECRETS, &secrets.directory.to_string_lossy());
    let mut settings = settings::Settings::parse(&text).map_err(|error| Error::Settings(path.to_owned(), error))?;
    let listener = settings::Listener { bind: ANY, advertise: None };
    settings.listeners = settings::Listeners { callers: listener, peers: listener, operators: listener };
    settings.peers.seeds.clear();
    Ok(settings)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))
}
