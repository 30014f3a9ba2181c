package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/service"
	"github.com/knapweedgw/knapweedgw/problem"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// answer is a whole answer to a chat turn or service call.
type answer struct {
	content string
	cached  int           // prompt tokens from a cache
	first   time.Duration // time to the first token; 0 if not streamed
	service service.Answer
}

type chunk struct {
	Choices []struct {
		Message engine.Message `json:"message"`
		Delta   engine.Message `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string            `json:"message"`
		Ran     problem.Execution `json:"ran"`
	} `json:"error"`
}

// readWhole reads an unstreamed chat answer.
func readWhole(body io.Reader, _ time.Time) (answer, error) {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return answer{}, err
	}
	if len(c.Choices) == 0 {
		return answer{}, errors.New("answer without a choice")
	}
	return answer{content: c.Choices[0].Message.Content, cached: c.Usage.Details.Cached}, nil
}

// readStream reads a chat answer sent as server-sent events, to its [DONE].
func readStream(body io.Reader, start time.Time) (answer, error) {
	var a answer
	var content strings.Builder
	pending, lastEvent := "", "" // event IDs: of the event being read, of the last whole one
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			pending = id
			continue
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.content = content.String()
			return a, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return answer{}, brokenStream(lastEvent, content.String(), a.first, err)
		}
		if c.Error != nil {
			return answer{}, streamFailure(c, content.Len())
		}
		if a.first == 0 {
			a.first = time.Since(start)
		}
		if len(c.Choices) > 0 {
			content.WriteString(c.Choices[0].Delta.Content)
		}
		a.cached += c.Usage.Details.Cached
		lastEvent = pending
	}
	return answer{}, brokenStream(lastEvent, content.String(), a.first, sc.Err())
}

// brokenStream is a stream that ended before its [DONE] without a word.
func brokenStream(lastEvent, content string, first time.Duration, cause error) error {
	f := &failure{ran: problem.MayHaveRun, cause: errors.Newf("stream ended early: %v", cause)}
	if lastEvent != "" {
		f.partial = &partial{lastEvent: lastEvent, content: content, first: first}
	}
	return f
}

// streamFailure is an error event; after the first token it can't mean that
// nothing was run.
func streamFailure(c chunk, delivered int) error {
	f := &failure{told: true, ran: c.Error.Ran, cause: errors.Newf("stream error: %s", c.Error.Message)}
	if f.ran == "" || delivered > 0 {
		f.ran = problem.MayHaveRun
	}
	return f
}

// readService reads the answer of a plain service.
func readService(body io.Reader, _ time.Time) (answer, error) {
	var a answer
	err := json.NewDecoder(body).Decode(&a.service)
	return a, err
}
