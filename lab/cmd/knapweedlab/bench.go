package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/bench"
)

func benchCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "bench",
		Short:   "Measure the gateway's own time, relayed events and memory on this machine",
		Example: "  knapweedlab bench",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return bench.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
