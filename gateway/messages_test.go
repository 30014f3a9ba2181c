package gateway

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/routing"
)

// Guards against elements that are told apart in another way than by the JSON decoder, which changes the key of a chat.
func TestMessagesAreThoseOfTheDecoder(t *testing.T) {
	text := rapid.StringOf(rapid.RuneFrom([]rune(`a"\,[]{} é` + "\n")))
	message := rapid.Custom(func(t *rapid.T) any {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			return text.Draw(t, "text")
		case 1:
			return []any{text.Draw(t, "text"), 1, nil}
		case 2:
			return nil
		}
		return map[string]any{"role": "user", "content": text.Draw(t, "text"), text.Draw(t, "key"): []any{}}
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(message, 0, 2*quarantine.MaxParts).Draw(t, "messages")
		raw, _ := json.Marshal(list)
		if rapid.Bool().Draw(t, "spaced") {
			raw, _ = json.MarshalIndent(list, " ", "\t")
		}
		var want []json.RawMessage
		var got messages
		if json.Unmarshal(raw, &want) != nil || json.Unmarshal(raw, &got) != nil {
			t.Fatalf("not decoded: %s", raw)
		}
		opening, shared := "", []uint64(nil)
		for i, m := range want {
			if i < openingMessages {
				opening += string(m)
			}
			if i < min(len(want)-1, quarantine.MaxParts) {
				shared = append(shared, routing.Hash(string(m)))
			}
		}
		is := is.New(t)
		is.Equal(got.count, len(want))
		is.Equal(got.opening, opening)
		is.Equal(got.shared, shared)
	})
}

func TestMessagesMustBeAnArray(t *testing.T) {
	for _, raw := range []string{`{}`, `"[]"`, `1`, `true`} {
		var m messages
		if json.Unmarshal([]byte(raw), &m) == nil {
			t.Errorf("%s was taken for messages", raw)
		}
	}
}
