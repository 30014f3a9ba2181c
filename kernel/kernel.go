// Package kernel is the small core of a node: services register under dotted
// IDs, find each other by name, and pass through one lifecycle together:
// Provision, Validate, Start and, in reverse order, Drain and Stop.
package kernel

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ID is the dotted name of a service, for example "routing.admission".
type ID string

// Service is anything that can be registered with a Kernel. A service takes
// part in each lifecycle phase whose interface it implements.
type Service interface {
	// ID returns the name under which other services look this one up.
	ID() ID
}

// Provisioner looks up the services it depends on. No service has been
// started when Provision runs.
type Provisioner interface{ Provision(k *Kernel) error }

// Validator reports every fault of a provisioned service before any starts.
type Validator interface{ Validate() error }

// Starter begins work. Start must return once the service is usable; ctx ends
// when the kernel stops.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer prepares to stop: it announces the stop, takes on no new duty and
// hands over those it has. Drain returns soon, with the service still usable:
// requests in progress and other nodes need it until Stop.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper ends work gracefully. Stop returns when nothing is in progress or
// ctx has ended.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the registered services in registration order.
type Kernel struct {
	services []Service
	byID     map[ID]Service
	started  []Service
	cancel   context.CancelFunc
}

// New returns a kernel that holds the given services. It fails if two share
// an ID.
func New(services ...Service) (*Kernel, error) {
	k := &Kernel{byID: make(map[ID]Service)}
	for _, s := range services {
		if err := k.register(s); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func (k *Kernel) register(s Service) error {
	id := s.ID()
	if _, taken := k.byID[id]; taken {
		return errors.WithHint(errors.Newf("kernel: service %q registered twice", id), "give each service its own ID")
	}
	k.byID[id] = s
	k.services = append(k.services, s)
	return nil
}

// Lookup returns the service registered under id as a T. It fails if there is
// none or if it doesn't implement T.
func Lookup[T any](k *Kernel, id ID) (T, error) {
	var zero T
	s, ok := k.byID[id]
	if !ok {
		return zero, errors.WithHint(errors.Newf("kernel: no service %q", id), "add it to the node's wire set")
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("kernel: service %q is a %T, which lacks the wanted interface", id, s)
	}
	return t, nil
}

// Start provisions and validates every service, then starts them in
// registration order. If one fails to start, those already started are
// stopped. The context that services get outlives ctx: it ends with Stop.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.provision(); err != nil {
		return err
	}
	if err := k.validate(); err != nil {
		return err
	}
	ctx, k.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for _, s := range k.services {
		st, ok := s.(Starter)
		if ok {
			if err := st.Start(ctx); err != nil {
				err = errors.Wrapf(err, "start %s", s.ID())
				return errors.CombineErrors(err, k.Stop(ctx))
			}
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop drains every started service, then stops them, both in reverse order,
// and then ends the context they were started with. So a service that others
// depend on is usable until those have stopped. It returns the combined errors.
func (k *Kernel) Stop(ctx context.Context) error {
	errs := k.drain(ctx)
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		st, ok := s.(Stopper)
		if !ok {
			continue
		}
		errs = errors.CombineErrors(errs, errors.Wrapf(st.Stop(ctx), "stop %s", s.ID()))
	}
	k.started = nil
	if k.cancel != nil {
		k.cancel()
	}
	return errs
}

func (k *Kernel) drain(ctx context.Context) error {
	var errs error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		if d, ok := s.(Drainer); ok {
			errs = errors.CombineErrors(errs, errors.Wrapf(d.Drain(ctx), "drain %s", s.ID()))
		}
	}
	return errs
}

func (k *Kernel) provision() error {
	for _, s := range k.services {
		p, ok := s.(Provisioner)
		if !ok {
			continue
		}
		if err := p.Provision(k); err != nil {
			return errors.Wrapf(err, "provision %s", s.ID())
		}
	}
	return nil
}

func (k *Kernel) validate() error {
	var errs error
	for _, s := range k.services {
		v, ok := s.(Validator)
		if !ok {
			continue
		}
		errs = errors.CombineErrors(errs, errors.Wrapf(v.Validate(), "validate %s", s.ID()))
	}
	return errs
}
