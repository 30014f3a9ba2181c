package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServiceID is the kernel name of the Service.
const ServiceID kernel.ID = "telemetry.registry"

// Service makes a node's metrics registry available to other services of the kernel.
type Service struct{ *prometheus.Registry }

// NewService returns the Service of a registry.
func NewService(r *prometheus.Registry) Service { return Service{r} }

// ID implements kernel.Service.
func (Service) ID() kernel.ID { return ServiceID }
