//! Cases of a review: starts the project's programs beside stand-ins, makes one disruption, and
//! checks one rule by what callers, workers and the platform see.
//!
//! `stand CASE RECORD` runs one case from the root of the repository. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod abandoned;
mod batch;
mod bodies;
mod channels;
mod http;
mod json;
mod record;
mod store;
mod vm;
mod worker;

use std::{
    env, fs,
    io::{self, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::Duration,
};

use json::{Json, object};
use record::Record;
use store::Store;
use vm::Vm;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Parts that every case has.
pub struct Bed {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub has_trouble: bool,
    store_address: SocketAddr,
    folder: PathBuf,
    vms: Vec<Arc<Vm>>,
    hosts: u8,
}

impl Bed {
    fn new(record: &Path) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("filbertsail-case-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let store_address = vm::free_address(address(1))?;
        Ok(Self {
            record: Arc::new(Record::create(record)?),
            store: Store::start(store_address)?,
            has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
            store_address,
            folder,
            vms: Vec::new(),
            hosts: 1,
        })
    }

    /// Address of a further stand-in or machine.
    pub fn next_ip(&mut self) -> IpAddr {
        self.hosts += 1;
        address(self.hosts)
    }

    /// Starts `count` machines and waits until they are ready.
    pub fn start_vms(&mut self, count: usize, memory_mb: u64) -> io::Result<Vec<Arc<Vm>>> {
        for number in 1..=count {
            let ip = self.next_ip();
            let name = format!("front-tampere-a-{number}");
            let vm =
                Vm::start(&name, ip, self.store_address, memory_mb, &self.folder, &self.record)?;
            self.vms.push(vm);
        }
        for vm in &self.vms {
            vm.wait_until_ready()?;
            self.record.add("machine ready", &vm.name, &vm.front.to_string());
        }
        Ok(self.vms.clone())
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        for vm in &self.vms {
            vm.remove();
        }
        // Without it only the logs of the processes stay behind.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Loopback address of this run.
fn address(host: u8) -> IpAddr {
    let run = process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (run >> 8 & 63) as u8, run as u8, host))
}

/// Route of a configuration.
pub fn route(name: &str, kind: &str, service: &str, further: &[(&str, Json)]) -> Json {
    let mut fields = vec![
        ("name".to_owned(), name.into()),
        ("host".to_owned(), HOST.into()),
        ("prefix".to_owned(), format!("/{name}/").into()),
        ("kind".to_owned(), kind.into()),
        ("service".to_owned(), service.into()),
        ("target_latency_ms".to_owned(), 400.into()),
    ];
    fields.extend(further.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
    Json::Object(fields)
}

/// Configuration with the limits and services of a small deployment.
pub fn config(routes: Vec<Json>) -> Json {
    let service = |name: &str, connection_limit: u64, engine: Json| {
        object([
            ("name", name.into()),
            ("health_path", "/health".into()),
            ("connection_limit", connection_limit.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("engine", engine),
        ])
    };
    let engine = object([
        ("slots", 16.into()),
        ("kv_cache_tokens", 42_980.into()),
        ("stride", 61.into()),
        ("models", vec![object([("name", "lm".into())])].into()),
    ]);
    let limits = object([
        ("max_header_bytes", 16_384.into()),
        ("max_body_bytes", 33_554_432.into()),
        ("header_timeout_ms", 3_000.into()),
        ("idle_timeout_ms", 15_000.into()),
    ]);
    let services =
        vec![service("kettle-models", 160, engine), service("kauppa-app", 96, Json::Null)];
    object([
        ("version", 1.into()),
        ("routes", routes.into()),
        ("services", services.into()),
        ("limits", limits),
    ])
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        process::exit(2);
    };
    let run: fn(&mut Bed) -> io::Result<bool> = match case.as_str() {
        "abandoned" => abandoned::run,
        "bodies" => bodies::run,
        "channels" => channels::run,
        _ => {
            eprintln!("unknown case {case}");
            process::exit(2);
        }
    };
    let mut bed = match Bed::new(Path::new(record)) {
        Ok(bed) => bed,
        Err(error) => {
            eprintln!("cannot start: {error}");
            process::exit(2);
        }
    };
    let (vms, log) = (bed.folder.clone(), Arc::clone(&bed.record));
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        log.add("given up", "time limit", "");
        vm::kill_all();
        let _ = fs::remove_dir_all(vms);
        process::exit(2);
    });
    let verdict = run(&mut bed);
    let (text, code) = match &verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    bed.record.add("verdict", &text, "");
    println!("{text}");
    let _ = io::stdout().flush();
    drop(bed);
    process::exit(code);
}
