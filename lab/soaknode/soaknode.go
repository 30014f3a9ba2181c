// Package soaknode runs a router node whose network to the engines a soak run can disturb.
package soaknode

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/platform"
)

// FaultVariable is the environment variable with the path of a file that holds the name of the fault of
// the node's path to all engines; a missing or empty file is none.
const FaultVariable = "KNAPWEEDLAB_PATH_FAULT_FILE"

const faultInterval = 20 * time.Millisecond

// Run runs a node by the platform's settings file until SIGTERM.
func Run(ctx context.Context, logs io.Writer) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP)
	settings, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	cfg, err := platform.ReadSettings(settings)
	if err != nil {
		return err
	}
	path := standin.NewEnginePath()
	p := platform.NewAdapter(settings, cfg).Platform(cfg)
	p.DialTarget = path.Dial
	follow(path, os.Getenv(FaultVariable))
	k, err := node.NewRouter(cfg, p, logs, prometheus.NewRegistry())
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	go func() {
		for range time.Tick(faultInterval) {
			follow(path, os.Getenv(FaultVariable))
		}
	}()
	<-stop
	return k.Stop(context.WithoutCancel(ctx))
}

// follow applies the fault that the file names.
func follow(path *standin.EnginePath, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		raw = nil // no fault was written yet
	}
	if f := standin.PathFaultOf(strings.TrimSpace(string(raw))); f != path.Fault() {
		path.SetFault(f)
	}
}
