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
}

func (r *recorder) ID() ID { return r.id }

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+string(r.id))
	if r.fails {
		return errors.New("no")
	}
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+string(r.id))
	return nil
}

func TestStopsInReverseOrder(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := New(&recorder{id: "a", log: &log}, &recorder{id: "b", log: &log})
	is.NoErr(err)
	is.NoErr(k.Start(context.Background()))
	is.NoErr(k.Stop(context.Background()))
	is.Equal(log, []string{"start a", "start b", "stop b", "stop a"})
}

func TestFailedStartStopsTheStarted(t *testing.T) {
	is := is.New(t)
	var log []string
	k, err := New(&recorder{id: "a", log: &log}, &recorder{id: "b", log: &log, fails: true})
	is.NoErr(err)
	is.True(k.Start(context.Background()) != nil)
	is.Equal(log, []string{"start a", "start b", "stop a"})
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	k, err := New(&recorder{id: "a"})
	is.NoErr(err)
	_, err = Lookup[Starter](k, "a")
	is.NoErr(err)
	_, err = Lookup[Validator](k, "a")
	is.True(err != nil) // lacks the interface
	_, err = Lookup[Starter](k, "b")
	is.True(err != nil) // not registered
	_, err = New(&recorder{id: "a"}, &recorder{id: "a"})
	is.True(err != nil) // registered twice
}
