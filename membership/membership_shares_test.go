package membership

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a fleet-wide limit that is exceeded since each node which lost the others took it whole.
func TestLimitSharesOfAView(t *testing.T) {
	is := is.New(t)
	view := func(states ...State) *View {
		v := &View{}
		for _, s := range states {
			v.Nodes = append(v.Nodes, Node{State: s})
		}
		return v
	}
	is.Equal(view(Alive).LimitShares(), 1)
	is.Equal(view(Alive, Alive, Dead).LimitShares(), 3)
	is.Equal(view(Alive, Leaving, Leaving).LimitShares(), 3)
	is.Equal(view(Alive, Dead).LimitShares(), 0)
	is.Equal(view(Alive, Suspect, Dead, Alive).LimitShares(), 0)
	is.Equal(view(Leaving).LimitShares(), 0)
}
