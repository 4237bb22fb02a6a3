// Package loopback allocates loopback addresses for daemons started by tests,
// benchmarks and examples.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// addressCount counts the addresses allocated in this process.
var addressCount atomic.Uint32

// Address returns a loopback address with a free TCP port. If the system allows
// it, each call returns a different address in 127.0.0.0/8: outgoing connections
// use 127.0.0.1 and could otherwise take the port before the daemon listens.
// It returns an error if no port can be opened on 127.0.0.1 either.
func Address() (address netip.AddrPort, err error) {
	defer func() { err = errors.Wrap(err, "find a loopback address") }()
	number := addressCount.Add(1)
	unique := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(number >> 8), byte(number)})
	for _, host := range []netip.Addr{unique, netip.AddrFrom4([4]byte{127, 0, 0, 1})} {
		address, err = findFreePort(host)
		if err == nil {
			return address, nil
		}
	}
	return address, err
}

// findFreePort returns host with a free TCP port.
func findFreePort(host netip.Addr) (address netip.AddrPort, err error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return address, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}
