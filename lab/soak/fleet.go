package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// grace is the nodes' time from SIGTERM to SIGKILL in seconds.
const grace = 5

// process is one node: a program with its settings, started again after it has
// ended.
type process struct {
	name string
	// command returns the program before each start.
	command func() (*exec.Cmd, error)
	// grace is the time from SIGTERM to SIGKILL.
	grace time.Duration
	logs  string
	front string
	ready string
	// store is the node's way to the store, nil if it has none of its own.
	store *Proxy

	// harmed is when the node was killed or frozen, begun when its programs
	// began, asked when they were first asked to stop, reloads when they were
	// told that their settings have changed.
	harmed, begun, asked, reloads timeline

	mu      sync.Mutex
	last    *incarnation
	stopped bool
	// all are the programs that were started.
	all []*incarnation
	// faults are what a program did that none may do, early the ends of programs
	// by a signal for which they had not asked yet.
	faults, early []string
}

// incarnation is one run of a node's program.
type incarnation struct {
	cmd *exec.Cmd
	// ended is closed when it has ended.
	ended chan struct{}
	// stopping says that it was asked to end or killed.
	stopping bool
	// logged is the size of the node's log at its start.
	logged int64
}

// newProcess prepares node i of n.
func newProcess(dir, program string, host standin.Owner, store *standin.Store, seed uint64, i, n, port int) (*process, error) {
	ip := nodeIP(seed, i)
	proxy, err := NewProxy(ip, store.Addr())
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprint("node-", i), grace: grace * time.Second, store: proxy,
		logs:  filepath.Join(dir, fmt.Sprint("node-", i, ".log")),
		front: standin.FreeAddr(host, ip), ready: standin.FreeAddr(host, ip),
	}
	settings := filepath.Join(dir, fmt.Sprint("node-", i, ".json"))
	p.command = func() (*exec.Cmd, error) {
		cmd := exec.Command(program, "route")
		cmd.Env = append(os.Environ(), "KNAPWEEDGW_NODE_FILE="+settings)
		return cmd, nil
	}
	seeds := make([]string, min(n, 3))
	for j := range seeds {
		seeds[j] = net.JoinHostPort(nodeIP(seed, j), "1")
	}
	raw, err := json.Marshal(map[string]any{
		"node": p.name, "ip": ip, "zone": fmt.Sprint("zone-", i%3), "region": "region",
		"listen":              map[string]string{"front": p.front, "ready": p.ready},
		"internal_port_range": []int{port, port}, "seeds": seeds,
		"limits": map[string]int{"memory_mb": 284},
		"bounds": map[string]float64{
			"grace_s": grace, "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 54,
		},
		"platform": map[string]string{"address": proxy.Addr()},
	})
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(settings, raw, 0o600)
}

// Loopback addresses: runs side by side have networks of their own, apart from
// that of other tests.
const (
	firstNetwork = 10
	networks     = 200
	hosts        = 250
)

// nodeIP is the address of node i in the run of a seed.
func nodeIP(seed uint64, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+seed%networks, i/hosts, 2+i%hosts)
}

// start starts the program, with its output appended to the node's log.
func (p *process) start() error { return p.startAfter(nil) }

// startAfter starts the program if the one that ended by then is still the
// last: steps overlap, and another may have started it.
func (p *process) startAfter(ended *incarnation) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.last != ended {
		return nil
	}
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the program has its own copy
	logged := p.logSize()
	cmd, err := p.command()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.begun.mark()
	p.last = &incarnation{cmd: cmd, ended: make(chan struct{}), logged: logged}
	p.all = append(p.all, p.last)
	go p.await(p.last)
	return nil
}

// await notes the end of a program.
func (p *process) await(g *incarnation) {
	err := g.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := fmt.Sprintf("ended by itself: %v", err)
	switch {
	case g.stopping:
	case p.logSize() == g.logged:
		// The system ends a program by a signal that comes before it has asked
		// for its signals.
		p.early = append(p.early, fault)
		go p.startAgain(g)
	default:
		p.faults = append(p.faults, fault)
	}
	close(g.ended)
}

// startAgain starts the program after one that ended before it could take signals, as a
// platform does.
func (p *process) startAgain(ended *incarnation) {
	<-ended.ended
	if err := p.startAfter(ended); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faults = append(p.faults, fmt.Sprintf("was not started again: %v", err))
	}
}

// logSize returns the size of the node's log in bytes, 0 if there is none.
func (p *process) logSize() int64 {
	info, err := os.Stat(p.logs)
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to the last program, by its process ID, and returns that.
func (p *process) signal(s syscall.Signal) *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.last
	switch s {
	case syscall.SIGKILL:
		p.harmed.mark()
		g.stopping = true
	case syscall.SIGTERM:
		if !g.stopping {
			p.asked.mark()
		}
		g.stopping = true
	case syscall.SIGHUP:
		p.reloads.mark()
	}
	_ = g.cmd.Process.Signal(s) // it may have ended already
	return g
}

// freeze stops the program for a while.
func (p *process) freeze(d time.Duration) {
	defer p.harmed.begin()()
	g := p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = g.cmd.Process.Signal(syscall.SIGCONT) // it may have been killed
}

// restart sends a signal that ends the program, waits until it has ended, kills
// it after the grace time, and starts it again.
func (p *process) restart(s syscall.Signal) error {
	g := p.signal(s)
	select {
	case <-g.ended:
	case <-time.After(p.grace):
		p.overdue()
		_ = g.cmd.Process.Kill() // it may have ended just now
		<-g.ended
	}
	return p.startAfter(g)
}

// overdue notes that the program has not ended within the grace time.
func (p *process) overdue() {
	now := time.Now()
	if p.harmed.touches(now.Add(-p.grace-contact), now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf("had not ended %v after SIGTERM", p.grace))
}

// ownEnds returns what programs of the node did that none may do, and how they
// ended before they could take signals.
func (p *process) ownEnds() (faults, early []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.early
}

// running returns the number of programs that have not ended.
func (p *process) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, g := range p.all {
		select {
		case <-g.ended:
		default:
			n++
		}
	}
	return n
}

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	started := p.last != nil
	p.mu.Unlock()
	if !started {
		return
	}
	<-p.signal(syscall.SIGKILL).ended
	if p.store != nil {
		p.store.Close()
	}
}

// peerPort returns a port that is free on all nodes' addresses.
func peerPort(host standin.Owner) int {
	_, port, err := net.SplitHostPort(standin.FreeAddr(host, "0.0.0.0"))
	if err != nil {
		host.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		host.Fatal(err)
	}
	return n
}
