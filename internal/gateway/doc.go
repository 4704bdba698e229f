// Package gateway assembles a gateway and runs it as a process.
//
// A gateway accepts clients' requests and forwards them to servers. Its main parts are these packages:
//
//   - subscription keeps the configuration and the lists of servers and of the system's processes up to date,
//     from a control process;
//   - endpoints holds the list of servers, for the connection pool (internal/pool) and for serverselection;
//   - proxy serves a request from its head to the end of the response. quotaclient and admission (through
//     admitter) decide whether the request is forwarded, serverselection selects the server, and retry decides
//     what may follow an attempt; sse scans streams, and outcomes counts requests by outcome;
//   - batchproxy forwards calls for batch jobs to batch processes;
//   - internal/serverload shares the servers' loads with other gateways.
//
// # Ports
//
// The front port serves clients. It is opened at the start, so that clients that connect meanwhile wait in
// its listen queue, and is served once there is a configuration, or after a short wait (configurationWait)
// without one. The ready port serves /readyz and /metrics.
//
// # Shutdown
//
// On SIGTERM the gateway reports itself as not ready, and accepts connections until the platform has noticed
// that. Requests that have been read are answered. The process exits when no connection is open, or before the
// platform would kill it.
package gateway
