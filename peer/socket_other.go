//go:build !linux

package peer

import "syscall"

// controlSocket does nothing: the option it would set is Linux's own.
func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }
