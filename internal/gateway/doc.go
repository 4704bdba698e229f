// Package gateway assembles a gateway and runs it as a process.
//
// A gateway takes clients' requests and forwards them to servers. Its parts are the packages below this one:
//
//   - subscription keeps the configuration, the servers and the system's processes up to date, from a control
//     process;
//   - endpoints holds the servers, for the connection pool (internal/pool) and for serverselection;
//   - proxy is the life of a request. It asks quotaclient and admission (through admitter) whether to forward
//     it, serverselection where to, and retry what may follow an attempt; sse scans streams, outcomes counts
//     how requests ended;
//   - batchproxy forwards calls for batch jobs to batch processes;
//   - internal/serverload shares the servers' loads with other gateways.
//
// # Ports
//
// The front port serves clients. It is opened at the start, so that clients that connect meanwhile wait in
// its queue, and is served once there is a configuration, or after a short wait (configurationWait) without
// one. The ready port serves /readyz and /metrics.
//
// # Shutdown
//
// On SIGTERM the gateway reports itself as not ready, and still accepts connections until the platform has
// noticed. Requests that were read are answered. The process exits when no connection is open, or before the
// platform would kill it.
package gateway
