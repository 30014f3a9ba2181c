package capacity

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/routing"
)

// The quantities of an admission owner.
const (
	CellCPU    Quantity = "admission_decision_cpu"
	CellMemory Quantity = "admission_hold_memory"
)

const (
	cellEngines    = 12
	cellInFlight   = 18 // requests in flight on each engine
	cellLoadFactor = 1.25
	cellMax        = 64
	holders        = 53 // nodes of a region that hold places
)

// Cell measures an admission owner's state machine.
type Cell struct{}

// Name implements Probe.
func (Cell) Name() string { return "cell" }

// Measure implements Probe.
func (Cell) Measure(context.Context) ([]Slope, error) {
	cpu, err := sweep(CellCPU, "engines in the cell", "ns", []int{6, 12, 24, 48}, func(n int) (float64, error) {
		c := filledCell(n, n*cellInFlight)
		now := time.Unix(0, 0)
		i := 0
		return perOp(cpuSample, func() {
			i++
			a := ask(i)
			if c.Acquire(now, a).Outcome == cell.Granted {
				c.Release(a.Holder, a.Request)
			}
		}), nil
	})
	if err != nil {
		return nil, err
	}
	memory, err := sweep(CellMemory, "requests in flight", "B", []int{100, 400, 1600}, func(n int) (float64, error) {
		return heapOf(func() *cell.Cell { return filledCell(cellEngines, n) }), nil
	})
	return []Slope{cpu, memory}, err
}

func filledCell(engines, inFlight int) *cell.Cell {
	c := cell.New(cell.Config{LoadFactor: cellLoadFactor, MaxInFlight: 1000 * cellMax})
	targets := make([]cell.Target, engines)
	for i := range targets {
		targets[i] = cell.Target{ID: fmt.Sprintf("engine-%d", i), Capacity: 1}
	}
	c.SetTargets(targets)
	for i := range inFlight {
		a := ask(i)
		a.Request = "held-" + a.Request
		c.Acquire(time.Unix(0, 0), a)
	}
	return c
}

func ask(i int) cell.AcquireRequest {
	id := strconv.Itoa(i)
	return cell.AcquireRequest{
		Holder:  cell.Holder{Node: "node-" + strconv.Itoa(i%holders), Incarnation: 1},
		Request: id, Chat: routing.Hash(id), Workspace: "workspace-" + strconv.Itoa(i%100), Weight: 1,
		Urgency: 3,
	}
}
