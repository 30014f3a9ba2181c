package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/operator"
)

func settingsGetCommand(connect connector) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "get TEAM",
		Short: "Print a team's settings in force, or those of an earlier revision",
		Long: "Print a team's settings in force, or those of an earlier revision.\n" +
			"The document goes to standard output, its revision to standard error.",
		Example: "  knapweedgw settings get renovacion > team.json\n" +
			"  knapweedgw settings get renovacion --revision 37 > former.json",
		Args: cobra.ExactArgs(1),
	}
	revision := cmd.Flags().Int64("revision", 0, "earlier revision to print, see history; 0 is the one in force")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := connect(cmd)
		if err != nil {
			return err
		}
		r, err := readRecord(cmd, c, args[0], *revision)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "revision %d, accepted %s, by %s\n", r.Revision, formatTime(r.At), formatAuthor(r.Author))
		var out bytes.Buffer
		if err := json.Indent(&out, r.Document, "", "  "); err != nil {
			return errors.Wrap(err, "document")
		}
		fmt.Fprintln(cmd.OutOrStdout(), out.String())
		return nil
	}
	return cmd
}

// readRecord returns the team's accepted record: that of the given revision, or the current one if
// revision is 0.
func readRecord(cmd *cobra.Command, c *operator.Client, team string, revision int64) (accepted.Record, error) {
	if revision != 0 {
		return readEarlierRecord(cmd, c, team, revision)
	}
	t, err := c.Read(cmd.Context(), team)
	if err != nil {
		return accepted.Record{}, err
	}
	if t.Pending() {
		fmt.Fprintf(cmd.ErrOrStderr(), "change %d by %s is not decided yet\n", t.Change, formatAuthor(t.ChangeInfo.Author))
	}
	if t.Change != 0 && t.Status.Change == t.Change && t.Status.Refused() {
		fmt.Fprintf(cmd.ErrOrStderr(), "change %d by %s was refused; see settings status\n", t.Change, formatAuthor(t.Status.Author))
	}
	if t.Record.Revision == 0 || t.Record.Deleted {
		return accepted.Record{}, errors.WithHint(errors.Wrap(operator.ErrNoTeam, team), "write them with 'knapweedgw settings set'")
	}
	return t.Record, nil
}

func readEarlierRecord(cmd *cobra.Command, c *operator.Client, team string, revision int64) (accepted.Record, error) {
	records, err := c.History(cmd.Context(), team)
	if err != nil {
		return accepted.Record{}, err
	}
	for _, r := range records {
		if r.Revision == revision && !r.Deleted {
			return r, nil
		}
	}
	err = errors.Newf("team %s has no document of revision %d among its last %d", team, revision, accepted.HistoryLength)
	return accepted.Record{}, errors.WithHint(err, "list them with 'knapweedgw settings history'")
}

func settingsHistoryCommand(connect connector) *cobra.Command {
	return &cobra.Command{
		Use:     "history TEAM",
		Short:   fmt.Sprintf("List a team's last %d accepted revisions, newest first", accepted.HistoryLength),
		Example: "  knapweedgw settings history renovacion",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := connect(cmd)
			if err != nil {
				return err
			}
			records, err := c.History(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			w := newTable(cmd.OutOrStdout())
			fmt.Fprintln(w, "REVISION\tACCEPTED\tBY\tBYTES")
			for _, r := range records {
				size := fmt.Sprint(len(r.Document))
				if r.Deleted {
					size = "deleted"
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Revision, formatTime(r.At), formatAuthor(r.Author), size)
			}
			return w.Flush()
		},
	}
}

func settingsStatusCommand(connect connector) *cobra.Command {
	return &cobra.Command{
		Use:   "status [TEAM...]",
		Short: "Show what became of the teams' last changes, and what to mend",
		Example: "  knapweedgw settings status\n" +
			"  knapweedgw settings status renovacion",
		RunE: func(cmd *cobra.Command, teams []string) error {
			c, err := connect(cmd)
			if err != nil {
				return err
			}
			if len(teams) == 0 {
				if teams, err = c.Teams(cmd.Context()); err != nil {
					return err
				}
			}
			return printStatus(cmd, c, teams)
		},
	}
}

func printStatus(cmd *cobra.Command, c *operator.Client, teams []string) error {
	w := newTable(cmd.OutOrStdout())
	var faults []string
	fmt.Fprintln(w, "TEAM\tIN FORCE\tLAST CHANGE\tBY\tAT")
	for _, team := range teams {
		t, err := c.Read(cmd.Context(), team)
		if err != nil {
			return err
		}
		state, by, at := changeState(t)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", team, formatRevision(t.Record), state, formatAuthor(by), formatTime(at))
		if t.Status.Change != t.Change {
			continue
		}
		for _, f := range t.Status.Faults {
			faults = append(faults, team+": "+f.String())
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, f := range faults {
		fmt.Fprintln(cmd.OutOrStdout(), f)
	}
	return nil
}

func formatRevision(r accepted.Record) string {
	if r.Revision == 0 || r.Deleted {
		return "none"
	}
	return fmt.Sprintf("revision %d", r.Revision)
}

func changeState(t operator.TeamState) (state, by string, at time.Time) {
	switch {
	case t.Pending():
		return "undecided", t.ChangeInfo.Author, t.ChangeInfo.At
	case t.Change != 0 && t.Status.Change == t.Change && t.Status.Refused():
		return "refused", t.Status.Author, t.Status.At
	case t.Record.Deleted:
		return "deleted", t.Record.Author, t.Record.At
	}
	return "accepted", t.Record.Author, t.Record.At
}

func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 8, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

func formatAuthor(author string) string {
	if author == "" {
		return "(unnamed)"
	}
	return author
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}
