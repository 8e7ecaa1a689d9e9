package command

import (
	"io"
	"net/http"
)

// countingBody counts the bytes read from the body of a target's answer.
type countingBody struct {
	io.ReadCloser
	contentLength int64 // -1 if the target sent no Content-Length
	read          int64
	eof           bool
}

// countBody wraps the body of resp in a countingBody. It returns nil if there is no
// body.
func countBody(resp *http.Response) *countingBody {
	if resp.Body == http.NoBody {
		return nil
	}
	c := &countingBody{ReadCloser: resp.Body, contentLength: resp.ContentLength}
	resp.Body = c
	return c
}

// Read implements io.Reader.
func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.read += int64(n)
	c.eof = c.eof || err == io.EOF
	return n, err
}

// countingWriter counts the body bytes written to the caller.
type countingWriter struct {
	http.ResponseWriter
	status  int
	written int64
	err     error
}

// WriteHeader records and sends the status.
func (c *countingWriter) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. It records the last error.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.written += int64(n)
	if err != nil {
		c.err = err
	}
	return n, err
}

// Unwrap returns the server's writer for http.ResponseController.
func (c *countingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
