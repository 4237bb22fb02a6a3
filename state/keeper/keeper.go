// Package keeper holds the newest accepted configuration of a daemon, indexed
// for lookups on the request path.
package keeper

import (
	"encoding/hex"
	"sync/atomic"

	"github.com/banyanplank/banyanplank"
)

// View is an immutable configuration with indexes. It is safe for concurrent use.
type View struct {
	Configuration *banyanplank.Configuration
	services      map[banyanplank.ServiceName]banyanplank.ServiceSpec
	// accountIndexes maps the digests of account keys to indexes in
	// Configuration.Accounts, which takes less memory than copies of the accounts.
	accountIndexes map[digest]int32
	zonesOut       map[banyanplank.Zone]bool
}

// digest is the SHA-256 digest of a client account's key.
type digest [32]byte

// parseDigest parses a digest in hexadecimal.
func parseDigest(text string) (d digest, ok bool) {
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

func newView(configuration *banyanplank.Configuration) *View {
	v := &View{
		Configuration:  configuration,
		services:       make(map[banyanplank.ServiceName]banyanplank.ServiceSpec, len(configuration.Services)),
		accountIndexes: make(map[digest]int32, len(configuration.Accounts)),
		zonesOut:       make(map[banyanplank.Zone]bool, len(configuration.Zones)),
	}
	for _, s := range configuration.Services {
		v.services[s.Name] = s
	}
	for i, a := range configuration.Accounts {
		if d, ok := parseDigest(a.KeyDigest); ok {
			v.accountIndexes[d] = int32(i)
		}
	}
	for _, z := range configuration.Zones {
		v.zonesOut[z.Name] = z.Out
	}
	return v
}

// Service returns the specification of a service, and whether it is declared.
func (v *View) Service(name banyanplank.ServiceName) (spec banyanplank.ServiceSpec, ok bool) {
	spec, ok = v.services[name]
	return spec, ok
}

// Account returns the client account whose key has the given SHA-256 digest in
// hexadecimal, and whether there is one.
func (v *View) Account(keyDigest string) (spec banyanplank.AccountSpec, ok bool) {
	d, ok := parseDigest(keyDigest)
	if !ok {
		return spec, false
	}
	index, ok := v.accountIndexes[d]
	if !ok {
		return spec, false
	}
	return v.Configuration.Accounts[index], true
}

// IsZoneOut reports whether an availability zone is out of service. An undeclared
// zone counts as out of service.
func (v *View) IsZoneOut(zone banyanplank.Zone) bool {
	out, ok := v.zonesOut[zone]
	return out || !ok
}

// Keeper holds the newest view. Its zero value holds an empty configuration. It is
// safe for concurrent use.
type Keeper struct {
	view atomic.Pointer[View]
}

// Set replaces the configuration if the given one has a higher revision, and
// reports whether it did.
func (k *Keeper) Set(configuration *banyanplank.Configuration) (newer bool) {
	next := newView(configuration)
	for {
		current := k.view.Load()
		if current != nil && current.Configuration.Revision >= configuration.Revision {
			return false
		}
		if k.view.CompareAndSwap(current, next) {
			return true
		}
	}
}

// View returns the newest view. It is never nil.
func (k *Keeper) View() (view *View) {
	if view := k.view.Load(); view != nil {
		return view
	}
	return newView(&banyanplank.Configuration{})
}
