package config

import (
	"fmt"
	"net"
)

// Faults collects what is wrong with a configuration, in the order in which it is found.
type Faults []error

// Require adds a fault with the formatted text unless ok is true.
func (f *Faults) Require(ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, fmt.Errorf(format, args...))
	}
}

// RequireAddress adds a fault unless the value of a key has the form host:port, with neither of them empty.
func (f *Faults) RequireAddress(key, address string) {
	host, port, err := net.SplitHostPort(address)
	f.Require(err == nil && host != "" && port != "", "%s: %q is no host:port", key, address)
}

// RequirePort adds a fault unless the value of a key has the form host:port. The host may be empty.
func (f *Faults) RequirePort(key, address string) {
	_, port, err := net.SplitHostPort(address)
	f.Require(err == nil && port != "", "%s: %q is no host:port", key, address)
}
