package main

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/settings/operator"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

// connector returns a settings client configured by the command's flags.
type connector func(*cobra.Command) (*operator.Client, error)

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Read and write teams' settings",
		Long: "Read and write teams' settings in the platform's key-value service.\n" +
			"Each flag can be set by environment variable: --store by KNAPWEEDGW_STORE.\n" +
			"docs/SETTINGS.md lists every setting.",
	}
	endpoints := cmd.PersistentFlags().StringSlice("store", nil, "URLs of the platform's key-value service")
	author := cmd.PersistentFlags().String("author", os.Getenv("USER"), "name that other operators see beside your changes")
	connect := func(cmd *cobra.Command) (*operator.Client, error) {
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return nil, err
		}
		if len(*endpoints) == 0 {
			return nil, errors.New("--store is empty: list the URLs of the platform's key-value service")
		}
		s := etcd.New(*endpoints, etcd.DefaultTimeout)
		return &operator.Client{Store: s, Author: *author, Now: time.Now}, nil
	}
	cmd.AddCommand(
		settingsCheckCommand(), settingsGetCommand(connect), settingsSetCommand(connect),
		settingsDeleteCommand(connect), settingsHistoryCommand(connect), settingsStatusCommand(connect),
	)
	return cmd
}
