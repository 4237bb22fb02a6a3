package gateway

import (
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The advice to callers on which entries to use.
const (
	// adviceKeep is how long callers may keep an answer. Some keep it three
	// times as long, which has to be over before a stopping entry closes.
	adviceKeep = time.Second
	// nearLeast is the number of entries in the caller's zone from which on the
	// others are left out.
	nearLeast = 2
)

// advise returns the addresses of the entries that a caller in zone should use.
func advise(entries []banyanplank.Member, zone banyanplank.Zone) (addresses []netip.AddrPort) {
	var near []netip.AddrPort
	for _, m := range entries {
		addresses = append(addresses, m.Caller)
		if m.Zone == zone {
			near = append(near, m.Caller)
		}
	}
	if len(near) >= nearLeast {
		return near
	}
	return addresses
}
