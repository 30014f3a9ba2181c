package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/lab/measure/claims"
	"github.com/knapweedgw/knapweedgw/lab/measure/fanout"
	"github.com/knapweedgw/knapweedgw/lab/measure/membership"
	"github.com/knapweedgw/knapweedgw/lab/measure/news"
	"github.com/knapweedgw/knapweedgw/lab/measure/orders"
	"github.com/knapweedgw/knapweedgw/lab/measure/retries"
	"github.com/knapweedgw/knapweedgw/lab/measure/routing"
)

// sections lists the measurements in the order in which they run. The summary of the last one is the
// last line of the output.
var sections = []measure.Section{
	claims.Section{},
	retries.Section{},
	fanout.Section{},
	orders.Section{},
	membership.Section{},
	news.Section{},
	routing.Section{},
}

// measureCommand returns the command that runs the measurements.
func measureCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "measure [SECTION...]",
		Short:   "Run the seeded measurements on virtual time",
		Example: "  knapweedlab measure --json results.jsonl",
	}
	file := cmd.Flags().String("json", "", "file for the same rows as JSON lines")
	seed := cmd.Flags().Uint64("seed", 1, "seed of every measurement")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var lines io.Writer
		if *file != "" {
			f, err := os.Create(*file)
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			lines = f
		}
		r := measure.NewReporter(cmd.OutOrStdout(), lines)
		for _, s := range sections {
			if len(args) > 0 && !slices.Contains(args, s.Name()) {
				continue
			}
			summary, err := s.Run(cmd.Context(), r, *seed)
			if err != nil {
				return err
			}
			if err := r.Flush(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), summary)
		}
		return nil
	}
	return cmd
}
