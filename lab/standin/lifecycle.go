package standin

import (
	"cmp"
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

// start listens at addr as a new process of the engine.
func (e *Engine) start(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		e.owner.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.addr, e.listener, e.server = ln.Addr().String(), ln, server
	// Two starts within the same millisecond get different start times.
	e.startedAt = max(time.Now().UnixMilli(), e.startedAt+1)
	e.leaving = false
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
}

// DefaultVersion is the software version of an engine unless it is upgraded.
const DefaultVersion = "v1"

// Version returns the version of the engine's software.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.version, DefaultVersion)
}

// Upgrade crashes the engine and starts it again with the same ID and address and other software.
func (e *Engine) Upgrade(version string) {
	e.Crash()
	e.mu.Lock()
	e.version = version
	e.mu.Unlock()
	e.start(e.Addr())
}

// Addr returns the ip:port on which the engine listens.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Born returns the time of the engine's last start, in Unix milliseconds.
func (e *Engine) Born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt
}

// Crash stops the engine and closes all its connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close() // Serve may not have registered the listener yet
	_ = e.server.Close()
}

// Restart crashes the engine and starts it again with the same ID and address.
func (e *Engine) Restart() {
	e.Crash()
	e.start(e.Addr())
}

// Move crashes the engine and starts it again with the same ID at another address.
func (e *Engine) Move() {
	e.Crash()
	e.start("127.0.0.1:0")
}
