// Package socket sets options of TCP sockets.
package socket

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UnackedTimeout returns a Control function for net.Dialer and net.ListenConfig
// that sets TCP_USER_TIMEOUT: a connection fails when sent data stays
// unacknowledged for d. Keep-alive doesn't cover this, since it only probes idle
// connections.
func UnackedTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Wrap(errors.CombineErrors(err, optErr), "socket option")
	}
}
