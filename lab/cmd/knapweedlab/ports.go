package main

import (
	"fmt"
	"net"
	"strconv"

	"github.com/spf13/cobra"
)

// portsCommand returns the command that prints free ports. It holds all listeners until the end, so
// that the ports differ.
func portsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "ports N",
		Short:   "Print N free loopback ports",
		Example: "  knapweedlab ports 3",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil {
				return err
			}
			for range n {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				defer func() { _ = ln.Close() }()
				fmt.Fprintln(cmd.OutOrStdout(), ln.Addr().(*net.TCPAddr).Port)
			}
			return nil
		},
	}
}
