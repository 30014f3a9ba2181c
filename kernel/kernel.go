// Package kernel is the small core of a node: services register under dotted
// IDs, find each other by name, and pass through one lifecycle together:
// Provision, Validate, Start and, in reverse order, Stop.
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
// stopped.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.provision(); err != nil {
		return err
	}
	if err := k.validate(); err != nil {
		return err
	}
	ctx, k.cancel = context.WithCancel(ctx)
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

// Stop stops the started services in reverse order, then ends the context
// they were started with. It returns the combined errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs error
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
