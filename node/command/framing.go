package command

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// framing parses the message framing of one HTTP/1.1 answer (RFC 9112, section 6) and
// detects bytes after its end. net/http buffers such bytes and, if the connection is
// reused immediately, parses them as the answer to the next request.
type framing struct {
	bodyless  bool // the answer has no body, regardless of its header
	state     frameState
	line      []byte // the incomplete current line
	remaining int64  // remaining bytes of the body or chunk
	length    int64  // Content-Length; -1 if the answer has none
	chunked   bool
	status    int
	echo      requestEcho
	echoed    bool // the answer repeated the request ID
}

// requestEcho is the header by which an answer shows to which request it belongs.
type requestEcho struct {
	// header is the name of the header; empty when answers are not checked.
	header string
	// id is the ID of the request.
	id string
}

// frameState is the part of the answer that the parser expects next.
type frameState uint8

const (
	frameStatus frameState = iota
	frameHeader
	frameBody
	frameChunkSize
	frameChunk
	frameChunkEnd
	frameTrailer
	// frameDone is the end of the answer.
	frameDone
	// frameUnknown is an answer without a known end, or with bytes after its end.
	frameUnknown
)

// newFraming returns a parser of the answer to a request with the given method, which repeats
// the request ID as described by echo.
func newFraming(method string, echo requestEcho) *framing {
	return &framing{bodyless: method == http.MethodHead, length: -1, echo: echo}
}

// reusable reports whether exactly one complete answer was read and whether it is known to
// belong to the request. A target that does not repeat request IDs may send an answer a
// second time, late, and the connection's next request would take it for its own.
func (f *framing) reusable() bool {
	return f.state == frameDone && (f.echo.header == "" || f.echoed)
}

// feed parses the next bytes of the answer.
func (f *framing) feed(p []byte) {
	for len(p) > 0 && f.state != frameUnknown {
		switch f.state {
		case frameDone:
			f.state = frameUnknown
		case frameBody, frameChunk:
			n := min(int64(len(p)), f.remaining)
			f.remaining -= n
			p = p[n:]
			f.afterData()
		default:
			i := bytes.IndexByte(p, '\n')
			if i < 0 {
				f.line = append(f.line, p...)
				return
			}
			f.line = append(f.line, p[:i]...)
			p = p[i+1:]
			f.endLine(strings.TrimRight(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) afterData() {
	if f.remaining > 0 {
		return
	}
	if f.state == frameChunk {
		f.state = frameChunkEnd
	} else {
		f.state = frameDone
	}
}

// endLine parses one line, given without its line terminator.
func (f *framing) endLine(line string) {
	switch f.state {
	case frameStatus:
		f.readStatus(line)
	case frameHeader:
		f.readHeader(line)
	case frameChunkSize:
		f.readChunkSize(line)
	case frameChunkEnd:
		f.state = frameChunkSize
	case frameTrailer:
		if line == "" {
			f.state = frameDone
		}
	}
}

func (f *framing) readStatus(line string) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		f.state = frameUnknown
		return
	}
	status, err := strconv.Atoi(fields[1])
	f.state = frameHeader
	interim := status >= 100 && status < 200
	if err != nil || containsStatusLine(line[1:]) || !interim && !isFinalStatus(status) {
		f.state = frameUnknown
	}
	f.status = status
}

// isFinalStatus reports whether a status is that of a final answer (RFC 9110, section 15).
func isFinalStatus(status int) bool {
	return status >= 200 && status < 600
}

func (f *framing) readHeader(line string) {
	if line == "" {
		f.endHeader()
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	if f.echo.header != "" && strings.EqualFold(name, f.echo.header) {
		f.echoed = value == f.echo.id
	}
	if containsStatusLine(value) {
		f.state = frameUnknown
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			f.state = frameUnknown
		}
		f.length = n
	case "transfer-encoding":
		f.chunked = strings.EqualFold(value, "chunked")
	}
}

// statusLineStart matches the start of an HTTP/1 status line.
var statusLineStart = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// containsStatusLine reports whether s, the rest of a status line or the value of a header,
// contains the start of a status line: bytes that were left on the connection and the answer
// behind them are then parsed as one answer.
func containsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLineStart.MatchString(s)
}

// mergedAnswers reports whether the header of resp contains the status line of another answer.
func mergedAnswers(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func (f *framing) endHeader() {
	interim := f.status >= 100 && f.status < 200
	switch {
	case interim && f.status != http.StatusSwitchingProtocols:
		*f = framing{bodyless: f.bodyless, length: -1, echo: f.echo}
	case f.bodyless || f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		f.state = frameDone
	case f.chunked:
		f.state = frameChunkSize
	case f.length == 0:
		f.state = frameDone
	case f.length > 0:
		f.state = frameBody
		f.remaining = f.length
	default:
		f.state = frameUnknown
	}
}

func (f *framing) readChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		f.state = frameUnknown
	case n == 0:
		f.state = frameTrailer
	default:
		f.state = frameChunk
		f.remaining = n
	}
}
