package replica

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/roster"
)

// startsSchema is a schema whose targets have values of the form ADDRESS@SECOND, with the
// second of their start.
type startsSchema struct{ testSchema }

func (startsSchema) DecodeTarget(key string, value []byte) (roster.Target, error) {
	addr, second, _ := strings.Cut(string(value), "@")
	n, err := strconv.ParseInt(second, 10, 64)
	return roster.Target{ID: key, Service: "s", Addr: addr, Started: time.Unix(n, 0)}, err
}

func startsState(t *testing.T) *copyState {
	notice := func(key string, _ int64, err error) { t.Error(key, err) }
	return newCopyState(startsSchema{}, notice, notice)
}

func address(c *copyState) string { return c.registry.Pool("s")[0].Addr }

// A late write of an earlier run, as a change or in a list, must not replace the later run,
// neither here nor on the nodes that copy from this one.
func TestLateWriteOfAnEarlierRun(t *testing.T) {
	for name, deliver := range map[string]func(c *copyState, late Entry){
		"change": func(c *copyState, late Entry) {
			c.applyChange(late, start)
			c.advance(late.Revision)
		},
		"list": func(c *copyState, late Entry) { c.replaceAll(fullCopy([]Entry{late}, late.Revision), start) },
	} {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), startsState(t)
			c.replaceAll(fullCopy([]Entry{target("a", "old@10", 5)}, 5), start)
			is.True(c.applyChange(target("a", "new@11", 6), start).targets)
			c.advance(6)
			deliver(c, target("a", "old@10", 7))
			is.Equal(address(c), "new")

			fresh := startsState(t)
			fresh.applyReply(c.replyTo(CopyRequest{}), start)
			is.Equal(address(fresh), "new")
			behind := startsState(t)
			behind.replaceAll(fullCopy([]Entry{target("a", "old@10", 5)}, 5), start)
			behind.applyReply(c.replyTo(CopyRequest{Revision: 5}), start)
			is.Equal(address(behind), "new")
		})
	}
}

// After the later run's entry is removed too, an entry of the earlier run must not replace it
// during its grace period.
func TestLateWriteAfterTheLaterRunLeft(t *testing.T) {
	is, c := is.New(t), startsState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "new@11", 5)}, 5), start)
	c.applyChange(Entry{Key: "t/a", Revision: 6, Removed: true}, start)
	c.replaceAll(fullCopy([]Entry{target("a", "old@10", 7)}, 7), start)
	is.Equal(address(c), "new")
	is.True(c.registry.Expire(start.Add(roster.FallbackGrace)))
	is.Equal(c.registry.Count(), 0)
}
