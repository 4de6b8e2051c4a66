//! Finds the route, the workspace and the service of a request.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Workspace name under which requests of public routes are queued.
pub const PUBLIC_WORKSPACE: &str = "public";

/// Routes a request by the active configuration. `path` must not include the query.
pub fn route_call(
    configuration: &FleetConfiguration,
    host: &str,
    path: &str,
    head: &CallHead,
) -> Result<RoutedCall, CallFault> {
    let route = find_route(configuration, host, path).ok_or(CallFault::UnknownRoute)?;
    let workspace = find_workspace(configuration, &route, head)?;
    // A stream that is taken up stays with the service that began it.
    let tag = head.resumes.as_ref().unwrap_or(&head.tag);
    let service = choose_service(&route, tag).ok_or(CallFault::UnknownRoute)?;
    let terms = workspace.as_ref().and_then(|name| configuration.workspaces.get(name));
    let tier = terms.and_then(|terms| terms.tier).unwrap_or(route.tier);
    Ok(RoutedCall { route, workspace, service, tier, version: configuration.version })
}

/// Finds the route of the host with the longest prefix of the path.
fn find_route(
    configuration: &FleetConfiguration,
    host: &str,
    path: &str,
) -> Option<Arc<CallRoute>> {
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    configuration
        .routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(name) && path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
        .cloned()
}

/// Finds the workspace of the request's key. Without any workspaces, keys are not checked.
fn find_workspace(
    configuration: &FleetConfiguration,
    route: &CallRoute,
    head: &CallHead,
) -> Result<Option<WorkspaceName>, CallFault> {
    if configuration.workspaces.is_empty() {
        return Ok(None);
    }
    let workspace = head.key.as_ref().and_then(|key| configuration.keys.get(key));
    match workspace {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.public => Ok(None),
        None => Err(CallFault::UnknownKey),
    }
}

/// Selects a service at random by weight. The choice depends only on the request, so all entry VMs agree on it.
fn choose_service(route: &CallRoute, tag: &str) -> Option<ServiceName> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.services.first().map(|(service, _)| service.clone());
    }
    let mut draw = xxh3_64(tag.as_bytes()) % total;
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if draw < weight {
            return Some(service.clone());
        }
        draw -= weight;
    }
    None
}
