package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/platform"
)

// callsCommand returns the command that measures the call rates of the platform stand-in.
func callsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "calls PLATFORM",
		Short:   "Print the calls a second to the platform stand-in's key-value service",
		Example: "  knapweedlab calls http://127.0.0.1:2379 --over 10s",
		Args:    cobra.ExactArgs(1),
	}
	over := cmd.Flags().Duration("over", 10*time.Second, "time to count for")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		before, err := fetchCalls(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		start := time.Now()
		select {
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		case <-time.After(*over):
		}
		after, err := fetchCalls(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		seconds := time.Since(start).Seconds()
		rate := func(a, b int64) float64 { return float64(a-b) / seconds }
		fmt.Fprintf(cmd.OutOrStdout(), "calls: reads/s=%.2f writes/s=%.2f leases/s=%.2f watches/s=%.2f waiting=%d limited/s=%.2f\n",
			rate(after.Reads, before.Reads), rate(after.Writes, before.Writes), rate(after.Leases, before.Leases),
			rate(after.Watches, before.Watches), after.WaitingWatches, rate(after.Limited, before.Limited))
		return nil
	}
	return cmd
}

// fetchCalls returns the call counters of the platform stand-in at url.
func fetchCalls(ctx context.Context, url string) (platform.Calls, error) {
	var c platform.Calls
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/lab/calls", nil)
	if err != nil {
		return c, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, errors.Wrap(err, "calls")
	}
	defer func() { _ = resp.Body.Close() }()
	return c, errors.Wrap(json.NewDecoder(resp.Body).Decode(&c), "calls")
}
