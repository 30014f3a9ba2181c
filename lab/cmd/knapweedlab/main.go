// Command knapweedlab has the laboratory's tools: stand-ins (servers in place of the platform,
// engines and plain services), load and fault generators, and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedlab:", err)
		os.Exit(1)
	}
}

// root returns the command line with all commands.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "knapweedlab",
		Short:         "Stand-ins and load for knapweedgw",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(
		platformCommand(), engineCommand(), serviceCommand(), vmCommand(),
		loadCommand(), portsCommand(), waitCommand(), digestCommand(),
		experimentCommand(), callsCommand(),
		measureCommand(), benchCommand(), capacityCommand(), soakCommand(), soakNodeCommand(),
	)
	return cmd
}
