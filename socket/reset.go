package socket

import "net"

// Reset closes a connection with a TCP reset.
func Reset(conn net.Conn) {
	raw := conn
	if end, ok := conn.(*EndConn); ok {
		raw = end.Conn
	}
	if tcp, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
