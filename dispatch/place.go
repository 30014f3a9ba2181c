package dispatch

import "github.com/knapweedgw/knapweedgw/admission/cell"

// Place is the right to run one request on a target, until Release.
type Place struct {
	target string
}

// Target returns the ID of the target.
func (p *Place) Target() string { return p.target }

// Release ends the place with the result of its request. Further calls do nothing.
func (p *Place) Release(result cell.Result) {}
