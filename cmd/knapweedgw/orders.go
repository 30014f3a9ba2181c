package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

func ordersCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "orders",
		Short: "Show the orders to engines",
	}
	endpoints := cmd.PersistentFlags().StringSlice("store", nil, "URLs of the platform's key-value service")
	status := &cobra.Command{
		Use:   "status",
		Short: "Show each pool's issuer, desired state, progress and last errors",
		Long: "Show each pool's issuer, desired state, progress and last errors,\n" +
			"as recorded in the platform's key-value service.",
		Example: "  knapweedgw orders status --store http://10.0.0.2:2379",
		Args:    cobra.NoArgs,
	}
	status.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return err
		}
		if len(*endpoints) == 0 {
			return errors.New("--store is empty: list the URLs of the platform's key-value service")
		}
		pools, err := readPools(cmd.Context(), etcd.New(*endpoints, etcd.DefaultTimeout))
		if err != nil {
			return err
		}
		return printPools(cmd.OutOrStdout(), pools)
	}
	cmd.AddCommand(status)
	return cmd
}

// poolStatus is the record of an engine pool with the lease of the node that currently issues
// its orders.
type poolStatus struct {
	name   string // region/pool
	holder lease.Record
	record orders.Record
}

func readPools(ctx context.Context, s store.Store) ([]poolStatus, error) {
	duties, err := s.List(ctx, lease.Key(orders.LeasePrefix))
	if err != nil {
		return nil, err
	}
	holders := make(map[string]lease.Record)
	for _, kv := range duties.KVs {
		rec, err := lease.ParseRecord(kv)
		if err != nil {
			return nil, err
		}
		holders[strings.TrimPrefix(kv.Key, lease.Key(orders.LeasePrefix))] = rec
	}
	records, err := s.List(ctx, orders.RecordPrefix)
	if err != nil {
		return nil, err
	}
	var pools []poolStatus
	for _, kv := range records.KVs {
		rec, err := orders.ParseRecord(kv)
		if err != nil {
			return nil, err
		}
		name := strings.TrimPrefix(kv.Key, orders.RecordPrefix)
		pools = append(pools, poolStatus{name, holders[name], rec})
	}
	return pools, nil
}

func printPools(w io.Writer, pools []poolStatus) error {
	t := newTable(w)
	fmt.Fprintln(t, "POOL\tISSUER\tFENCE\tVERSION\tROLE\tFENCING\tDONE\tLOADING\tWRONG\tFAILED\tUNKNOWN\tSTATE")
	for _, p := range pools {
		r, c := p.record, p.record.Progress
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%s\n",
			p.name, orNone(p.holder.Holder), r.Fence, r.Spec.Desired.Version, r.Spec.Desired.Role, r.Spec.Fencing,
			c.Done, c.Engines, c.Loading, c.Wrong, c.Failed, c.Unknown, rollOutState(r))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range pools {
		printFailures(w, p)
	}
	return nil
}

func rollOutState(r orders.Record) string {
	switch {
	case r.Halted != "":
		return "stopped"
	case r.Progress.Done == r.Progress.Engines:
		return "done"
	}
	return "in progress"
}

func printFailures(w io.Writer, p poolStatus) {
	if p.record.Halted != "" {
		fmt.Fprintf(w, "%s: roll-out stopped: %s\n", p.name, p.record.Halted)
		fmt.Fprintf(w, "%s: remedy: set another version, or raise roll_out to try this one again\n", p.name)
	}
	for _, e := range p.record.Errors {
		fmt.Fprintf(w, "%s: %s failed %d times: %s\n", p.name, e.Engine, e.Attempts, e.Error)
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
