// Package loader reads and checks the settings of a daemon.
package loader

import (
	"net/netip"

	"github.com/banyanplank/banyanplank"
)

// Settings is the TOML file of one daemon. What it leaves out gets a default.
type Settings struct {
	// Role is "entry" or "agent".
	Role banyanplank.Role `toml:"role"`
	// Name tells the daemon from all others and outlives its restarts.
	Name banyanplank.DaemonID `toml:"name"`
	// Instance is the machine's name in the platform's instance list.
	Instance banyanplank.InstanceID `toml:"instance"`
	// Zone is the availability zone that the machine is in.
	Zone     banyanplank.Zone `toml:"zone"`
	Listen   Listen           `toml:"listen"`
	Keys     Keys             `toml:"keys"`
	Platform Platform         `toml:"platform"`
	Endpoint Endpoint         `toml:"endpoint"`
	Limits   Limits           `toml:"limits"`
	// Peers are the peer addresses of a few other daemons. They let the daemon
	// start while the object API is down.
	Peers []netip.AddrPort `toml:"peers"`
}

// Listen holds the addresses that the daemon serves.
type Listen struct {
	// Caller is for callers. Only entries have it.
	Caller netip.AddrPort `toml:"caller"`
	// Peer is for other daemons.
	Peer netip.AddrPort `toml:"peer"`
	// Admin is for operators: status, metrics and health.
	Admin netip.AddrPort `toml:"admin"`
}

// Keys names the PEM files for mutual TLS between the daemons.
type Keys struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// Insecure turns TLS between the daemons off.
	Insecure bool `toml:"insecure"`
}

// Platform tells where the platform's services are.
type Platform struct {
	// Address is the base URL of the object API and the instance list.
	Address string `toml:"address"`
	// Key names the file that holds the bearer key. Empty means no key.
	Key string `toml:"key"`
}

// Endpoint describes the endpoint beside an agent.
type Endpoint struct {
	// Address is the endpoint's base URL.
	Address string                  `toml:"address"`
	Service banyanplank.ServiceName `toml:"service"`
	Group   banyanplank.GroupName   `toml:"group"`
	Rank    int                     `toml:"rank"`
	// Capacity is what the endpoint can hold: tokens of KV cache for a model
	// engine, requests for a plain service.
	Capacity int `toml:"capacity"`
}

// Limits bounds what the daemon holds and how long it waits.
type Limits struct {
	// Body bounds a request body, in bytes.
	Body int64 `toml:"body"`
	// Timeout bounds a call.
	Timeout banyanplank.Duration `toml:"timeout"`
	// Drain bounds a planned stop.
	Drain banyanplank.Duration `toml:"drain"`
	// Held bounds the answers held for slow readers, in bytes.
	Held int64 `toml:"held"`
}
