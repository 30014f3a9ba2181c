package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/experiment"
)

// experimentCommand returns the command that applies a plan of faults.
func experimentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "experiment FILE",
		Short: "Apply a planned sequence of faults to running processes",
		Long: `Apply a planned sequence of faults to running processes.

FILE is JSON: {"steps":[...]}, each step with after_ms, a name, and either
  "put":    {"url":"http://ip:port/lab/faults","body":{"outage":true}}
  "signal": {"pids":[123],"signal":"STOP"}   (STOP, CONT, TERM or KILL)
Each step's outcome is one JSON line; the last line counts them.`,
		Example: "  knapweedlab experiment outage.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var plan experiment.Plan
			if err := json.Unmarshal(raw, &plan); err != nil {
				return errors.Wrapf(err, "parse plan %s", args[0])
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			res, err := experiment.Run(cmd.Context(), plan, func(o experiment.Outcome) { _ = out.Encode(o) })
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), res.Summary())
			if res.Failed > 0 {
				return errors.New("at least one step failed: see its output line")
			}
			return nil
		},
	}
}
