package kernel

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type recorder struct {
	id    ID
	log   *[]string
	fails bool
	ctx   context.Context // passed to Start
}

func (r *recorder) ID() ID { return r.id }

func (r *recorder) Start(ctx context.Context) error {
	r.ctx = ctx
	*r.log = append(*r.log, "start "+string(r.id))
	if r.fails {
		return errors.New("start failed")
	}
	return nil
}

func (r *recorder) Drain(context.Context) error {
	*r.log = append(*r.log, "drain "+string(r.id))
	return r.contextActive("drain")
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+string(r.id))
	return r.contextActive("stop")
}

// contextActive fails if the context passed to Start ended before phase.
func (r *recorder) contextActive(phase string) error {
	return errors.Wrapf(r.ctx.Err(), "%s before %s", r.id, phase)
}

func TestDrainsThenStopsInReverseOrder(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := New(&recorder{id: "a", log: &log}, &recorder{id: "b", log: &log})
	is.NoErr(err)
	parent, cancel := context.WithCancel(context.Background())
	is.NoErr(k.Start(parent))
	cancel()
	is.NoErr(k.Stop(context.Background())) // fails if a service's context ended early
	is.True(k.services[0].(*recorder).ctx.Err() != nil)
	is.Equal(log, []string{"start a", "start b", "drain b", "drain a", "stop b", "stop a"})
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := New(&recorder{id: "a", log: &log}, &recorder{id: "b", log: &log, fails: true})
	is.NoErr(err)
	is.True(k.Start(context.Background()) != nil)
	is.Equal(log, []string{"start a", "start b", "drain a", "stop a"})
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	k, err := New(&recorder{id: "a"})
	is.NoErr(err)
	_, err = Lookup[Starter](k, "a")
	is.NoErr(err)
	_, err = Lookup[Validator](k, "a")
	is.True(err != nil) // doesn't implement the interface
	_, err = Lookup[Starter](k, "b")
	is.True(err != nil) // not registered
	_, err = New(&recorder{id: "a"}, &recorder{id: "a"})
	is.True(err != nil) // registered twice
}
