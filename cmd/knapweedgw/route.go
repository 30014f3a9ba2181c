package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/platform"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const (
	// settingsInterval is the time between two reads of the settings file, which
	// may change without a SIGHUP. It is shorter than the lag of the platform's list
	// of other machines.
	settingsInterval = 2 * time.Second
	// heapShare is the fraction of the process's memory limit that the Go heap may
	// use; the rest is for stacks and unread data in socket buffers.
	heapShare = 0.7
	// gcPercent reduces peak memory at the cost of CPU time: it saves 3.6 of 16.5 MB
	// per node for 3.5 ms more CPU time per second. Values below 30 make the garbage
	// collector run more often without reducing the peak.
	gcPercent = 30
)

func routeCommand() *cobra.Command {
	var check bool
	var metricsPort int
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Run one router node on the platform until SIGTERM",
		Long: "Run one router node on the platform until SIGTERM. It reads the platform's settings\n" +
			"file, whose path stands in " + platform.SettingsVariable + ", and reads it again on SIGHUP\n" +
			"and every " + settingsInterval.String() + ". After SIGTERM the node is not ready, serves on for the\n" +
			"grace time of the settings and exits with 0.",
		Args: cobra.NoArgs,
	}
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port of /metrics on the node's own address; 0 for none")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		// Registered first, since SIGHUP terminates a process without a handler.
		signals := notifySignals()
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return err
		}
		path, err := platform.SettingsPath()
		if err != nil {
			return err
		}
		cfg, err := platform.ReadSettings(path)
		if err != nil {
			return err
		}
		if check {
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		}
		if metricsPort > 0 {
			host, _, _ := net.SplitHostPort(cfg.Listen) // cfg.Listen was validated by ReadSettings
			cfg.MetricsListen = net.JoinHostPort(host, strconv.Itoa(metricsPort))
		}
		return route(cmd.Context(), path, cfg, signals)
	}
	return cmd
}

// nodeSignals are the channels of a running node's signals. Stop and reload signals have
// separate channels: signal.Notify drops signals for a full channel, and pending SIGHUPs must
// not cause a SIGTERM to be dropped.
type nodeSignals struct{ stop, reload chan os.Signal }

func notifySignals() nodeSignals {
	s := nodeSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func route(ctx context.Context, path string, cfg *config.RouterNode, signals nodeSignals) error {
	setMemoryLimit(cfg.MemoryLimit)
	debug.SetGCPercent(gcPercent)
	registry := telemetry.NewRegistry()
	logs := telemetry.NewAsyncWriter(os.Stdout, registry)
	defer logs.Flush()
	logger, err := telemetry.NewLogger(logs, "info", cfg.NodeID)
	if err != nil {
		return err
	}
	adapter := platform.NewAdapter(path, cfg)
	k, err := node.NewRouter(cfg, adapter.Platform(cfg), logs, registry)
	if err != nil {
		return err
	}
	logger.Info("starts", "version", version, "domain", cfg.FailureDomain, "listen", cfg.Listen,
		"peer_listen", cfg.PeerListen, "store", cfg.StoreAddr, "seeds", cfg.Seeds)
	if err := k.Start(ctx); err != nil {
		return err
	}
	return runUntilTerm(k, adapter, logger, signals)
}

// setMemoryLimit makes the garbage collector keep the heap of a process with that much memory, in bytes, within
// heapShare; 0 is no limit.
func setMemoryLimit(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}

// runUntilTerm reloads the settings on SIGHUP and periodically. On SIGTERM or SIGINT it stops
// the node and returns the error of the stop.
func runUntilTerm(k *kernel.Kernel, a *platform.Adapter, l *log.Logger, signals nodeSignals) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			reload(a, l, "interval")
		case <-signals.reload:
			reload(a, l, "signal")
		case s := <-signals.stop:
			l.Info("stops", "signal", s.String())
			err := k.Stop(context.Background())
			l.Info("stopped", "err", err)
			return err
		}
	}
}

func reload(a *platform.Adapter, l *log.Logger, cause string) {
	cfg, err := a.Reload()
	if err != nil {
		l.Error("failed to reload the settings; the previous settings stay in effect", "cause", cause, "err", err)
		return
	}
	if cause == "signal" {
		l.Info("settings reloaded", "cause", cause, "seeds", cfg.Seeds)
	}
}
