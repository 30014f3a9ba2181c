package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Read and write a team's settings"}
	var endpoints []string
	cmd.PersistentFlags().StringSliceVar(&endpoints, "store", nil, "URLs of the platform's key-value service")
	connect := func(cmd *cobra.Command) (store.Store, error) {
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return nil, err
		}
		if len(endpoints) == 0 {
			return nil, errors.New("--store is empty: list the URLs of the platform's key-value service")
		}
		return etcd.New(endpoints, etcd.DefaultTimeout), nil
	}
	cmd.AddCommand(settingsSetCommand(connect))
	return cmd
}

type connector func(*cobra.Command) (store.Store, error)

func settingsSetCommand(connect connector) *cobra.Command {
	return &cobra.Command{
		Use:     "set TEAM FILE",
		Short:   "Replace a team's settings document",
		Example: "  knapweedgw settings set renovacion team.json --store http://10.0.0.2:2379",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := connect(cmd)
			if err != nil {
				return err
			}
			raw, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			var doc settings.Team
			if err := json.Unmarshal(raw, &doc); err != nil {
				return errors.Wrapf(err, "%s is not a settings document", args[1])
			}
			key := settings.TeamKey(args[0])
			cur, _, err := s.Get(cmd.Context(), key)
			if err != nil {
				return err
			}
			rev, ok, err := s.Commit(cmd.Context(), store.Txn{
				Compares: []store.Compare{{Key: key, ModRevision: cur.ModRevision}},
				Ops:      []store.Op{{Key: key, Value: raw}},
			})
			if err != nil {
				return err
			}
			if !ok {
				return errors.New("the settings changed meanwhile; read them again and repeat the change")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "written at revision %d\n", rev)
			return nil
		},
	}
}
