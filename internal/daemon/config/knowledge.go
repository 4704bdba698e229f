package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Knowledge is the configuration of the exchange of knowledge of the servers between gateways (package knowledge). At
// least one of Listen and Peers is required.
type Knowledge struct {
	// Listen is the host:port for requests of peers. Empty: peers can't request this gateway's knowledge.
	Listen string `json:"listen"`
	// Peers are the host:port of the gateways from which this gateway requests knowledge. Empty: none.
	Peers []string `json:"peers"`

	// CertFile and KeyFile are PEM files with this gateway's certificate and key, as a server and as a client.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is a PEM file with the root certificates for the peers' certificates.
	CAFile string `json:"ca_file"`
	// ServerName is the name in the peers' certificates. Empty: the host of each peer's address.
	ServerName string `json:"server_name"`
	// Plain disables TLS. Without it, CertFile, KeyFile and CAFile are required.
	Plain bool `json:"plain"`

	// WaitMs is the maximum time in ms that a starting gateway waits for the peers' knowledge before it is ready: 0 to
	// 10000. Absent means 300.
	WaitMs *int `json:"wait_ms"`
	// SuspectShare is the maximum share of servers that become suspected by peers' reports alone: 0 to 0.5. 0 means a
	// third.
	SuspectShare float64 `json:"suspect_share"`

	// The fields below are set by check.

	Wait           time.Duration `json:"-"` // WaitMs
	Server, Client *tls.Config   `json:"-"` // nil: no TLS
}

const (
	defaultKnowledgeWaitMs = 300
	maxKnowledgeWait       = 10 * time.Second
	maxSuspectShare        = 0.5
)

func (k *Knowledge) check(errs *errorList) {
	if k.Listen == "" && len(k.Peers) == 0 {
		errs.addf("knowledge.listen, peers: neither is given")
	}
	if k.Listen != "" {
		checkHostPort(errs, "knowledge.listen", k.Listen)
	}
	for i, p := range k.Peers {
		checkHostPort(errs, fmt.Sprintf("knowledge.peers[%d]", i), p)
	}
	if k.Wait = defaultKnowledgeWaitMs * time.Millisecond; k.WaitMs != nil {
		k.Wait = time.Duration(*k.WaitMs) * time.Millisecond
	}
	if k.Wait < 0 || k.Wait > maxKnowledgeWait {
		errs.addf("knowledge.wait_ms: must be 0 to 10000")
	}
	if !(k.SuspectShare >= 0 && k.SuspectShare <= maxSuspectShare) {
		errs.addf("knowledge.suspect_share: must be 0 to 0.5")
	}
	if k.Plain {
		if k.CertFile != "" || k.KeyFile != "" || k.CAFile != "" {
			errs.addf("knowledge.plain: true, though cert_file, key_file or ca_file are given")
		}
		return
	}
	var err error
	if k.Server, k.Client, err = MutualTLS(k.CertFile, k.KeyFile, k.CAFile, k.ServerName); err != nil {
		errs.addf("knowledge.%w", err)
	}
}

// MutualTLS returns configurations of TLS 1.3 with which a server and its clients authenticate each other. certFile
// and keyFile are PEM files with this side's certificate and key, caFile is one with the root certificates of the
// other side. serverName is the name that clients expect in the server's certificate; if it is empty, they expect the
// host that they dial. Errors begin with the key of the invalid value.
func MutualTLS(certFile, keyFile, caFile, serverName string) (server, client *tls.Config, err error) {
	if certFile == "" || keyFile == "" || caFile == "" {
		return nil, nil, errors.New("cert_file, key_file, ca_file: all three are needed, unless plain is true")
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("cert_file, key_file: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, fmt.Errorf("ca_file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, errors.New("ca_file: holds no certificate")
	}
	certs := []tls.Certificate{cert}
	server = &tls.Config{Certificates: certs, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13}
	client = &tls.Config{Certificates: certs, RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS13}
	return server, client, nil
}
