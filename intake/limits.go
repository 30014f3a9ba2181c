package intake

import (
	"math/rand/v2"
	"time"
)

// Shares of a machine's memory. The rest is for the node's own state, the answers of targets and the garbage
// collector, whose heap is up to a third larger than what is in use.
const (
	// connMemoryShare bounds what connections take before anything is kept for their requests.
	connMemoryShare = 1.0 / 3
	// byteShare bounds the bytes that are kept for callers' requests.
	byteShare = 0.3
)

// What one connection takes, in bytes.
const (
	// connOverhead is for its goroutine and the buffers of the HTTP server.
	connOverhead = 20 << 10
	// freeBytes is what a connection may keep without a grant: the header and the body of a small request, which
	// therefore passes while larger ones are refused.
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

const (
	// sendStillTime is how long a client that is to send must have made no progress before its connection is ended in
	// favor of another. Requests are sent at once, so that only a slow network or a client that doesn't mean to end
	// its request takes as long.
	sendStillTime = time.Second
	// ReadStillTime is the same for a client that is to read its answer.
	ReadStillTime = 2 * time.Second
)

// progressBytes is how much of a body must arrive for the connection to have made progress. A single byte is none:
// a client could hold its place with one a second.
const progressBytes = 16 << 10

// Limits bound what a process holds for all callers together. The zero value sets no limit.
type Limits struct {
	// Conns is the maximum number of callers' connections, 0 for no limit.
	Conns int
	// Bytes is the maximum number of bytes kept for callers' requests, 0 for no limit.
	Bytes int64
}

// NewLimits returns the limits of a process that may use memory bytes of memory and open maxFiles descriptors. In
// both, 0 means no limit.
func NewLimits(memory int64, maxFiles int) Limits {
	l := Limits{Conns: connLimit(maxFiles), Bytes: int64(byteShare * float64(memory))}
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

// Bounds of RetryAfter. Until then connections that have stopped sending may be evicted, and callers that come back
// are spread.
const (
	retryAfter  = sendStillTime
	retryJitter = 500 * time.Millisecond
)

// RetryAfter returns when the caller of a request that found no room is to come back.
func RetryAfter() time.Duration { return retryAfter + rand.N(retryJitter) }
