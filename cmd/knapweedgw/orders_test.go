package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/orders"
)

func TestPrintPools(t *testing.T) {
	is := is.New(t)
	spec := orders.Spec{Fencing: orders.FencingChecked, Desired: orders.Desired{Model: "m", Version: "7", Role: orders.RoleBoth}}
	var out bytes.Buffer
	is.NoErr(printPools(&out, []poolStatus{
		{"seq/namer-llm", lease.Record{Holder: "entry-1"}, orders.Record{
			Fence: 42, Spec: spec, Progress: orders.Progress{Engines: 18, Done: 18},
		}},
		{"seq/other", lease.Record{}, orders.Record{
			Fence: 43, Spec: spec, Halted: "e1: no weights", Progress: orders.Progress{Engines: 3, Failed: 1, Wrong: 2},
			Errors: []orders.EngineError{{Engine: "e1", Attempts: 3, Error: "no weights"}},
		}},
	}))
	lines := strings.Split(out.String(), "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields("seq/namer-llm entry-1 42 7 both checked 18/18 0 0 0 0 done"))
	is.Equal(strings.Fields(lines[2]), strings.Fields("seq/other none 43 7 both checked 0/3 0 2 1 0 stopped"))
	is.Equal(lines[3], "seq/other: roll-out stopped: e1: no weights")
	is.Equal(lines[5], "seq/other: e1 failed 3 times: no weights")
}

func TestOrdersStatusOfAnEmptyStore(t *testing.T) {
	is := is.New(t)
	out, err := execute("orders", "status", "--store", storeURL(t))
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "POOL"))
	_, err = execute("orders", "status")
	is.True(err != nil) // --store is required
}
