package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	chunkedField = "Transfer-Encoding: chunked\r\n"
	endlessBytes = 1 << 20 // sent where a client would never end
	overBytes    = 2 * crowdMaxBody
)

// Guards against bodies whose length is announced, and that stop just before their end: memory is allocated for bytes
// that never arrive, and nobody ends the request.
func TestCrowdOfAnnouncedBodies(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		head := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdMaxBody)
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, head)); err != nil {
				return err
			}
			return writeRepeated(w, "a", crowdMaxBody-1)
		})
	})
}

// Guards against the same bodies in large chunks, whose buffers are doubled and copied.
func TestCrowdOfLargeChunks(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, chunkedField), "\r\n"); err != nil {
				return err
			}
			return writeRepeated(w, chunk(crowdChunk), crowdMaxBody/crowdChunk*len(chunk(crowdChunk))-2)
		})
	})
}

// Guards against a megabyte in tiny chunks, held by each of many.
func TestCrowdOfTinyChunks(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, chunkedField), "\r\n"); err != nil {
				return err
			}
			return writeRepeated(w, chunk(crowdTinyChunk), endlessBytes/crowdTinyChunk*len(chunk(crowdTinyChunk)))
		})
	})
}

// Guards against bodies far over the limit that are announced.
func TestCrowdOfAnnouncedOversizedBodies(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, "Content-Length: 1099511627776\r\n\r\n")); err != nil {
				return err
			}
			return writeRepeated(w, "a", overBytes)
		})
	})
}

// Guards against bodies far over the limit that are just sent.
func TestCrowdOfOversizedChunkedBodies(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, chunkedField), "\r\n"); err != nil {
				return err
			}
			return writeRepeated(w, chunk(crowdChunk), overBytes)
		})
	})
}

// Guards against bodies of callers that nobody knows.
func TestCrowdWithoutValidKeys(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.headWithKey(http.MethodPost, f.path, "unknown", chunkedField), "\r\n"); err != nil {
				return err
			}
			return writeRepeated(w, chunk(crowdChunk), crowdMaxBody)
		})
	})
}

// Guards against heads over the limit.
func TestCrowdOfOversizedHeads(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, "")); err != nil {
				return err
			}
			if err := writeRepeated(w, "X-Filler: aaaaaaaaaaaaaaaa\r\n", endlessBytes); err != nil {
				return err
			}
			return writeAll(w, "\r\n")
		})
	})
}

// Guards against heads of many short fields that never end, whose decoded form is many times as large.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		fields := shortFields(60 << 10)
		f.press(t, crowdSize, func(w io.Writer) error { return writeAll(w, f.head(http.MethodPost, fields)) })
	})
}

// Guards against the same heads that end, with a body that doesn't.
func TestCrowdOfLargeHeadsWithOpenBodies(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		fields := shortFields(60<<10) + "Content-Length: 2\r\n\r\na"
		f.press(t, crowdSize, func(w io.Writer) error { return writeAll(w, f.head(http.MethodPost, fields)) })
	})
}

// shortFields returns about n bytes of header fields with different names.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against empty lines without end before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error { return writeRepeated(w, "\r\n", endlessBytes) })
	})
}

// Guards against empty lines without end between two requests.
func TestCrowdOfEmptyLinesAfterARequest(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, "Content-Length: 1\r\n\r\na")); err != nil {
				return err
			}
			return writeRepeated(w, "\r\n", endlessBytes)
		})
	})
}

// Guards against trailers without end.
func TestCrowdOfTrailers(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, chunkedField), "\r\n", chunk(1), "0\r\n"); err != nil {
				return err
			}
			return writeRepeated(w, "x: a\r\n", endlessBytes)
		})
	})
}

// Guards against chunk extensions without end.
func TestCrowdOfChunkExtensions(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := writeAll(w, f.head(http.MethodPost, chunkedField), "\r\n1;"); err != nil {
				return err
			}
			return writeRepeated(w, "a", endlessBytes)
		})
	})
}

// Guards against pipelined requests whose answers nobody reads.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		const requests = 200
		f.press(t, crowdSize, func(w io.Writer) error {
			for range requests {
				if err := writeAll(w, f.head(http.MethodPost, "Content-Length: 1\r\n\r\na")); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Guards against large answers that nobody reads, which hold their connections and are kept until they are written.
func TestCrowdOfUnreadLargeAnswers(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		const requests, answerBytes, window = 8, 1_000_000, 4 << 10
		path := fmt.Sprintf("%s?%s=%d", f.path, standin.AnswerBytes, answerBytes)
		f.press(t, crowdSize, func(w io.Writer) error {
			if err := w.(*net.TCPConn).SetReadBuffer(window); err != nil {
				return err
			}
			for range requests {
				if err := writeAll(w, f.headWithKey(http.MethodPost, path, f.key, "Content-Length: 1\r\n\r\na")); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Guards against clients that connect and send nothing.
func TestCrowdOfSilentConnections(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdConns, func(io.Writer) error { return nil })
	})
}

// Guards against clients that hold a connection by one byte of a head.
func TestCrowdOfBegunHeads(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdConns, func(w io.Writer) error { return writeAll(w, "P") })
	})
}

// Guards against clients that hold a connection by a body that lacks one byte.
func TestCrowdOfBegunBodies(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		f.press(t, crowdConns, func(w io.Writer) error {
			return writeAll(w, f.head(http.MethodPost, "Content-Length: 2\r\n\r\na"))
		})
	})
}

// Guards against connections that are reset in the middle of a body, again and again.
func TestCrowdThatResets(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		const rounds = 5
		head := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdMaxBody)
		f.press(t, crowdSize, func(w io.Writer) error {
			for range rounds {
				c, err := net.Dial("tcp", f.addr)
				if err != nil {
					return err
				}
				_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
				_ = writeAll(c, f.head(http.MethodPost, head), strings.Repeat("a", crowdMaxBody/4)) // fails if it is refused
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return nil
		})
	})
}

// Guards against whole bodies within the limits whose decoded form is many times as large.
func TestCrowdOfManyMessages(t *testing.T) {
	f := startServeFront(t)
	const size = 1 << 20
	body := `{"model":"` + model + `","messages":[{}` + strings.Repeat(",{}", size/len(",{}")) + `]}`
	head := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	f.press(t, crowdSize, func(w io.Writer) error {
		return writeAll(w, f.headWithKey(http.MethodPost, f.chatPath, f.key, head), body)
	})
}

// Guards against limits that a slow client within them meets: a body of the largest size in tiny chunks, with pauses,
// is served.
func TestSlowLargestBodyIsServed(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		is := is.New(t)
		const pauses, pause = 5, 1500 * time.Millisecond
		c, err := net.Dial("tcp", f.addr)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		is.NoErr(writeAll(c, f.head(http.MethodPost, chunkedField), "\r\n"))
		part := strings.Repeat(chunk(crowdTinyChunk), crowdMaxBody/crowdTinyChunk/pauses)
		rest := strings.Repeat(chunk(crowdTinyChunk), crowdMaxBody/crowdTinyChunk%pauses)
		for range pauses {
			is.NoErr(writeAll(c, part))
			time.Sleep(pause)
		}
		is.NoErr(writeAll(c, rest, "0\r\n\r\n"))
		status, _ := readAnswer(c)
		is.Equal(status, http.StatusOK)
	})
}

// Guards against a refusal that is lost since the connection is reset while its client still sends: the client reads
// it once it has sent all.
func TestRefusalReachesASendingClient(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		status, answer := f.request(ctx, strings.Repeat("a", 2*crowdMaxBody))
		if status != http.StatusRequestEntityTooLarge {
			t.Fatalf("status %d, want %d: %s", status, http.StatusRequestEntityTooLarge, answer)
		}
		if f.name == "serve" && !strings.Contains(answer, `"ran":"no"`) {
			t.Fatalf("the refusal doesn't say that the request was not run: %s", answer)
		}
	})
}

// Guards against a refusal that waits for the rest of a body that never comes: the HTTP library reads on before it
// sends the header.
func TestRefusalDoesNotWaitForABody(t *testing.T) {
	f := startServeFront(t)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(conditionTimeout))
	if err := writeAll(c, f.headWithKey(http.MethodPost, f.path, "unknown", "Content-Length: 1000\r\n\r\na")); err != nil {
		t.Fatal(err)
	}
	if status, _ := readAnswer(c); status != http.StatusUnauthorized {
		t.Fatalf("status %d, want %d", status, http.StatusUnauthorized)
	}
}

// readAnswer reads one response.
func readAnswer(c net.Conn) (status int, body string) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(raw)
}

// Guards against a stop that waits for clients which never end their requests.
func TestCrowdBesideAStop(t *testing.T) {
	forEachFront(t, func(t *testing.T, f *crowdFront) {
		c := &crowd{}
		defer c.close()
		for range crowdSize {
			if conn := c.add(f.addr); conn != nil {
				_ = writeAll(conn, f.head(http.MethodPost, "Content-Length: 2\r\n\r\na")) // fails if it is refused
			}
		}
		f.awaitRest()
		f.signal(syscall.SIGTERM)
		if code := f.exitCode(t); code != 0 {
			t.Fatalf("exit code %d:\n%s", code, f.tail())
		}
	})
}
