package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/settings"
)

const (
	waitInterval = 20 * time.Millisecond
	probeTimeout = time.Second
)

// waitCommand returns the command that waits until servers are ready.
func waitCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "wait URL...",
		Short:   "Wait until each URL answers 200",
		Example: "  knapweedlab wait http://127.0.0.1:8080/readyz --timeout 20s",
		Args:    cobra.MinimumNArgs(1),
	}
	timeout := cmd.Flags().Duration("timeout", 20*time.Second, "longest wait for all of them")
	cmd.RunE = func(cmd *cobra.Command, urls []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), *timeout)
		defer cancel()
		for _, url := range urls {
			if err := waitFor(ctx, url); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}

// waitFor probes url until it answers 200 or ctx is done.
func waitFor(ctx context.Context, url string) error {
	for {
		err := probe(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "%s did not become ready", url)
		case <-time.After(waitInterval):
		}
	}
}

// probe returns an error unless url answers 200 within probeTimeout.
func probe(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// digestCommand returns the command that prints the digests of API keys.
func digestCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "digest KEY...",
		Short:   "Print the digest of each API key as settings list it (keys_sha256)",
		Example: "  knapweedlab digest demo-key-1",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, keys []string) error {
			for _, key := range keys {
				fmt.Fprintln(cmd.OutOrStdout(), settings.KeyDigest(key))
			}
			return nil
		},
	}
}
