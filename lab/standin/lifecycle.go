package standin

import (
	"net"
	"net/http"
	"time"
)

// NewEngine starts an engine on a loopback address.
func NewEngine(t Owner, id, service, zone string, j *Journal) *Engine {
	return NewEngineAt(t, "127.0.0.1:0", id, service, zone, j)
}

// NewEngineAt starts an engine at addr, an ip:port.
func NewEngineAt(t Owner, addr, id, service, zone string, j *Journal) *Engine {
	e := &Engine{ID: id, Service: service, Zone: zone, Events: DefaultEvents, journal: j, owner: t}
	e.start(addr)
	t.Cleanup(e.Crash)
	return e
}

// start listens at addr as a new run of the engine.
func (e *Engine) start(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		e.owner.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.addr, e.listener, e.server = ln.Addr().String(), ln, server
	// Two starts within a millisecond are told apart as well.
	e.born = max(time.Now().UnixMilli(), e.born+1)
	e.leaving = false
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // ends with Close
}

// Addr is the ip:port of the engine.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Born is when the engine started last, in Unix milliseconds.
func (e *Engine) Born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// Crash ends the engine with all its connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close() // the server may not have it yet
	_ = e.server.Close()
}

// Restart crashes the engine and starts it again under its ID, at the address it
// had.
func (e *Engine) Restart() {
	e.Crash()
	e.start(e.Addr())
}

// Move crashes the engine and starts it again under its ID, at another address.
func (e *Engine) Move() {
	e.Crash()
	e.start("127.0.0.1:0")
}
