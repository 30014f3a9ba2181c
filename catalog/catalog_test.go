package catalog

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func sampleCatalog(t *testing.T) *Catalog {
	t.Helper()
	c, err := New(Spec{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Backends: []Backend{{"s", 1}}},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Backends: []Backend{{"s", 90}, {"t", 10}}},
		},
		Services:   []Service{{Name: "s"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
	is.New(t).NoErr(err)
	return c
}

func TestLongestPrefixWins(t *testing.T) {
	c := sampleCatalog(t)
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:80", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/z", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/", ""},
		{"a.example", "", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			r, ok := c.Match(tt.host, tt.path)
			is.New(t).Equal(ok, tt.want != "")
			if ok {
				is.New(t).Equal(r.Name, tt.want)
			}
		})
	}
}

func TestWorkspaceByKey(t *testing.T) {
	is, c := is.New(t), sampleCatalog(t)
	w, ok := c.Workspace("k2")
	is.True(ok)
	is.Equal(w.Name, "w")
	_, ok = c.Workspace("k3")
	is.True(!ok)
}

func TestChooseFollowsWeights(t *testing.T) {
	r, _ := sampleCatalog(t).Match("a.example", "/x/y/")
	got := make(map[string]int)
	for point := range uint64(1000) {
		got[r.PickService(point)]++
	}
	is.New(t).Equal(got, map[string]int{"s": 900, "t": 100})
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	for _, r := range []Route{
		{Name: "bare", Prefix: "x", Backends: []Backend{{"s", 1}}},
		{Name: "nowhere", Prefix: "/x/"},
	} {
		_, err := New(Spec{Routes: []Route{r}})
		is.New(t).True(errors.Is(err, ErrInvalid))
	}
}

func TestRegions(t *testing.T) {
	is := is.New(t)
	is.True(Regions(nil).Allow("a"))
	is.True(!Regions{}.Allow("a"))
	is.True(Regions{"a"}.Intersect(nil).Allow("a"))
	is.True(!Regions(nil).Intersect(Regions{"a"}).Allow("b"))
	is.True(!Regions{"a"}.Intersect(Regions{"b"}).Allow("a")) // an empty list, since nil would allow any region
	is.Equal(Regions{"a", "b"}.Intersect(Regions{"b", "c"}), Regions{"b"})
}
