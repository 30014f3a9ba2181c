package capacity

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Results holds the fits of every measured slope.
type Results struct {
	Slopes []Slope
	fits   map[Quantity]Fit
}

// Probes returns every probe.
func Probes() []Probe {
	return []Probe{
		Ranking{}, Cell{}, Settings{}, Peer{}, VMList{},
		Claims{}, Membership{}, Stream{}, Fleet{},
	}
}

// Run measures every probe.
func Run(ctx context.Context, probes []Probe) (*Results, error) {
	r := &Results{fits: make(map[Quantity]Fit)}
	for _, p := range probes {
		slopes, err := p.Measure(ctx)
		if err != nil {
			return nil, errors.Wrap(err, p.Name())
		}
		for _, s := range slopes {
			fit, err := s.Fit()
			if err != nil {
				return nil, err
			}
			r.Slopes = append(r.Slopes, s)
			r.fits[s.Quantity] = fit
		}
	}
	return r, nil
}

// At returns a quantity's fitted value at a size. It panics if the quantity
// was not measured, which is a fault of the model.
func (r *Results) At(q Quantity, size float64) float64 {
	f, ok := r.fits[q]
	if !ok {
		panic("capacity: quantity not measured: " + string(q))
	}
	return f.At(size)
}

// WriteSlopes prints the slopes as a Markdown table.
func (r *Results) WriteSlopes(w io.Writer) {
	fmt.Fprintln(w, "| quantity | size | unit | measured (size: value) | base | slope | R² |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, s := range r.Slopes {
		f := r.fits[s.Quantity]
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g | %.4g | %.3f |\n",
			s.Quantity, s.Per, s.Unit, strings.Join(points, ", "), f.Base, f.Slope, f.R2)
	}
}
