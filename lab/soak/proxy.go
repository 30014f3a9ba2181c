package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/socket"
)

// NetFault is the fault that a proxy applies to its connections.
type NetFault string

// The network faults.
const (
	// Pass is no fault.
	Pass NetFault = "pass"
	// Delay delays the data of each read by proxyDelay.
	Delay NetFault = "delay"
	// Reset resets all connections and refuses new ones.
	Reset NetFault = "reset"
	// Silent keeps connections open and forwards nothing.
	Silent NetFault = "silent"
	// OneWay forwards requests but no responses.
	OneWay NetFault = "one_way"
)

// proxyDelay is longer than a round trip within a region and shorter than the timeouts of a node.
const proxyDelay = 120 * time.Millisecond

// Proxy forwards TCP connections to a target and can apply a fault to all of them.
type Proxy struct {
	addr string

	mu           sync.Mutex
	ln           net.Listener
	target       string
	fault        NetFault
	conns        map[net.Conn]struct{}
	faultChanged chan struct{} // closed at each change of fault
}

// NewProxy listens on a free port of ip and forwards connections to target.
func NewProxy(ip, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{addr: ln.Addr().String(), target: target, ln: ln, fault: Pass, conns: make(map[net.Conn]struct{}), faultChanged: make(chan struct{})}
	go p.accept(ln)
	return p, nil
}

// Addr returns the ip:port of the proxy.
func (p *Proxy) Addr() string { return p.addr }

// StopListening closes the listener, so that new connections are refused as if the target had
// exited, until ResumeListening.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
}

// ResumeListening accepts connections again, on the same address.
func (p *Proxy) ResumeListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close() // another call may have opened it already
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln
	go p.accept(ln)
	return nil
}

// SetFault changes the fault of all connections, also of those that are open.
func (p *Proxy) SetFault(f NetFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	if f != Reset {
		return
	}
	for c := range p.conns {
		socket.Reset(c)
	}
}

// Redirect forwards new connections to another target.
func (p *Proxy) Redirect(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *Proxy) dial() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.Dial("tcp", target)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.StopListening()
	p.SetFault(Reset)
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	if f, _ := p.currentFault(); f == Reset {
		socket.Reset(in)
		return
	}
	out, err := p.dial()
	if err != nil {
		socket.Reset(in)
		return
	}
	defer func() { _ = out.Close() }()
	p.track(in, out)
	defer p.untrack(in, out)
	done := make(chan struct{})
	go func() {
		p.pipe(out, in, false)
		close(done)
	}()
	p.pipe(in, out, true)
	<-done
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func (p *Proxy) currentFault() (NetFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

// pipe copies from src to dst. response is set for the direction from the target to the client.
func (p *Proxy) pipe(dst, src net.Conn, response bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.applyFault(response)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	socket.Reset(dst)
	socket.Reset(src)
}

// applyFault delays or blocks according to the current fault of this direction.
func (p *Proxy) applyFault(response bool) {
	for {
		f, changed := p.currentFault()
		switch {
		case f == Silent || f == OneWay && response:
			<-changed
		case f == Delay:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
