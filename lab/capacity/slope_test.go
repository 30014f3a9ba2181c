package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.Float64Range(-1e6, 1e6).Draw(rt, "base")
		slope := rapid.Float64Range(-1e3, 1e3).Draw(rt, "slope")
		s := Slope{Quantity: "q"}
		for _, x := range []float64{1, 10, 100, 1000} {
			s.Points = append(s.Points, Point{x, base + slope*x})
		}
		f, err := s.Fit()
		is := is.New(rt)
		is.NoErr(err)
		is.True(math.Abs(f.At(500)-(base+slope*500)) < 1e-3)
	})
}

func TestFitWantsThreeSizes(t *testing.T) {
	is := is.New(t)
	_, err := Slope{Quantity: "q", Points: []Point{{1, 1}, {2, 2}}}.Fit()
	is.True(err != nil)
}

func TestFitOfAConstantIsExact(t *testing.T) {
	is := is.New(t)
	f, err := Slope{Points: []Point{{1, 5}, {2, 5}, {3, 5}}}.Fit()
	is.NoErr(err)
	is.Equal(f, Fit{Base: 5, Slope: 0, R2: 1})
}
