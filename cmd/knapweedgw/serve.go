package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/node"
)

func serveCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one node until SIGTERM or SIGINT",
		Long: "Run one node until SIGTERM or SIGINT. It then fails /readyz, tells its peers that\n" +
			"it leaves, serves on for --drain-grace, finishes every request in progress and\n" +
			"exits with 0. A second signal, or --drain-deadline, cuts off what is still in\n" +
			"progress; the exit code is then 1.\n" +
			"Each flag can be set by environment variable: --node-id by KNAPWEEDGW_NODE_ID.",
		Example: "  knapweedgw serve --node-id entry-1 --region cantabrico --failure-domain santander-a \\\n" +
			"    --store http://10.0.0.2:2379 --vm-list http://10.0.0.3/v1/vms",
		Args: cobra.NoArgs,
	}
	cfg := config.BindFlags(cmd.Flags())
	cmd.Flags().BoolVar(&check, "check", false, "validate the configuration and exit")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return err
		}
		if err := cfg.Validate(); err != nil {
			return err
		}
		if check {
			fmt.Fprintln(cmd.OutOrStdout(), "configuration is valid")
			return nil
		}
		return serve(cmd.Context(), cfg)
	}
	return cmd
}

func serve(ctx context.Context, cfg *config.Node) error {
	setMemoryLimit(int64(cfg.MemoryMB) << 20)
	k, err := node.New(cfg, os.Stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := k.Start(ctx); err != nil {
		return err
	}
	<-signals
	return stop(k, cfg, signals)
}

// errCutOff means that a second signal or the drain deadline ended the stop while requests were
// in progress.
var errCutOff = errors.WithHint(
	errors.New("stopped before every request in progress had ended"),
	"send one signal only and raise --drain-deadline, or set it to 0, to wait for all of them")

// stop drains and stops the node. After a second signal or the drain deadline it stops
// waiting for requests in progress and returns errCutOff.
func stop(k *kernel.Kernel, cfg *config.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cfg.DrainDeadline > 0 {
		ctx, cancel = context.WithTimeout(ctx, cfg.DrainDeadline)
		defer cancel()
	}
	go func() {
		<-signals
		cancel()
	}()
	err := k.Stop(ctx)
	if ctx.Err() != nil {
		return errors.CombineErrors(errCutOff, err)
	}
	return err
}
