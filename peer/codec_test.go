package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCodecRoundTripsAnySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		messages := rapid.SliceOf(rapid.OneOf(
			rapid.String(),
			rapid.Map(rapid.IntRange(0, 3*maxHistoryBytes), func(n int) string { return strings.Repeat("abc", n) }),
		)).Draw(rt, "messages")
		var wire bytes.Buffer
		w, r := newCodec(), newCodec()
		for _, m := range messages {
			is.New(rt).NoErr(w.WriteObject(&wire, m))
		}
		in := bufio.NewReader(&wire)
		for _, m := range messages {
			var got string
			is.New(rt).NoErr(r.ReadObject(in, &got))
			is.New(rt).Equal(got, m)
		}
		is.New(rt).True(len(w.out.bytes) <= maxHistoryBytes)
		is.New(rt).Equal(w.out.bytes, r.in.bytes) // both ends keep the same history
	})
}

func TestCodecCompressesRepeatedMessages(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	c := newCodec()
	message := strings.Repeat("admission.acquire node-1 ", 10)
	is.NoErr(c.WriteObject(&wire, message))
	first := wire.Len()
	is.NoErr(c.WriteObject(&wire, message))
	is.True(wire.Len()-first < first/2) // the first message is the dictionary of the second
}

func TestCodecRejectsInvalidMessages(t *testing.T) {
	var bomb bytes.Buffer
	if err := flate.StatelessDeflate(&bomb, make([]byte, maxMessageBytes+1), true, nil); err != nil {
		t.Fatal(err)
	}
	frame := func(encoding uint64, payload []byte) []byte {
		return append(binary.AppendUvarint(nil, uint64(len(payload))<<1|encoding), payload...)
	}
	for name, tc := range map[string]struct {
		wire []byte
		want error
	}{
		"a length beyond the limit":                {binary.AppendUvarint(nil, (maxMessageBytes+1)<<1), errTooLarge},
		"a message that inflates beyond the limit": {frame(deflated, bomb.Bytes()), errTooLarge},
		"invalid DEFLATE data":                     {frame(deflated, []byte("{\"a\":1}")), errNotDeflate},
	} {
		t.Run(name, func(t *testing.T) {
			var v any
			err := newCodec().ReadObject(bufio.NewReader(bytes.NewReader(tc.wire)), &v)
			is.New(t).True(errors.Is(err, tc.want))
		})
	}
}
