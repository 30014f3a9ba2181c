package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/settings/operator"
)

const revisionHelp = "revision that get printed; fails if another change came since (default: whatever is in force)"

func settingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings document and print every fault; FILE - is standard input",
		Example: "  knapweedgw settings check team.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if err := operator.Check(raw); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the document is valid; clashes with other teams are checked when it is accepted")
			return nil
		},
	}
}

func settingsSetCommand(connect connector) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set TEAM FILE",
		Short: "Replace a team's settings document; FILE - is standard input",
		Long: "Replace a team's settings document; FILE - is standard input.\n" +
			"The document is checked, written, and accepted by one of the nodes; until then,\n" +
			"and if it is refused, the team's last accepted one stays in force.",
		Example: "  knapweedgw settings set renovacion team.json --store http://10.0.0.2:2379\n" +
			"  knapweedgw settings set renovacion team.json --revision 41 --wait 20s",
		Args: cobra.ExactArgs(2),
	}
	revision := cmd.Flags().Int64("revision", operator.AnyRevision, revisionHelp)
	wait := cmd.Flags().Duration("wait", 0, "time to wait until the change is accepted or refused; 0 doesn't wait")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := connect(cmd)
		if err != nil {
			return err
		}
		raw, err := readDocument(cmd, args[1])
		if err != nil {
			return err
		}
		change, err := c.Set(cmd.Context(), args[0], raw, *revision)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "written as change %d\n", change)
		if *wait <= 0 {
			return nil
		}
		return awaitDecision(cmd, c, args[0], change, *wait)
	}
	return cmd
}

func awaitDecision(cmd *cobra.Command, c *operator.Client, team string, change int64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	st, err := c.Await(ctx, team, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d\n", st.Revision)
	return nil
}

func settingsDeleteCommand(connect connector) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "delete TEAM",
		Short:   "Delete a team's settings; its callers are refused from then on",
		Example: "  knapweedgw settings delete renovacion --revision 41",
		Args:    cobra.ExactArgs(1),
	}
	revision := cmd.Flags().Int64("revision", operator.AnyRevision, revisionHelp)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := connect(cmd)
		if err != nil {
			return err
		}
		change, err := c.Delete(cmd.Context(), args[0], *revision)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "deleted as change %d\n", change)
		return nil
	}
	return cmd
}

func readDocument(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		raw, err := io.ReadAll(cmd.InOrStdin())
		return raw, errors.Wrap(err, "standard input")
	}
	return os.ReadFile(file)
}
