package command

import (
	"bytes"
	"io"
	"net/http"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// RefusalResponse returns the text of the HTTP/1.1 response that refuses a request before its
// header was read. It states in dialect d that the request did not run.
func RefusalResponse(d *wire.Dialect) []byte {
	if d == nil {
		d = wire.Native()
	}
	w := &memoryWriter{header: http.Header{}}
	e := &fault.Error{Kind: fault.Overloaded, Detail: "this VM holds as much for callers as its memory allows"}
	d.WriteError(w, e, "")
	resp := &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Close: true,
	}
	var text bytes.Buffer
	// Writing to a bytes.Buffer cannot fail.
	_ = resp.Write(&text)
	return text.Bytes()
}

// memoryWriter collects a response in memory.
type memoryWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *memoryWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *memoryWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *memoryWriter) Write(p []byte) (int, error) { return w.body.Write(p) }
