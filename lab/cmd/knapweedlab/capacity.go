package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/capacity"
)

// capacityCommand returns the command that measures the costs per unit of load and prints the
// capacity model computed from them.
func capacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "capacity [PROBE...]",
		Short:   "Measure the slopes and print the capacity tables",
		Long:    "Measure the slopes and print the capacity tables. With probes named, print their slopes only.",
		Example: "  knapweedlab capacity\n  knapweedlab capacity membership claims",
		RunE: func(cmd *cobra.Command, args []string) error {
			probes := capacity.Probes()
			if len(args) > 0 {
				probes = slices.DeleteFunc(probes, func(p capacity.Probe) bool { return !slices.Contains(args, p.Name()) })
			}
			r, err := capacity.Run(cmd.Context(), probes)
			if err != nil {
				return err
			}
			r.WriteSlopes(cmd.OutOrStdout())
			if len(args) > 0 {
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout())
			fmt.Fprintln(cmd.OutOrStdout(), "An average node:")
			capacity.WriteModel(cmd.OutOrStdout(), capacity.Model(r))
			fmt.Fprintln(cmd.OutOrStdout(), "\nThe busiest node:")
			capacity.WriteModel(cmd.OutOrStdout(), capacity.Busiest(r))
			return nil
		},
	}
}
