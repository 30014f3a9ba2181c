package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/capacity"
)

func capacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "capacity",
		Short:   "Measure the slopes and print the capacity tables",
		Example: "  knapweedlab capacity",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			probes := []capacity.Probe{
				capacity.Ranking{}, capacity.Cell{}, capacity.Settings{}, capacity.Peer{}, capacity.VMList{},
			}
			r, err := capacity.Run(cmd.Context(), probes)
			if err != nil {
				return err
			}
			r.WriteSlopes(cmd.OutOrStdout())
			fmt.Fprintln(cmd.OutOrStdout())
			capacity.WriteModel(cmd.OutOrStdout(), capacity.Model(r))
			return nil
		},
	}
}
