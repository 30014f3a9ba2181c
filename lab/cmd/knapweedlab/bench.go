package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/bench"
)

// benchCommand returns the command that runs the benchmarks of lab/bench.
func benchCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "bench [PART...]",
		Short:     "Measure the gateway's own time, relayed events and memory on this machine",
		Example:   "  knapweedlab bench first-token relay",
		Args:      cobra.OnlyValidArgs,
		ValidArgs: bench.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			return bench.Run(cmd.Context(), cmd.OutOrStdout(), args)
		},
	}
}
