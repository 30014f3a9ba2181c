package standin

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

const (
	// firstPort is the start of the port range that nodes listen on. The range ends before
	// FirstEphemeralPort: a higher port may be assigned to an outgoing connection between the
	// choice of the port and the start of its node.
	firstPort = 15000
	// FirstEphemeralPort is the first port of Linux's default range for outgoing connections.
	FirstEphemeralPort = 32768
	// portTries is the number of ports tried; most ports are free on most addresses.
	portTries = 20
)

// lastPort is the last port handed out, as an offset into the range. It starts at a random
// offset and counts up, so that a process hands out no port twice before the range is used up.
// Trying whether a port is free is not enough, since it stays free until its node listens.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(FirstEphemeralPort - firstPort)) }

// nextPort returns the next port of the range, cyclically.
func nextPort() int { return firstPort + int(lastPort.Add(1)%(FirstEphemeralPort-firstPort)) }

// freePort returns a port that is free on the IPs of the nodes 0 to n-1.
func freePort(t Owner, n int) int {
	ips := make([]string, n)
	for i := range ips {
		ips[i] = nodeIP(i)
	}
	return freePortOn(t, ips...)
}

// FreeAddr returns an ip:port with a port that is free on the IP.
func FreeAddr(t Owner, ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(freePortOn(t, ip)))
}

// freePortOn returns a port that is free on all of the IPs.
func freePortOn(t Owner, ips ...string) int {
	t.Helper()
	for range portTries {
		if port := nextPort(); isFreeOn(port, ips) {
			return port
		}
	}
	t.Fatalf("no port of %d is free on %v", portTries, ips)
	return 0
}

// isFreeOn reports whether a port is free on all of the IPs.
func isFreeOn(port int, ips []string) bool {
	for _, ip := range ips {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}
