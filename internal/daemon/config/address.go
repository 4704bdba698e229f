package config

import (
	"fmt"
	"net"
	"net/netip"
)

// parseAddr parses the address and port of a key. Without text it returns the zero value.
func parseAddr(errs *errorList, key, text string) (addr netip.AddrPort) {
	if text != "" {
		var err error
		if addr, err = netip.ParseAddrPort(text); err != nil {
			errs.addf("%s: %w", key, err)
		}
	}
	return addr
}

// parseAddrs parses a list of addresses, none of which may be empty.
func parseAddrs(errs *errorList, key string, texts []string) (addrs []netip.AddrPort) {
	for i, text := range texts {
		if text == "" {
			text = " " // which parseAddr rejects
		}
		addrs = append(addrs, parseAddr(errs, fmt.Sprintf("%s[%d]", key, i), text))
	}
	return addrs
}

// checkHostPort checks the form host:port, where the host may be a name.
func checkHostPort(errs *errorList, key, text string) {
	if _, _, err := net.SplitHostPort(text); err != nil {
		errs.addf("%s: %w", key, err)
	}
}
