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

// paddedSchema is a schema whose configuration is a version padded with spaces.
type paddedSchema struct{ testSchema }

func (paddedSchema) DecodeCatalog(value []byte) (*catalog.Catalog, error) {
	return testSchema{}.DecodeCatalog(bytes.TrimSpace(value))
}

func largeConfig(version int64, size int) Entry {
	e := config(version, version)
	e.Value = append(bytes.Repeat([]byte(" "), size), e.Value...)
	return e
}

// Large configurations in quick succession are passed from node to node: each node keeps the
// last one, compressed to less than a tenth, and replies contain it in that form.
func TestLargeConfigurationsArePassedOnPacked(t *testing.T) {
	is := is.New(t)
	const size, versions = 1 << 20, 20
	onInvalid := func(key string, _ int64, err error) { t.Fatal(key, err) }
	first, second := newCopyState(paddedSchema{}, onInvalid, onInvalid), newCopyState(paddedSchema{}, onInvalid, onInvalid)
	for v := range int64(versions) {
		is.True(first.putCatalog(largeConfig(v+1, size)))
		raw, err := json.Marshal(first.replyTo(CopyRequest{CatalogRevision: second.catalogEntry.Revision}))
		is.NoErr(err)
		is.True(len(raw) < size/10)
		var got CopyReply
		is.NoErr(json.Unmarshal(raw, &got))
		is.True(second.applyReply(got, start).catalog)
		is.Equal(second.catalog.Version(), v+1)
	}
	is.True(len(second.catalogEntry.Value) < size/10)
	value, err := second.catalogEntry.unpacked()
	is.NoErr(err)
	is.Equal(len(value), size+len(fmt.Sprint(versions)))
}

func TestUnusablePackedValueChangesNothing(t *testing.T) {
	tooLarge := Entry{Value: make([]byte, maxUnpackedSize+1)}.pack()
	for name, value := range map[string][]byte{"malformed": []byte("xyz"), "too large": tooLarge.Value} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var seen error
			c := newCopyState(paddedSchema{}, func(_ string, _ int64, err error) { seen = err }, nil)
			is.True(c.putCatalog(config(1, 1)))
			is.True(!c.putCatalog(Entry{Key: "config", Value: value, Packed: true, Revision: 2}))
			is.True(errors.Is(seen, errUnpack))
			is.Equal(c.catalog.Version(), int64(1))
		})
	}
}

func TestSmallValuesAreNotPacked(t *testing.T) {
	is := is.New(t)
	e := Entry{Key: "config", Value: make([]byte, minPackSize-1)}
	is.Equal(e.pack(), e)
}
