package requester

import (
	"net"
	"syscall"
)

// isIdle reports whether an unused connection has no pending input. Pending bytes belong
// to no call, and EOF means that the endpoint has closed the connection.
func isIdle(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) (done bool) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
