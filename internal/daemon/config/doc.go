// Package config reads and validates the whole configuration of a gateway and sets defaults. It opens no socket.
//
// # Sources
//
// The configuration comes from three places:
//
//   - the platform's file, whose path is in ROUTER_CONFIG (platform.go), with the fleet's settings in its key
//     "settings" (settings.go);
//   - the environment: ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONTROL override the file's keys name,
//     listen, discovery and control;
//   - the operators' site file (site.go), which enables features that are off by default: Consul, token introspection,
//     the exchange of knowledge, storm control and the store.
//
// Unknown keys in the platform's file are ignored, because the platform may be newer than this program. Unknown keys in
// the site file are errors, because a mistyped key would otherwise silently leave a feature off.
//
// # Errors
//
// [Load], [Reload] and [Parse] report all errors at once. Each begins with its file and its key, such as
// "config.json: limits.sockets: ...". [Errors] returns the single errors.
//
// # Reload
//
// [Reload] reads the sources again in a running process. [Config.RestartKeys] returns the keys that differ and whose
// changes need a restart. A key that the current configuration has must not be missing (missing.go).
package config
