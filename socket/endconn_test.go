package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/socket"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// writeUntilError writes until the peer's reset has arrived.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that was reset being taken for one that was closed in order, since a write
// got the error of the reset and the read after it a plain io.EOF.
func TestEndAfterFailedWriteIsNoEOF(t *testing.T) {
	is := is.New(t)
	plain, peer := connect(t)
	socket.Reset(peer)
	is.True(writeUntilError(plain) != nil)
	_, err := plain.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // what EndConn is for

	conn, peer := connect(t)
	c := socket.NewEndConn(conn)
	socket.Reset(peer)
	failed := writeUntilError(c)
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, failed))
	is.True(!errors.Is(err, io.EOF))
	is.Equal(c.WriteError(), failed)
}

// Guards against the same where the write gets the error while the read is under way, and against a read
// that waits for a write to a peer that reads nothing.
func TestEndBesideAWriteInProgress(t *testing.T) {
	for name, end := range map[string]func(peer *net.TCPConn){
		"reset":       func(peer *net.TCPConn) { socket.Reset(peer) },
		"half closed": func(peer *net.TCPConn) { _ = peer.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, peer := connect(t)
			c := socket.NewEndConn(conn)
			wrote := make(chan error, 1)
			much := make([]byte, 64<<20) // more than the sockets' buffers
			go func() {
				_, err := c.Write(much)
				wrote <- err
			}()
			time.Sleep(20 * time.Millisecond)
			end(peer)
			_, err := c.Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.EOF), name == "half closed")
			_ = c.Close() // the write may have begun after the read
			is.True(<-wrote != nil)
		})
	}
}

// Guards against an orderly end being taken for a failure.
func TestOrderlyEndIsEOF(t *testing.T) {
	is := is.New(t)
	conn, peer := connect(t)
	c := socket.NewEndConn(conn)
	_, err := c.Write([]byte("question"))
	is.NoErr(err)
	_, _ = io.ReadFull(peer, make([]byte, len("question")))
	_, _ = peer.Write([]byte("answer"))
	_ = peer.Close()
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "answer")
	is.NoErr(c.WriteError())
}
