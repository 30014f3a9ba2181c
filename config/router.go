package config

import (
	"time"

	"github.com/cockroachdb/errors"
)

// RouterNode is the configuration of a router node, whose routes are defined by a
// platform's catalog. An adapter sets it from the platform's settings.
type RouterNode struct {
	NodeID        string
	Region        string
	FailureDomain string
	// Regions maps the name of each failure domain to its region.
	Regions map[string]string
	// Listen is the address for callers' requests, ReadyListen that for the load
	// balancer's readiness checks.
	Listen      string
	ReadyListen string
	// PeerListen is the address for datagrams and connections of other nodes.
	PeerListen string
	// TunnelListen is the address at which the node opens connections to targets for other nodes; empty
	// for none. All nodes use the same port.
	TunnelListen string
	// Seeds are PeerListen addresses of other nodes; some may be outdated.
	Seeds []string
	// MetricsListen is the address that serves metrics; empty for none.
	MetricsListen string
	// StoreAddr is the ip:port of the platform's store.
	StoreAddr string
	// MemoryLimit is the memory that the process may use, in bytes; 0 for no limit.
	MemoryLimit int64
	// MaxFileDescriptors is the number of file descriptors that the process may open,
	// including sockets; 0 for no limit.
	MaxFileDescriptors int
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace time.Duration
	// RetryShare, RetryWindow and RetryAllowance limit the fleet's retries to a service:
	// within any RetryWindow at most RetryShare * requests + RetryAllowance.
	RetryShare     float64
	RetryWindow    time.Duration
	RetryAllowance float64
}

// Validate returns all errors of the configuration joined, each with its remedy.
func (c *RouterNode) Validate() error {
	var errs []error
	check := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.New(message))
		}
	}
	check(c.NodeID != "", "the node's name is empty: name it in the settings file")
	check(isIPPort(c.Listen), "the callers' address is not ip:port: use an IP number of this VM")
	check(isIPPort(c.ReadyListen), "the readiness address is not ip:port: use an IP number of this VM")
	check(isIPPort(c.PeerListen), "the nodes' address is not ip:port: give the VM's IP number and a range of internal ports")
	check(c.TunnelListen == "" || isIPPort(c.TunnelListen), "the address for tunnels is not ip:port: use an IP number of this VM")
	check(isIPPort(c.StoreAddr), "the store's address is not ip:port: use the IP number of the platform's store")
	check(c.MaxFileDescriptors >= 0, "the limit of descriptors is negative: use 0 for none")
	check(c.ShutdownGrace > 0, "the grace time is not positive: give the time from SIGTERM to SIGKILL in seconds")
	check(c.RetryShare >= 0 && c.RetryShare <= 1, "the retry share is not between 0 and 1: use 0.2")
	check(c.RetryWindow > 0, "the retry window is not positive: use 10 s")
	check(c.RetryAllowance >= 0, "the retry slack is negative: use 0 for none")
	return errors.Join(errs...)
}
