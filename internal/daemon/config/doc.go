// Package config reads, checks and completes all configuration of a gateway. It opens no socket.
//
// # Sources
//
// The configuration comes from three places:
//
//   - the platform's file, which ROUTER_CONFIG names (platform.go), with the fleet's settings in its key "settings"
//     (settings.go);
//   - the environment: ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONTROL override the file's keys name,
//     listen, discovery and control;
//   - the site file of the operators (site.go), which turns on what is off without it: Consul, token introspection, the
//     exchange of knowledge, storm control and the store.
//
// Keys that the platform's file has and this program doesn't know are ignored, as the platform may be newer. In the
// site file they are errors: a mistyped key would otherwise turn something off without notice.
//
// # Errors
//
// [Load], [Reload] and [Parse] report all errors at once, each beginning with its file and its key, such as
// "config.json: limits.sockets: ..."; [Errors] lists them.
//
// # Reload
//
// [Reload] reads the sources again for a process that runs. [Config.RestartKeys] names what differs and can only change
// with a restart, and a key that the configuration in force has must not be missing (missing.go).
package config
