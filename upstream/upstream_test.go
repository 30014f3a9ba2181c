package upstream

import (
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func dialError(cause error) error {
	sys := os.NewSyscallError("socket", cause)
	return &url.Error{Op: "Post", URL: "http:/", Err: &net.OpError{Op: "dial", Net: "tcp", Err: sys}}
}

// A node without a descriptor left can't open a connection; that says nothing of
// the target.
func TestLackOfDescriptorsIsTheNodesOwn(t *testing.T) {
	is := is.New(t)
	is.True(IsLocal(dialError(syscall.EMFILE)))
	is.True(IsLocal(dialError(syscall.EADDRNOTAVAIL)))
	is.True(!IsLocal(dialError(syscall.ECONNREFUSED)))
	is.True(!IsLocal(nil))
}
