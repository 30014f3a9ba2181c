//go:build wireinject

package node

import (
	"io"

	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/settings/acceptor"
	"github.com/knapweedgw/knapweedgw/settings/follower"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// services is the set of providers for New.
var services = wire.NewSet(
	provideLogger,
	telemetry.NewRegistry,
	telemetry.NewService,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	provideStore,
	provideVMList,
	provideTargets,
	provideHub,
	provideMembers,
	follower.New,
	acceptor.New,
	provideAdmission,
	provideClaims,
	provideOrders,
	provideGossip,
	provideGatewayDialer,
	provideGatewayTunnels,
	provideGateway,
	provideKernel,
)

// routerServices is the set of providers for NewRouter.
var routerServices = wire.NewSet(
	provideRouterLogger,
	telemetry.NewService,
	provideRegisterer,
	provideMetricsServer,
	provideRouterHub,
	provideExchange,
	provideReplica,
	provideDispatch,
	provideResumption,
	provideTargetDial,
	provideDialer,
	provideTunnelServer,
	provideRouter,
	provideRouterKernel,
)

// NewRouter assembles a node that routes requests by a platform's catalog. Logs are
// written to logs and metrics registered in reg.
func NewRouter(cfg *config.RouterNode, p Platform, logs io.Writer, reg *prometheus.Registry) (*kernel.Kernel, error) {
	wire.Build(routerServices)
	return nil, nil
}

// New assembles a node that is configured by flags and reads its targets from the VM
// list. Logs are written to logs.
func New(cfg *config.Node, logs io.Writer) (*kernel.Kernel, error) {
	wire.Build(services)
	return nil, nil
}
