package telemetry

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestLoggerWritesJSONLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := NewLogger(&out, "info", "node-1")
	is.NoErr(err)
	l.Debug("not at this level")
	l.Warn("retry", "target", "engine-1", "err", errors.New("two\nlines"))
	l.Info("second")
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	is.Equal(len(lines), 2)
	var line struct{ Level, Msg, Node, Target, Time, Err string }
	is.NoErr(json.Unmarshal(lines[0], &line))
	is.Equal(line.Level, "warn")
	is.Equal(line.Msg, "retry")
	is.Equal(line.Node, "node-1")
	is.Equal(line.Target, "engine-1")
	is.Equal(line.Err, "two\nlines")
	_, err = time.Parse(time.RFC3339Nano, line.Time)
	is.NoErr(err)
}

func TestUnknownLevelListsTheLevels(t *testing.T) {
	is := is.New(t)
	_, err := NewLogger(nil, "loud", "n")
	is.True(err != nil)
	is.Equal(errors.FlattenHints(err), "use debug, info, warn or error")
}

func TestRegistryHasProcessMetrics(t *testing.T) {
	is := is.New(t)
	families, err := NewRegistry().Gather()
	is.NoErr(err)
	names := make(map[string]bool)
	for _, f := range families {
		names[f.GetName()] = true
	}
	is.True(names["go_goroutines"])
	is.True(names["process_resident_memory_bytes"])
}
