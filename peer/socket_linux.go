package peer

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// controlSocket makes a connection fail when what was sent stays
// unacknowledged for unackedTimeout. Keep-alive does not do that, since it
// only probes idle connections.
func controlSocket(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, opt), "peer: socket option")
}
