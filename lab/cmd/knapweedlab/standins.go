package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/labhttp"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/lab/service"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// platformCommand returns the command that runs the platform stand-in.
func platformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Stand in for the platform's key-value service and VM list",
		Example: "  knapweedlab platform --listen 127.0.0.1:2379",
		Args:    cobra.NoArgs,
	}
	listen := cmd.Flags().String("listen", "127.0.0.1:2379", "ip:port to serve on")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		p := platform.New()
		go p.Run(cmd.Context().Done())
		return labhttp.Serve(cmd.Context(), *listen, p.Handler())
	}
	return cmd
}

// vmFlags holds the flags that describe the VM of a stand-in or node.
type vmFlags struct {
	platform string // URL of the platform stand-in
	vm       vmlist.VM
}

// bindVM defines the flags. The VM's incarnation is the current time in Unix nanoseconds.
func bindVM(cmd *cobra.Command, role vmlist.Role) *vmFlags {
	f := &vmFlags{vm: vmlist.VM{Role: role, State: vmlist.StateLive, Incarnation: time.Now().UnixNano()}}
	fs := cmd.Flags()
	fs.StringVar(&f.platform, "platform", "http://127.0.0.1:2379", "URL of the platform stand-in")
	fs.StringVar(&f.vm.ID, "id", "", "ID of the VM")
	fs.StringVar(&f.vm.Addr, "listen", "", "ip:port of the VM")
	fs.StringVar(&f.vm.Pool, "pool", "", "model pool or service name")
	fs.StringVar(&f.vm.Region, "region", "cantabrico", "region of the VM")
	fs.StringVar(&f.vm.FailureDomain, "failure-domain", "santander-a", "failure domain of the VM")
	return f
}

// engineCommand returns the command that runs an engine stand-in and registers its VM.
func engineCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Stand in for a model engine",
		Example: "  knapweedlab engine --id e1 --listen 127.0.0.1:9001 --pool asistente-lm",
		Args:    cobra.NoArgs,
	}
	f := bindVM(cmd, vmlist.RoleEngine)
	cfg := engine.Config{}
	fs := cmd.Flags()
	fs.DurationVar(&cfg.Step, "step", 3*time.Millisecond, "time of one generation step")
	fs.IntVar(&cfg.Batch, "batch", 64, "most sequences generated at a time")
	fs.IntVar(&cfg.CacheTokens, "cache-tokens", 200_000, "size of the prefix cache in tokens")
	fs.IntVar(&cfg.PrefillRate, "prefill-rate", 50_000, "uncached prompt tokens a second")
	fs.DurationVar(&cfg.Hold, "hold", time.Minute, "how long a generation can be resumed")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg.ID, cfg.Incarnation = f.vm.ID, f.vm.Incarnation
		e := engine.New(cfg)
		go e.Run(cmd.Context())
		go func() { _ = labhttp.Register(cmd.Context(), f.platform, f.vm) }()
		return labhttp.Serve(cmd.Context(), f.vm.Addr, e.Handler())
	}
	return cmd
}

// serviceCommand returns the command that runs a stand-in for a plain service, one that serves no
// model, and registers its VM.
func serviceCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Stand in for a plain service",
		Example: "  knapweedlab service --id s1 --listen 127.0.0.1:9101 --pool obras-api",
		Args:    cobra.NoArgs,
	}
	f := bindVM(cmd, vmlist.RoleService)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := service.New(f.vm.ID)
		go func() { _ = labhttp.Register(cmd.Context(), f.platform, f.vm) }()
		return labhttp.Serve(cmd.Context(), f.vm.Addr, s.Handler())
	}
	return cmd
}

// vmCommand returns the command that registers the VM of a node.
func vmCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "vm",
		Short:   "Put a node's VM in the platform's list",
		Example: "  knapweedlab vm --id n1 --listen 127.0.0.1:8080 --peer 127.0.0.1:8081",
		Args:    cobra.NoArgs,
	}
	f := bindVM(cmd, vmlist.RoleNode)
	cmd.Flags().StringVar(&f.vm.PeerAddr, "peer", "", "ip:port of the node for other nodes")
	timeout := cmd.Flags().Duration("timeout", 5*time.Second, "longest wait for the platform")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), *timeout)
		defer cancel()
		return labhttp.Register(ctx, f.platform, f.vm)
	}
	return cmd
}
