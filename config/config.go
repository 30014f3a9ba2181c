// Package config defines and validates a node's configuration. Node is read from
// flags and environment variables, Router from the settings file of a platform.
package config

import (
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of the environment variables that set flags: --peer-listen
// is set by KNAPWEEDGW_PEER_LISTEN.
const EnvPrefix = "KNAPWEEDGW_"

// Node is the configuration of a node that is run with the serve command; see BindFlags for
// the meaning and unit of each field.
type Node struct {
	NodeID           string
	Region           string
	FailureDomain    string
	Listen           string
	PeerListen       string
	TunnelListen     string
	StoreEndpoints   []string
	VMListURL        string
	VMListInterval   time.Duration
	LogLevel         string
	MaxBodyBytes     int64
	BodyTimeout      time.Duration
	MemoryMB         int
	MaxFDs           int
	MaxAttempts      int
	RetryShare       float64
	ResumeHold       time.Duration
	StreamHold       time.Duration
	AdmissionTimeout time.Duration
	AdmissionResync  time.Duration
	DutyTTL          time.Duration
	DrainGrace       time.Duration
	DrainDeadline    time.Duration
	ClaimRetention   time.Duration
	ClaimInterval    time.Duration
	IncarnationTime  time.Time
}

// Defaults and minimums of the optional flags.
const (
	defaultVMListInterval   = 500 * time.Millisecond
	defaultMaxBodyBytes     = 4 << 20
	defaultBodyTimeout      = 15 * time.Second
	defaultMemoryMB         = 512
	defaultMaxFDs           = 8192
	defaultMaxAttempts      = 3
	defaultRetryShare       = 0.2
	defaultResumeHold       = 10 * time.Second
	defaultStreamHold       = 250 * time.Millisecond
	defaultAdmissionTimeout = 25 * time.Millisecond
	defaultAdmissionResync  = 5 * time.Second
	defaultDutyTTL          = 15 * time.Second
	minDutyTTL              = 3 * time.Second
	defaultDrainGrace       = 2 * time.Second
	defaultClaimRetention   = 15 * time.Minute
	minClaimRetention       = time.Minute
	defaultClaimInterval    = 140 * time.Millisecond
)

// BindFlags registers the node's flags in fs and returns the Node that they set.
func BindFlags(fs *pflag.FlagSet) *Node {
	c := &Node{IncarnationTime: time.Now()}
	fs.StringVar(&c.NodeID, "node-id", "", "unique ID of this VM in the VM list (required)")
	fs.StringVar(&c.Region, "region", "", "region of this VM (required)")
	fs.StringVar(&c.FailureDomain, "failure-domain", "", "failure domain of this VM (required)")
	fs.StringVar(&c.Listen, "listen", "127.0.0.1:8080", "ip:port for callers, metrics and health")
	fs.StringVar(&c.PeerListen, "peer-listen", "127.0.0.1:8081", "ip:port for other nodes")
	fs.StringVar(&c.TunnelListen, "tunnel-listen", "", "ip:port at which this node opens connections to targets for nodes that have lost their path; the same port on all nodes, empty for none")
	fs.StringSliceVar(&c.StoreEndpoints, "store", nil, "URLs of the platform's key-value service (required)")
	fs.StringVar(&c.VMListURL, "vm-list", "", "URL of the platform's VM list (required)")
	fs.DurationVar(&c.VMListInterval, "vm-list-interval", defaultVMListInterval, "time between reads of the VM list")
	fs.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.Int64Var(&c.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "largest request body in bytes")
	fs.DurationVar(&c.BodyTimeout, "body-timeout", defaultBodyTimeout, "time a caller has to send header and body")
	fs.IntVar(&c.MemoryMB, "memory-mb", defaultMemoryMB, "memory that the process may use, in MB: a third for callers' connections, three tenths for what is kept of their requests; 0 for no limit")
	fs.IntVar(&c.MaxFDs, "max-fds", defaultMaxFDs, "file descriptors that the process may open: 45% of all but 300 for callers' connections; 0 for no limit")
	fs.IntVar(&c.MaxAttempts, "max-attempts", defaultMaxAttempts, "most targets tried for one request")
	fs.Float64Var(&c.RetryShare, "retry-share", defaultRetryShare, "most retries a request, on average: the fleet's load grows by this share at most")
	fs.DurationVar(&c.ResumeHold, "resume-hold", defaultResumeHold, "time an engine is asked to hold a cut stream for resumption; 0 for none")
	fs.DurationVar(&c.StreamHold, "stream-hold", defaultStreamHold, "longest time empty opening events of a stream are held back, so that an overload behind them can be retried; 0 for none")
	fs.DurationVar(&c.AdmissionTimeout, "admission-timeout", defaultAdmissionTimeout, "shortest wait for an owner's answer before the node decides by its own estimate; at most four times that")
	fs.DurationVar(&c.AdmissionResync, "admission-resync", defaultAdmissionResync, "interval of a node's full account of its places to each owner")
	fs.DurationVar(&c.DrainGrace, "drain-grace", defaultDrainGrace, "time without a new request, after readiness failed, before the listener closes; at most ten times that")
	fs.DurationVar(&c.DutyTTL, "duty-ttl", defaultDutyTTL, "time after which another node may take over the orders of a node that doesn't renew its lease; whole seconds")
	fs.DurationVar(&c.DrainDeadline, "drain-deadline", 0, "longest wait for requests in progress when stopping; 0 waits for all")
	fs.DurationVar(&c.ClaimRetention, "claim-retention", defaultClaimRetention, "time for which an Idempotency-Key runs at most once; the same on all nodes")
	fs.DurationVar(&c.ClaimInterval, "claim-interval", defaultClaimInterval, "shortest time between two writes of a shard of claims")
	return c
}

// ApplyEnv sets each flag that was not given on the command line from its
// environment variable, if there is one. It returns an error that names every
// variable with an invalid value.
func ApplyEnv(fs *pflag.FlagSet) error {
	var errs error
	fs.VisitAll(func(f *pflag.Flag) {
		name := EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		v, ok := os.LookupEnv(name)
		if !ok || f.Changed {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			errs = errors.Join(errs, errors.Wrapf(err, "%s", name))
		}
	})
	return errs
}

// Validate returns all errors of the configuration joined, each with its remedy.
func (c *Node) Validate() error {
	var errs []error
	check := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.New(message))
		}
	}
	check(c.NodeID != "", "--node-id is empty: set it to the VM's ID in the VM list")
	check(c.Region != "", "--region is empty: set it to the VM's region")
	check(c.FailureDomain != "", "--failure-domain is empty: set it to the VM's failure domain")
	check(isIPPort(c.Listen), "--listen is not ip:port: use an IP number of this VM")
	check(isIPPort(c.PeerListen), "--peer-listen is not ip:port: use an IP number of this VM")
	check(!isUnspecified(c.PeerListen), "--peer-listen is no address that others can reach: use an IP number of this VM")
	check(c.TunnelListen == "" || isIPPort(c.TunnelListen) && !isUnspecified(c.TunnelListen), "--tunnel-listen is not ip:port: use an IP number of this VM, or leave it empty")
	check(len(c.StoreEndpoints) > 0, "--store is empty: list the URLs of the platform's key-value service")
	for _, ep := range c.StoreEndpoints {
		check(isHTTPURL(ep), "--store "+ep+" is not a URL: use http://ip:port")
	}
	check(isHTTPURL(c.VMListURL), "--vm-list is not a URL: use http://ip:port/path")
	check(c.VMListInterval > 0, "--vm-list-interval is not positive: use 500ms or more")
	check(c.MaxBodyBytes > 0, "--max-body-bytes is not positive: use 4194304 or more")
	check(c.BodyTimeout > 0, "--body-timeout is not positive: use 15s")
	check(c.MemoryMB >= 0, "--memory-mb is negative: use 0 for no limit")
	check(c.MaxFDs >= 0, "--max-fds is negative: use 0 for no limit")
	check(c.MaxAttempts > 0, "--max-attempts is not positive: use 1 or more")
	check(c.RetryShare >= 0 && c.RetryShare <= 1, "--retry-share is not between 0 and 1: use 0.2")
	check(c.ResumeHold >= 0, "--resume-hold is negative: use 0 for none")
	check(c.StreamHold >= 0, "--stream-hold is negative: use 0 for none")
	check(c.AdmissionTimeout > 0, "--admission-timeout is not positive: use 25ms")
	check(c.AdmissionResync > 0, "--admission-resync is not positive: use 5s")
	check(c.DutyTTL >= minDutyTTL && c.DutyTTL%time.Second == 0, "--duty-ttl is under 3s or not in whole seconds: use 15s")
	check(c.DrainGrace >= 0, "--drain-grace is negative: use 0 or more")
	check(c.ClaimRetention >= minClaimRetention, "--claim-retention is under 1m: use 15m")
	check(c.ClaimInterval > 0, "--claim-interval is not positive: use 140ms")
	check(c.DrainDeadline >= 0, "--drain-deadline is negative: use 0 for none")
	return errors.Join(errs...)
}

func isIPPort(s string) bool {
	host, _, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil
}

func isUnspecified(s string) bool {
	host, _, _ := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return ip != nil && ip.IsUnspecified()
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
