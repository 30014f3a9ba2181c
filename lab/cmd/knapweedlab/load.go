package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/load"
)

// loadCommand returns the command that generates load.
func loadCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send returning chats through the nodes and check every answer",
		Long: `Send returning chats through the nodes and check every answer.

The table's figures: "prefix reuse" is the share of the prompt tokens of
returning turns, which some engine had held, that came from a cache; "max/mean
load" compares the engines' request-seconds in each --window, and is averaged
by time over the windows with at least one request an engine. The command fails if an answer was lost, doubled,
cut or another caller's, or if a caller was told "not run" of a request that
was run.`,
		Example: "  knapweedlab load --nodes http://127.0.0.1:8080 --keys key-1 --model asistente-lm",
		Args:    cobra.NoArgs,
	}
	var cfg load.Config
	fs := cmd.Flags()
	fs.StringSliceVar(&cfg.Nodes, "nodes", nil, "URLs of nodes")
	fs.StringSliceVar(&cfg.Engines, "engines", nil, "URLs of engine stand-ins, asked what they ran")
	fs.StringSliceVar(&cfg.Services, "services", nil, "URLs of service stand-ins, asked what they ran")
	fs.StringSliceVar(&cfg.Keys, "keys", nil, "API keys, one a workspace")
	fs.StringVar(&cfg.Model, "model", "asistente-lm", "model to ask")
	fs.StringVar(&cfg.Service, "service", "", "plain service to call after each turn")
	fs.IntVar(&cfg.Chats, "chats", 100, "chats at a time")
	fs.IntVar(&cfg.Turns, "turns", 4, "turns of each chat")
	fs.IntVar(&cfg.MaxTokens, "max-tokens", 100, "tokens of each answer")
	fs.DurationVar(&cfg.Think, "think", 300*time.Millisecond, "mean pause between turns")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of pauses, workspaces, urgencies and node choice")
	fs.Float64Var(&cfg.Emergency, "emergency", 0, "share of chats at urgency 0")
	fs.Float64Var(&cfg.Batch, "batch", 0, "share of chats at urgency 7")
	fs.Float64Var(&cfg.Notices, "notices", 0, "share of service calls that may not be repeated, with an idempotency key")
	fs.Float64Var(&cfg.Resend, "resend", 0, "share of notices sent twice at once through two nodes")
	fs.IntVar(&cfg.SurgeWorkspaces, "surge", 0, "workspaces that surge")
	fs.IntVar(&cfg.SurgeFactor, "surge-factor", 10, "chats of a surging workspace for each of another's")
	fs.IntVar(&cfg.MaxTries, "max-tries", 3, "tries of a caller who is told that nothing was run")
	fs.DurationVar(&cfg.MaxRetryAfter, "max-retry-after", 5*time.Second, "longest Retry-After that a caller honours")
	fs.DurationVar(&cfg.Window, "window", time.Second, "time between samples of the engines' load")
	fs.BoolVar(&cfg.UnderFaults, "under-faults", false, "targets fail: allow repeatable requests to run again, and requests to fail if their callers are told")
	file := fs.String("json", "", "file for the same rows as JSON lines")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		res, err := load.New(cfg).Run(cmd.Context())
		if err != nil {
			return err
		}
		if err := writeResult(res, cmd.OutOrStdout(), *file); err != nil {
			return err
		}
		if !res.OK(cfg.UnderFaults) {
			return errors.New("a request had no whole answer, ran more than once, or was reported as not run though it ran")
		}
		return nil
	}
	return cmd
}

// writeResult writes the result and its summary to out and, if file is not empty, the rows as JSON
// lines to that file.
func writeResult(res load.Result, out io.Writer, file string) error {
	var lines io.Writer
	if file != "" {
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		lines = f
	}
	if err := res.Write(out, lines); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, res.Summary())
	return err
}
