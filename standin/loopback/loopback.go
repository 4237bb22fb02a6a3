// Package loopback hands out addresses on this machine for daemons that a test
// or an example starts. It is for tests, benchmarks and examples.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// handed counts the addresses of this process.
var handed atomic.Uint32

// Address returns an address and port on which nothing listens. Where the
// machine allows it, each call returns another address of 127.0.0.0/8, so that
// no outgoing connection, which uses 127.0.0.1, takes the port before the
// daemon does.
func Address() (address netip.AddrPort, err error) {
	defer func() { err = errors.Wrap(err, "find a loopback address") }()
	number := handed.Add(1)
	own := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(number >> 8), byte(number)})
	for _, host := range []netip.Addr{own, netip.AddrFrom4([4]byte{127, 0, 0, 1})} {
		address, err = free(host)
		if err == nil {
			return address, nil
		}
	}
	return address, err
}

// free returns a port of host on which nothing listens.
func free(host netip.Addr) (address netip.AddrPort, err error) {
	open, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return address, err
	}
	defer open.Close()
	return netip.ParseAddrPort(open.Addr().String())
}
