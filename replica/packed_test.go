package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/catalog"
)

// padded is a schema whose configuration is a version in many blanks.
type padded struct{ plain }

func (padded) DecodeCatalog(value []byte) (*catalog.Catalog, error) {
	return plain{}.DecodeCatalog(bytes.TrimSpace(value))
}

func largeConfig(version int64, size int) Entry {
	e := config(version, version)
	e.Value = append(bytes.Repeat([]byte(" "), size), e.Value...)
	return e
}

// Big configurations in quick succession, passed from node to node: each node
// keeps the last one, in a fraction of its size, and so is what it passes on.
func TestLargeConfigurationsArePassedOnPacked(t *testing.T) {
	is := is.New(t)
	const size, versions = 1 << 20, 20
	problems := func(key string, _ int64, err error) { t.Fatal(key, err) }
	first, second := newCopyState(padded{}, problems, problems), newCopyState(padded{}, problems, problems)
	for v := range int64(versions) {
		is.True(first.putCatalog(largeConfig(v+1, size)))
		passed, err := json.Marshal(first.newer(Want{CatalogRevision: second.catalogEntry.Revision}))
		is.NoErr(err)
		is.True(len(passed) < size/10)
		var got Copy
		is.NoErr(json.Unmarshal(passed, &got))
		is.True(second.take(got, start).catalog)
		is.Equal(second.catalog.Version(), v+1)
	}
	is.True(len(second.catalogEntry.Value) < size/10)
	value, err := second.catalogEntry.unpacked()
	is.NoErr(err)
	is.Equal(len(value), size+len(fmt.Sprint(versions)))
}

func TestUnusablePackedValueChangesNothing(t *testing.T) {
	tooLarge := Entry{Value: make([]byte, maxValue+1)}.pack()
	for name, value := range map[string][]byte{"no packed value": []byte("xyz"), "too large": tooLarge.Value} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var seen error
			c := newCopyState(padded{}, func(_ string, _ int64, err error) { seen = err }, nil)
			is.True(c.putCatalog(config(1, 1)))
			is.True(!c.putCatalog(Entry{Key: "config", Value: value, Packed: true, Revision: 2}))
			is.True(errors.Is(seen, errUnpack))
			is.Equal(c.catalog.Version(), int64(1))
		})
	}
}

func TestSmallValuesStayAsTheyAre(t *testing.T) {
	is := is.New(t)
	e := Entry{Key: "config", Value: make([]byte, packFrom-1)}
	is.Equal(e.pack(), e)
}
