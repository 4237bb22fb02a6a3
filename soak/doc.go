// Package soak runs the real entry daemon as many processes on loopback, against
// stand-ins for the platform, lets series of faults drawn from one seed strike them,
// and checks what callers and servers see.
//
//	report, err := soak.Run(ctx, soak.WithEntry("target/banyanplank-entry"), soak.WithSeed(7))
package soak
