package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to the connections through it.
type Harm string

// The harms of a proxy.
const (
	Pass Harm = "pass"
	// Delay holds each read back for a while.
	Delay Harm = "delay"
	// Reset resets all connections and refuses new ones.
	Reset Harm = "reset"
	// Silent keeps connections open and passes nothing.
	Silent Harm = "silent"
	// OneWay passes requests and no answers.
	OneWay Harm = "one_way"
)

// harmDelay is longer than a round trip within a region and shorter than the
// time-outs of a node.
const harmDelay = 120 * time.Millisecond

// Proxy passes TCP connections on to a target, and harms them on order.
type Proxy struct {
	addr string

	mu     sync.Mutex
	ln     net.Listener
	target string
	harm   Harm
	conns  map[net.Conn]struct{}
	wake   chan struct{} // closed at each change of harm
}

// NewProxy listens on a free port of ip and passes connections on to target.
func NewProxy(ip, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{addr: ln.Addr().String(), target: target, ln: ln, harm: Pass, conns: make(map[net.Conn]struct{}), wake: make(chan struct{})}
	go p.accept(ln)
	return p, nil
}

// Addr is the ip:port of the proxy.
func (p *Proxy) Addr() string { return p.addr }

// Leave has new connections refused, as a target does that has ended, until Return.
func (p *Proxy) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
}

// Return takes connections again.
func (p *Proxy) Return() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close() // another may have returned
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln
	go p.accept(ln)
	return nil
}

// Set changes what happens to all connections.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	close(p.wake)
	p.wake = make(chan struct{})
	if h != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// Redirect passes new connections on to another target.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.Leave()
	p.Set(Reset)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // closes with a reset
	}
	_ = c.Close()
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
	if h, _ := p.state(); h == Reset {
		reset(in)
		return
	}
	out, err := p.dial()
	if err != nil {
		reset(in)
		return
	}
	defer func() { _ = out.Close() }()
	p.keep(in, out)
	defer p.drop(in, out)
	done := make(chan struct{})
	go func() {
		p.pipe(out, in, false)
		close(done)
	}()
	p.pipe(in, out, true)
	<-done
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func (p *Proxy) state() (Harm, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm, p.wake
}

// pipe copies from src to dst; answer says that it is the way back.
func (p *Proxy) pipe(dst, src net.Conn, answer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.hold(answer)
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
	reset(dst)
	reset(src)
}

// hold waits as long as the harm of this way lasts.
func (p *Proxy) hold(answer bool) {
	for {
		h, changed := p.state()
		switch {
		case h == Silent || h == OneWay && answer:
			<-changed
		case h == Delay:
			time.Sleep(harmDelay)
			return
		default:
			return
		}
	}
}
