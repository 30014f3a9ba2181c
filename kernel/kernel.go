// Package kernel is the service container of a node: services register under
// dotted IDs, look each other up by ID, and share one lifecycle: Provision,
// Validate, Start and, in reverse order, Drain and Stop.
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
	// ID returns the ID under which other services look this one up.
	ID() ID
}

// Provisioner is a service that looks up the services it depends on. Provision
// runs before any service is started.
type Provisioner interface{ Provision(k *Kernel) error }

// Validator is a service that checks its configuration. Validate returns all
// errors of a provisioned service; it runs before any service is started.
type Validator interface{ Validate() error }

// Starter is a service that is started. Start must return once the service is
// usable; ctx ends when every service has stopped.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is a service that prepares to stop: it announces the shutdown,
// takes over no further roles in the fleet and hands over those it has, such as
// leases. Drain returns quickly and leaves the service usable: requests in
// progress and other nodes need it until Stop.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper is a service that shuts down gracefully. Stop returns when no work is
// in progress or ctx has ended.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the registered services in registration order and runs their
// lifecycle.
type Kernel struct {
	services []Service
	byID     map[ID]Service
	started  []Service
	cancel   context.CancelFunc
}

// New returns a kernel with the given services. It fails if two have the same
// ID.
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

// Lookup returns the service registered under id as a T. It fails if no service
// is registered under id or if it doesn't implement T.
func Lookup[T any](k *Kernel, id ID) (T, error) {
	var zero T
	s, ok := k.byID[id]
	if !ok {
		return zero, errors.WithHint(errors.Newf("kernel: no service %q", id), "add it to the node's wire set")
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Newf("kernel: service %q is a %T, which doesn't implement the requested interface", id, s)
	}
	return t, nil
}

// Start provisions and validates every service, then starts them in
// registration order. If one fails to start, those already started are drained
// and stopped. The context passed to the services is not canceled with ctx: it
// ends when Stop returns.
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

// Stop drains all started services, then stops them, both in reverse order,
// and then cancels the context they were started with. A service is thus usable
// until the services that depend on it have stopped. Stop returns the combined
// errors.
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
