package main

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/load"
)

func loadCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Send returning chats through the nodes and check every answer",
		Example: "  knapweedlab load --nodes http://127.0.0.1:8080 --keys key-1 --model asistente-lm",
		Args:    cobra.NoArgs,
	}
	var cfg load.Config
	fs := cmd.Flags()
	fs.StringSliceVar(&cfg.Nodes, "nodes", nil, "URLs of nodes")
	fs.StringSliceVar(&cfg.Engines, "engines", nil, "URLs of engine stand-ins")
	fs.StringSliceVar(&cfg.Services, "services", nil, "URLs of service stand-ins")
	fs.StringSliceVar(&cfg.Keys, "keys", nil, "API keys, one a workspace")
	fs.StringVar(&cfg.Model, "model", "asistente-lm", "model to ask")
	fs.StringVar(&cfg.Service, "service", "", "plain service to call after each turn")
	fs.IntVar(&cfg.Chats, "chats", 100, "chats at a time")
	fs.IntVar(&cfg.Turns, "turns", 4, "turns of each chat")
	fs.IntVar(&cfg.MaxTokens, "max-tokens", 100, "tokens of each answer")
	fs.DurationVar(&cfg.Think, "think", 300*time.Millisecond, "mean pause between turns")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of pauses and node choice")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		res, err := load.New(cfg).Run(cmd.Context())
		if err != nil {
			return err
		}
		out := cmd.OutOrStdout()
		fmt.Fprintf(out, "%-24s %d\n", "requests", res.Requests)
		fmt.Fprintf(out, "%-24s %d\n", "whole answers", res.Whole)
		fmt.Fprintf(out, "%-24s %d\n", "lost or cut", res.Lost)
		fmt.Fprintf(out, "%-24s %d\n", "another caller's answer", res.Wrong)
		fmt.Fprintf(out, "%-24s %d\n", "run more than once", res.Doubled)
		fmt.Fprintf(out, "%-24s %.2f\n", "prefix reuse", res.Reuse())
		fmt.Fprintf(out, "%-24s %.2f\n", "max/mean engine load", res.Skew)
		fmt.Fprintf(out, "%-24s %v / %v\n", "first token p50 / p99", res.FirstTokenP50, res.FirstTokenP99)
		fmt.Fprintf(out, "demo: requests=%d whole=%d lost=%d doubled=%d reuse=%.2f skew=%.2f\n",
			res.Requests, res.Whole, res.Lost+res.Wrong, res.Doubled, res.Reuse(), res.Skew)
		if res.Lost+res.Wrong+res.Doubled > 0 {
			return errors.New("an answer was lost, doubled or cut")
		}
		return nil
	}
	return cmd
}
