//go:build !linux

// Package socket sets options of TCP sockets.
package socket

import (
	"syscall"
	"time"
)

// UnackedTimeout returns a Control function that does nothing: the option is
// specific to Linux.
func UnackedTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error { return nil }
}
