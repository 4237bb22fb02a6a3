// Package loader reads and validates the settings file of a daemon.
package loader

import (
	"net/netip"

	"github.com/banyanplank/banyanplank"
)

// Settings is the content of the TOML settings file of one daemon. Only limits have
// defaults.
type Settings struct {
	// Role is "entry" or "agent".
	Role banyanplank.Role `toml:"role"`
	// Name identifies the daemon. It is unique and stays the same across restarts.
	Name banyanplank.DaemonID `toml:"name"`
	// Instance is the name of the machine in the platform's instance list.
	Instance banyanplank.InstanceID `toml:"instance"`
	// Zone is the availability zone that the machine is in.
	Zone     banyanplank.Zone `toml:"zone"`
	Listen   Listen           `toml:"listen"`
	Keys     Keys             `toml:"keys"`
	Platform Platform         `toml:"platform"`
	Endpoint Endpoint         `toml:"endpoint"`
	Limits   Limits           `toml:"limits"`
	// Peers are the peer addresses of a few other daemons, so that the daemon can
	// start while the object API is unavailable.
	Peers []netip.AddrPort `toml:"peers"`
}

// Listen holds the addresses on which the daemon listens.
type Listen struct {
	// Caller is for callers. Only an entry has it.
	Caller netip.AddrPort `toml:"caller"`
	// Peer is for other daemons.
	Peer netip.AddrPort `toml:"peer"`
	// Admin is for operators: status, metrics and health.
	Admin netip.AddrPort `toml:"admin"`
}

// Keys holds the paths of the PEM files for mutual TLS between daemons.
type Keys struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// Insecure disables TLS between daemons.
	Insecure bool `toml:"insecure"`
}

// Platform configures access to the platform.
type Platform struct {
	// Address is the base URL of the object API and the instance list.
	Address string `toml:"address"`
	// Key is the path of the file with the bearer token. Empty means no token.
	Key string `toml:"key"`
}

// Endpoint describes the endpoint that an agent serves.
type Endpoint struct {
	// Address is the endpoint's base URL.
	Address string                  `toml:"address"`
	Service banyanplank.ServiceName `toml:"service"`
	Group   banyanplank.GroupName   `toml:"group"`
	Rank    int                     `toml:"rank"`
	// Capacity is the capacity of the endpoint: tokens of KV cache for a model
	// engine, concurrent requests for a plain service.
	Capacity int `toml:"capacity"`
}

// Limits bounds the memory and the waiting times of the daemon.
type Limits struct {
	// Body is the maximum size of a request body, in bytes.
	Body int64 `toml:"body"`
	// Timeout is the maximum duration of a call.
	Timeout banyanplank.Duration `toml:"timeout"`
	// Drain is the maximum duration of a drain before a planned stop.
	Drain banyanplank.Duration `toml:"drain"`
	// Held is the memory budget for responses buffered for slow readers, in bytes.
	Held int64 `toml:"held"`
}
