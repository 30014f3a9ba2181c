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

// maxEventBytes is the maximum length of one line of a stream.
const maxEventBytes = 1 << 20

// answer is a complete answer to a chat turn or service call.
type answer struct {
	content    string
	cached     int           // prompt tokens served from a prefix cache
	firstToken time.Duration // time to the first token; 0 if not streamed
	service    service.Answer
}

// chunk is an unstreamed chat answer, or one event of a streamed one.
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

// readUnstreamed reads a chat answer sent as one JSON document.
func readUnstreamed(body io.Reader, _ time.Time) (answer, error) {
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
	pending, lastEvent := "", "" // IDs of the event being read and of the last complete one
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
			return answer{}, brokenStream(lastEvent, content.String(), a.firstToken, err)
		}
		if c.Error != nil {
			return answer{}, errorEventFailure(c, content.Len())
		}
		if a.firstToken == 0 {
			a.firstToken = time.Since(start)
		}
		if len(c.Choices) > 0 {
			content.WriteString(c.Choices[0].Delta.Content)
		}
		a.cached += c.Usage.Details.Cached
		lastEvent = pending
	}
	return answer{}, brokenStream(lastEvent, content.String(), a.firstToken, sc.Err())
}

// brokenStream returns the failure of a stream that ended without [DONE] and without an error
// event. It can be resumed if it had a complete event.
func brokenStream(lastEvent, content string, firstToken time.Duration, cause error) error {
	f := &failure{ran: problem.MayHaveRun, cause: errors.Newf("stream ended early: %v", cause)}
	if lastEvent != "" {
		f.partial = &partial{lastEvent: lastEvent, content: content, firstToken: firstToken}
	}
	return f
}

// errorEventFailure returns the failure reported by an error event. It is never "not run" once
// content was delivered, since the request has then run.
func errorEventFailure(c chunk, delivered int) error {
	f := &failure{reported: true, ran: c.Error.Ran, cause: errors.Newf("stream error: %s", c.Error.Message)}
	if f.ran == "" || delivered > 0 {
		f.ran = problem.MayHaveRun
	}
	return f
}

// readService reads the answer of a plain service, one that serves no model.
func readService(body io.Reader, _ time.Time) (answer, error) {
	var a answer
	err := json.NewDecoder(body).Decode(&a.service)
	return a, err
}
