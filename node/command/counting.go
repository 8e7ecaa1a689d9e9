package command

import (
	"io"
	"net/http"
)

// countedAnswer counts what is read from a target's answer.
type countingBody struct {
	io.ReadCloser
	contentLength int64 // length that the target stated, -1 for none
	read          int64
	eof           bool
}

// countAnswer puts a counter on the body of resp, unless it has none.
func countBody(resp *http.Response) *countingBody {
	if resp.Body == http.NoBody {
		return nil
	}
	c := &countingBody{ReadCloser: resp.Body, contentLength: resp.ContentLength}
	resp.Body = c
	return c
}

// Read reads from the target.
func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.read += int64(n)
	c.eof = c.eof || err == io.EOF
	return n, err
}

// countedCaller counts what is written to the caller.
type countingWriter struct {
	http.ResponseWriter
	status  int
	written int64
	err     error
}

// WriteHeader sends the status.
func (c *countingWriter) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Write writes to the caller.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.written += int64(n)
	if err != nil {
		c.err = err
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the server's writer.
func (c *countingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
