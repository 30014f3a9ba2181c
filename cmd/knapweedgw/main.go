// Command knapweedgw runs a node of the router fleet and provides the operators' commands.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// version is set with -ldflags at build time.
var version = "dev"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedgw:", err)
		if hint := errors.FlattenHints(err); hint != "" {
			fmt.Fprintln(os.Stderr, "remedy:", hint)
		}
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "knapweedgw",
		Short:         "Router fleet for returning chats",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), routeCommand(), settingsCommand(), statusCommand(), ordersCommand())
	return cmd
}
