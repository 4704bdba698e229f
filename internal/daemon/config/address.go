package config

import (
	"fmt"
	"net"
	"net/netip"
)

// parseAddr parses the address and port that a key has. It returns the zero value if text is empty, and adds an error
// to errs if text is malformed.
func parseAddr(errs *errorList, key, text string) (addr netip.AddrPort) {
	if text != "" {
		var err error
		if addr, err = netip.ParseAddrPort(text); err != nil {
			errs.addf("%s: %w", key, err)
		}
	}
	return addr
}

// parseAddrs parses a list of addresses. An empty address is an error.
func parseAddrs(errs *errorList, key string, texts []string) (addrs []netip.AddrPort) {
	for i, text := range texts {
		if text == "" {
			text = " " // which parseAddr rejects, unlike an empty text
		}
		addrs = append(addrs, parseAddr(errs, fmt.Sprintf("%s[%d]", key, i), text))
	}
	return addrs
}

// checkHostPort adds an error to errs if text is not of the form host:port, where the host may be a name.
func checkHostPort(errs *errorList, key, text string) {
	if _, _, err := net.SplitHostPort(text); err != nil {
		errs.addf("%s: %w", key, err)
	}
}
