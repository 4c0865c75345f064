//! The modules of direct delivery use each other without a circle.

use std::fs;
use std::path::Path;

/// Module and the modules beside it that it uses.
struct Module {
    name: String,
    uses: Vec<String>,
}

/// Returns the modules that a source imports from the module above it.
fn imports(source: &str) -> Vec<String> {
    let is_name = |char: char| char.is_ascii_lowercase() || char == '_';
    let imports = source.split("\nuse super::").skip(1);
    let lists = imports.map(|import| {
        let import = import.split(';').next().unwrap_or_default();
        match import.strip_prefix('{') {
            Some(list) => list.split(',').collect(),
            None => vec![import],
        }
    });
    let names = lists.flatten().map(|item| item.trim().split(|char| !is_name(char)).next());
    names.flatten().filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

#[test]
fn no_module_of_direct_delivery_uses_itself_through_others() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/direct");
    let mut modules: Vec<Module> = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        modules.push(Module { name, uses: imports(&fs::read_to_string(&path).unwrap()) });
    }
    assert!(modules.iter().any(|module| !module.uses.is_empty()));
    loop {
        let names: Vec<String> = modules.iter().map(|module| module.name.clone()).collect();
        let count = modules.len();
        modules.retain(|module| module.uses.iter().any(|used| names.contains(used)));
        if modules.len() == count {
            break;
        }
    }
    let circle: Vec<&str> = modules.iter().map(|module| module.name.as_str()).collect();
    assert!(circle.is_empty(), "in a circle, or before one: {circle:?}");
}
