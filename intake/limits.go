package intake

import "time"

// connMemoryShare bounds what connections take of a machine's memory before anything is kept for their requests.
const connMemoryShare = 1.0 / 3

// What one connection takes, in bytes.
const (
	// connOverhead is for its goroutine and the buffers of the HTTP server.
	connOverhead = 20 << 10
	// freeBytes is for the header and the body of a small request.
	freeBytes = 8 << 10
	// receiveBuffer is the size of the socket's receive buffer: bytes that have arrived and were not read yet count
	// toward a machine's memory.
	receiveBuffer = 32 << 10
)

// A node without free file descriptors can neither accept a connection, including a readiness check, nor open one to
// a target, which then looks unreachable.
const (
	// filesReserved is the number of descriptors left for the store, other nodes, readiness checks, metrics and the
	// runtime.
	filesReserved = 300
	// callerConnShare is the share of the remaining descriptors for callers' connections: each request in progress
	// also has a connection to a target, and a few idle ones are kept.
	callerConnShare = 0.45
)

// sendStillTime is how long a client that is to send must have made no progress before its connection is ended in favor
// of another. Requests are sent at once, so that only a slow network or a client that doesn't mean to end its request
// takes as long.
const sendStillTime = time.Second

// progressBytes is how much of a body must arrive for the connection to have made progress. A single byte is none:
// a client could hold its place with one a second.
const progressBytes = 16 << 10

// Limits bound what a process holds for all callers together. The zero value sets no limit.
type Limits struct {
	// Conns is the maximum number of callers' connections, 0 for no limit.
	Conns int
}

// NewLimits returns the limits of a process that may use memory bytes of memory and open maxFiles descriptors. In
// both, 0 means no limit.
func NewLimits(memory int64, maxFiles int) Limits {
	l := Limits{Conns: connLimit(maxFiles)}
	if memory <= 0 {
		return l
	}
	byMemory := max(int(connMemoryShare*float64(memory)/(connOverhead+freeBytes+receiveBuffer)), 1)
	if l.Conns == 0 || byMemory < l.Conns {
		l.Conns = byMemory
	}
	return l
}

// connLimit returns the maximum number of callers' connections if the node may open maxFiles descriptors. In both, 0
// means no limit.
func connLimit(maxFiles int) int {
	if maxFiles <= 0 {
		return 0
	}
	return max(int(callerConnShare*float64(maxFiles-filesReserved)), 1)
}
