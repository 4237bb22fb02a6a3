// Package soak runs the real entry daemon in several processes on loopback against a
// simulated platform, injects faults drawn from a seed, and checks what callers and
// servers observe.
//
//	report, err := soak.Run(ctx, soak.WithEntry("target/banyanplank-entry"), soak.WithSeed(7))
package soak
