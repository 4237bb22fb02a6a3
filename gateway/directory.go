package gateway

import (
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Settings of the directory, which lists the entries for callers.
const (
	// maxDirectoryAge is how long callers may cache a directory response. Some keep
	// it three times as long, and a stopping entry may close only after that.
	maxDirectoryAge = time.Second
	// minZoneEntries is the number of entries in the caller's zone from which on
	// entries of other zones are left out.
	minZoneEntries = 2
)

// selectAddresses returns the addresses of the entries that a caller in zone should
// use.
func selectAddresses(entries []banyanplank.Member, zone banyanplank.Zone) (addresses []netip.AddrPort) {
	var sameZone []netip.AddrPort
	for _, m := range entries {
		addresses = append(addresses, m.CallerAddress)
		if m.Zone == zone {
			sameZone = append(sameZone, m.CallerAddress)
		}
	}
	if len(sameZone) >= minZoneEntries {
		return sameZone
	}
	return addresses
}
