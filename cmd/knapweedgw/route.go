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
	// settingsInterval is the time between two looks at the settings file,
	// which may change without a signal: below the time that the platform's
	// list of other machines lags.
	settingsInterval = 2 * time.Second
	// heapShare is the part of the process's memory that the Go heap may use;
	// the rest is for stacks and unread bytes of sockets.
	heapShare = 0.7
	// gcPercent trades processor time for memory at its peak: of 16.5 MB a node,
	// 3.6 go for 3.5 ms more of the processor a second. Below 30 the collector
	// runs more often and the peak stays where it is.
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
		// First of all: a hangup ends a process that doesn't ask for it.
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
			host, _, _ := net.SplitHostPort(cfg.Listen) // validated above
			cfg.MetricsListen = net.JoinHostPort(host, strconv.Itoa(metricsPort))
		}
		return route(cmd.Context(), path, cfg, signals)
	}
	return cmd
}

// nodeSignals are the signals of a running node. Each kind has a channel of its own:
// a full one drops what comes, and hangups must not cost a stop.
type nodeSignals struct{ stop, reload chan os.Signal }

func notifySignals() nodeSignals {
	s := nodeSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func route(ctx context.Context, path string, cfg *config.Router, signals nodeSignals) error {
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryLimit)))
	}
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

// runUntilTerm reloads the settings until a signal ends the node.
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
		l.Error("settings not reloaded; the last ones stay in force", "cause", cause, "err", err)
		return
	}
	if cause == "signal" {
		l.Info("settings reloaded", "cause", cause, "seeds", cfg.Seeds)
	}
}
