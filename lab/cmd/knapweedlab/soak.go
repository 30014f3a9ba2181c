package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/soak"
	"github.com/knapweedgw/knapweedgw/lab/soaknode"
)

// toolHost is the standin.Owner of a command, in place of a *testing.T: it runs the cleanups of the
// stand-ins, and a fatal error of theirs ends the process.
type toolHost struct {
	mu       sync.Mutex
	cleanups []func()
}

// Cleanup adds f to the functions that close calls.
func (h *toolHost) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanups = append(h.cleanups, f)
}

// Failed returns false: a failure ends the process.
func (h *toolHost) Failed() bool { return false }

// Helper does nothing.
func (h *toolHost) Helper() {}

// Fatal prints the error and ends the process with exit code 1, without cleanups.
func (h *toolHost) Fatal(args ...any) {
	fmt.Fprintln(os.Stderr, append([]any{"knapweedlab:"}, args...)...)
	os.Exit(1)
}

// Fatalf is Fatal with a format.
func (h *toolHost) Fatalf(format string, args ...any) { h.Fatal(fmt.Sprintf(format, args...)) }

// Logf prints a line to standard error.
func (h *toolHost) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// close calls the cleanups in the order in which they were added.
func (h *toolHost) close() {
	for _, f := range h.cleanups {
		f()
	}
}

// soakCommand returns the command that runs the soak test. A promise is a property that must hold in
// every run; a finding is an event that breaks a promise only above a certain number.
func soakCommand() *cobra.Command {
	var o soak.Options
	var seeds int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run router nodes as processes under seeded faults and check what must hold",
		Long: "Run router nodes as processes under seeded faults and check what must hold.\n" +
			"Each seed prints one line; a broken promise prints the plan and keeps the logs.",
		Example: "  knapweedlab soak --program bin/knapweedgw --seed 100 --seeds 50",
		Args:    cobra.NoArgs,
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	f.DurationVar(&o.Length, "length", 20*time.Second, "length of a run; its last 6s are calm")
	f.StringVar((*string)(&o.Profile), "profile", string(soak.Mixed), "mixed for every kind of step, planned for planned work only, own for nodes of the callers' own interface, ending for a request that ends its targets, ending_part for a prompt part that does, uneven for connections of which most go to one node, evacuating for failure domains that are evacuated and come back cold, announcing for targets that say that they leave or want rest, owners for owners of a service's places that end, partitioned for nodes that lose the path to all engines, unframed for targets whose answers end with their connections, versions for targets of several software versions, restored for a store that comes back from older copies")
	f.BoolVar(&o.HalfClose, "half-close", false, "add callers that close their sending side behind a request")
	f.IntVar(&o.Nodes, "nodes", 5, "number of node processes")
	f.IntVar(&o.Callers, "callers", 16, "number of callers")
	f.StringVar(&o.Program, "program", "bin/knapweedgw", "path of knapweedgw")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		broken := 0
		for range seeds {
			n, err := soakOnce(cmd, o)
			if err != nil {
				return err
			}
			broken += n
			o.Seed++
		}
		if broken > 0 {
			return fmt.Errorf("%d promises broken", broken)
		}
		return nil
	}
	return cmd
}

// soakOnce runs one seed, prints its report and returns the number of broken promises. The logs are
// kept if there is one, or a finding.
func soakOnce(cmd *cobra.Command, o soak.Options) (broken int, err error) {
	host := &toolHost{}
	defer host.close()
	if o.Dir, err = os.MkdirTemp("", "soak"); err != nil {
		return 0, err
	}
	if o.LabProgram, err = os.Executable(); err != nil {
		return 0, err
	}
	report, err := soak.Run(cmd.Context(), host, o)
	if err != nil {
		return 0, err
	}
	out := cmd.OutOrStdout()
	fmt.Fprintln(out, report)
	for _, f := range report.Findings {
		fmt.Fprintln(out, "finding:", f)
	}
	if len(report.Broken)+len(report.Findings) == 0 {
		return 0, os.RemoveAll(o.Dir)
	}
	fmt.Fprintln(out, "logs:", o.Dir)
	for _, b := range report.Broken {
		fmt.Fprintln(out, "broken:", b)
	}
	for _, s := range report.Steps {
		fmt.Fprintln(out, s)
	}
	return len(report.Broken), nil
}

// soakNodeCommand returns the command that runs a router node for the soak test, whose network to the
// engines the test can disturb.
func soakNodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "soak-node",
		Short:  "Run a router node whose network to the engines a soak run can disturb",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return soaknode.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
