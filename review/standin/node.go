package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of all nodes, each on its own loopback address.
type ports struct{ front, ready, control, metrics, internal int }

// fleet starts and watches the nodes, as the platform does.
type fleet struct {
	dir      string // temporary
	root     string // of the repository
	store    *kvStore
	ports    ports
	memoryMB int
	nodes    []*node
	record   *record
}

type node struct {
	fleet  *fleet
	index  int
	ip     string
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	pid    atomic.Int64
	log    *os.File
}

func newFleet(dir, root string, store *kvStore, count, memoryMB int, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, root: root, store: store, memoryMB: memoryMB, record: rec}
	for range count {
		i := len(f.nodes)
		f.nodes = append(f.nodes, &node{fleet: f, index: i, ip: fmt.Sprintf("127.0.0.%d", 11+i)})
	}
	base, err := f.freePorts(24)
	if err != nil {
		return nil, err
	}
	f.ports = ports{front: base, ready: base + 1, control: base + 2, metrics: base + 3, internal: base + 4}
	return f, nil
}

// freePorts returns the first of n ports that are free on the addresses of all nodes.
func (f *fleet) freePorts(n int) (int, error) {
	for base := 21000 + os.Getpid()%200*40; base < 32000; base += 40 {
		free := true
		for _, m := range f.nodes {
			for p := base; free && p < base+n; p++ {
				ln, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(p)))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (n *node) addr(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }
func (n *node) front() string        { return n.addr(n.fleet.ports.front) }
func (n *node) name() string         { return fmt.Sprintf("edge-%d", n.index+1) }

// settings are those of DEPLOY.md, for a small deployment.
func (n *node) settings() map[string]any {
	f := n.fleet
	var seeds []string
	for _, m := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, m.addr(f.ports.control))
	}
	return map[string]any{
		"node": n.name(), "role": "router", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": n.ip, "zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen": map[string]string{
			"front": n.front(), "ready": n.addr(f.ports.ready), "control": n.addr(f.ports.control),
		},
		"internal_port_range": []int{f.ports.internal, f.ports.internal + 15},
		"seeds":               seeds, "bootstrap": true, "loss_counts": false,
		"limits": map[string]any{
			"cpu_share": 0.4, "cores": 1, "memory_mb": f.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
			"revoke_fail_closed": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
			"budget_slack": 56, "recover_s": 12, "pass_ms": 120, "again_s": 10, "cap_x": 2,
		},
		"platform": map[string]any{
			"address": f.store.addr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	f := n.fleet
	raw, err := json.MarshalIndent(n.settings(), "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, n.name()+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(f.dir, n.name()+".log")); err != nil {
			return err
		}
	}
	n.cmd = exec.Command(filepath.Join(f.root, "target", "knapweedgw"), "route", "--metrics-port", strconv.Itoa(f.ports.metrics))
	n.cmd.Dir = f.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDGW_NODE_FILE=" + path}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.starts++
	n.pid.Store(int64(n.cmd.Process.Pid))
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.record.add("platform: starts %s, start %d", n.name(), n.starts)
	return nil
}

func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.addr(n.fleet.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", n.name())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// allocatedMB returns the memory that the process has allocated and uses now, in MB.
func (n *node) allocatedMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid.Load()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
