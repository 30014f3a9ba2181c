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

// grace is the time from SIGTERM to SIGKILL of router nodes, in seconds.
const grace = 5

// process is one node: its settings and the program that runs it, which is restarted after it has
// exited.
type process struct {
	name string
	// command returns the command of the next start.
	command func() (*exec.Cmd, error)
	// grace is the time from SIGTERM to SIGKILL.
	grace time.Duration
	logs  string
	front string
	ready string
	// peer is the address for other nodes, which identifies the node in the order of owners.
	peer string
	// store is the proxy between this node and the store, nil if the node has none.
	store *Proxy

	// disrupted holds when the node was killed or frozen, starts when its programs were
	// started, stopSignals when each program got its first SIGTERM, and reloads when they got
	// SIGHUP, which reloads the settings.
	disrupted, starts, stopSignals, reloads timeline
	// pathFaults holds when the node was partitioned from all engines.
	pathFaults timeline

	mu      sync.Mutex
	last    *incarnation
	stopped bool
	// all holds every program that was started.
	all []*incarnation
	// faults are unexpected exits and other forbidden behaviour of programs. earlyExits are exits
	// by a signal that came before the program had installed its signal handlers.
	faults, earlyExits []string
}

// incarnation is one run of a node's program.
type incarnation struct {
	cmd *exec.Cmd
	// ended is closed after the program has exited.
	ended chan struct{}
	// stopping is set once the program got SIGTERM or SIGKILL.
	stopping bool
	// logStart is the size of the node's log in bytes when the program was started.
	logStart int64
}

// newProcess prepares node i of n.
func newProcess(dir, program, verb string, host standin.Owner, store *standin.Store, seed uint64, i, n, port int) (*process, error) {
	ip := nodeIP(seed, i)
	proxy, err := NewProxy(ip, store.Addr())
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprint("node-", i), grace: grace * time.Second, store: proxy,
		logs:  filepath.Join(dir, fmt.Sprint("node-", i, ".log")),
		front: standin.FreeAddr(host, ip), ready: standin.FreeAddr(host, ip),
		peer: net.JoinHostPort(ip, strconv.Itoa(port)),
	}
	settings := filepath.Join(dir, fmt.Sprint("node-", i, ".json"))
	p.command = func() (*exec.Cmd, error) {
		cmd := exec.Command(program, verb)
		cmd.Env = append(os.Environ(), "KNAPWEEDGW_NODE_FILE="+settings, p.pathFaultVariable())
		return cmd, nil
	}
	seeds := make([]string, min(n, 3))
	for j := range seeds {
		seeds[j] = net.JoinHostPort(nodeIP(seed, j), "1")
	}
	raw, err := json.Marshal(map[string]any{
		"node": p.name, "ip": ip, "zone": fmt.Sprint("zone-", i%3), "region": "region",
		"listen":              map[string]string{"front": p.front, "ready": p.ready},
		"internal_port_range": []int{port, port + 1}, "seeds": seeds,
		"limits": map[string]int{"memory_mb": 284},
		"bounds": map[string]float64{
			"grace_s": grace, "retry_budget_ratio": retryBudget.Share, "retry_window_s": retryBudget.Window.Seconds(), "budget_slack": retryBudget.Slack,
		},
		"platform": map[string]string{"address": proxy.Addr()},
	})
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(settings, raw, 0o600)
}

// Loopback addresses: concurrent runs use separate networks, which other tests don't use either.
const (
	firstNetwork = 10
	networks     = 200
	hosts        = 250
)

// nodeIP returns the IP address of node i in the run of a seed.
func nodeIP(seed uint64, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+seed%networks, i/hosts, 2+i%hosts)
}

// start starts the program, with its output appended to the node's log.
func (p *process) start() error { return p.startAfter(nil) }

// startAfter starts the program if ended is still the last one that was started. Steps overlap, so
// another step may have restarted it already.
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
	logStart := p.logSize()
	cmd, err := p.command()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.starts.mark()
	p.last = &incarnation{cmd: cmd, ended: make(chan struct{}), logStart: logStart}
	p.all = append(p.all, p.last)
	go p.waitExit(p.last)
	return nil
}

// waitExit waits until a program exits and records a fault if nothing had stopped it.
func (p *process) waitExit(g *incarnation) {
	err := g.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := fmt.Sprintf("ended by itself: %v", err)
	switch {
	case g.stopping:
	case p.logSize() == g.logStart:
		// The program has logged nothing yet: a signal that arrives before the program
		// installs its handlers terminates it.
		p.earlyExits = append(p.earlyExits, fault)
		go p.restartEarly(g)
	default:
		p.faults = append(p.faults, fault)
	}
	close(g.ended)
}

// restartEarly restarts the program after one that was terminated before it had installed its
// signal handlers, as a platform does.
func (p *process) restartEarly(ended *incarnation) {
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

// signal sends a signal to the last program by its process ID, and returns that program.
func (p *process) signal(s syscall.Signal) *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.last
	switch s {
	case syscall.SIGKILL:
		p.disrupted.mark()
		g.stopping = true
	case syscall.SIGTERM:
		if !g.stopping {
			p.stopSignals.mark()
		}
		g.stopping = true
	case syscall.SIGHUP:
		p.reloads.mark()
	}
	_ = g.cmd.Process.Signal(s) // it may have exited already
	return g
}

// freeze suspends the program with SIGSTOP for d.
func (p *process) freeze(d time.Duration) {
	defer p.disrupted.begin()()
	g := p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = g.cmd.Process.Signal(syscall.SIGCONT) // it may have been killed
}

// restart sends a signal that terminates the program, waits until it has exited, kills it after the
// grace time, and starts it again.
func (p *process) restart(s syscall.Signal) error {
	g := p.signal(s)
	select {
	case <-g.ended:
	case <-time.After(p.grace):
		p.recordOverdue()
		_ = g.cmd.Process.Kill() // it may have exited just now
		<-g.ended
	}
	return p.startAfter(g)
}

// recordOverdue records as a fault that the program did not exit within the grace time, unless the
// node was disrupted meanwhile.
func (p *process) recordOverdue() {
	now := time.Now()
	if p.disrupted.overlaps(now.Add(-p.grace-quietPeriod), now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf("had not ended %v after SIGTERM", p.grace))
}

// exits returns the faults of the node's programs, and their exits by a signal before they had
// installed signal handlers.
func (p *process) exits() (faults, earlyExits []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.earlyExits
}

// running returns the number of programs that have not exited.
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

// stop kills the program, which is not restarted.
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

// peerPort returns a port that is free on all nodes' addresses and followed by another one, on which
// nodes open connections to targets for each other.
func peerPort(host standin.Owner) int {
	for first := freePort(host); ; {
		second := freePort(host)
		if second == first+1 {
			return first
		}
		first = second
	}
}

func freePort(host standin.Owner) int {
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
