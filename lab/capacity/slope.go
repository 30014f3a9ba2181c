// Package capacity works out what each role of a node costs at the target
// size, from slopes that it measures on the product's own code at three sizes
// or more.
package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/knapweedgw/knapweedgw/lab/usage"
	"gonum.org/v1/gonum/stat"
)

// minPoints is the fewest sizes a slope is fitted to.
const minPoints = 3

// Quantity names a measured quantity.
type Quantity string

// Point is one measurement: the quantity's value at a size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a quantity measured at several sizes.
type Slope struct {
	Quantity Quantity
	// Per is what the size counts, for example "engines".
	Per string
	// Unit is the unit of the values, for example "ns".
	Unit   string
	Points []Point
}

// Fit is the least-squares line through a slope's points.
type Fit struct {
	Base  float64 // value at size 0
	Slope float64 // growth for each unit of size
	R2    float64
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// Fit fits the points. It fails with fewer than three.
func (s Slope) Fit() (Fit, error) {
	if len(s.Points) < minPoints {
		return Fit{}, errors.Newf("capacity: %s has %d points; measure %d sizes or more", s.Quantity, len(s.Points), minPoints)
	}
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Base: base, Slope: slope, R2: 1}
	if stat.Variance(ys, nil) > 0 {
		f.R2 = stat.RSquared(xs, ys, nil, base, slope)
	}
	return f, nil
}

// Probe measures the slopes of one part of the product.
type Probe interface {
	// Name is the probe's name on the command line.
	Name() string
	// Measure runs the part at each size.
	Measure(ctx context.Context) ([]Slope, error)
}

// sweep measures a quantity at each size.
func sweep(q Quantity, per, unit string, sizes []int, measure func(size int) (float64, error)) (Slope, error) {
	s := Slope{Quantity: q, Per: per, Unit: unit}
	for _, n := range sizes {
		v, err := measure(n)
		if err != nil {
			return s, errors.Wrapf(err, "capacity: %s at %d %s", q, n, per)
		}
		s.Points = append(s.Points, Point{Size: float64(n), Value: v})
	}
	return s, nil
}

// perOp returns the process's CPU time in nanoseconds that one call of f
// takes, all its goroutines and garbage collection included.
func perOp(atLeast time.Duration, f func()) float64 {
	f()
	for n := 1; ; n *= 2 {
		start := usage.CPUTime()
		for range n {
			f()
		}
		spent := usage.CPUTime() - start
		if spent >= atLeast {
			return float64(spent.Nanoseconds()) / float64(n)
		}
	}
}
