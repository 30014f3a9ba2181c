package standin_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against a port from the ephemeral range: a node could not listen since one of its own
// connections to the store, which it opens first, had been given the port as its local one.
func TestFreeAddrIsNotEphemeral(t *testing.T) {
	is := is.New(t)
	const ip = "127.0.0.2"
	for range 50 {
		addr := FreeAddr(t, ip)
		_, text, err := net.SplitHostPort(addr)
		is.NoErr(err)
		port, err := strconv.Atoi(text)
		is.NoErr(err)
		is.True(port < FirstEphemeralPort)
		ln, err := net.Listen("tcp", addr)
		is.NoErr(err)
		is.NoErr(ln.Close())
	}
}

// Guards against two listeners of a node with the same port: neither was listening yet when
// the other's port was chosen.
func TestFreeAddrIsUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 1000 {
		addr := FreeAddr(t, "127.0.0.2")
		is.True(!seen[addr])
		seen[addr] = true
	}
}
