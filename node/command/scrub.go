package command

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1) and Expect, which the
// fleet answers itself.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// scrub sets the header and query that are sent to the target: without hop-by-hop headers,
// headers reserved for the fleet, and the caller's key.
func (ex *exchange) scrub() error {
	if ex.key != "" && keyInRequestLine(ex.r, ex.key) {
		return fault.New(fault.BadRequest, "the method, host or path contains the key")
	}
	ex.header = endToEndHeader(ex.r.Header)
	delete(ex.header, "Authorization")
	if ex.h.cfg.Dialect.IdempotencyKeys {
		delete(ex.header, wire.HeaderIdempotencyKey)
	}
	removeFleetHeaders(ex.header)
	for _, name := range ex.h.cfg.Dialect.Reserved {
		delete(ex.header, name)
	}
	removeKey(ex.header, ex.key)
	ex.query = queryWithoutKey(ex.r.URL.RawQuery, ex.key)
	if _, ok := ex.header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own.
		ex.header["User-Agent"] = []string{""}
	}
	if ex.workspace != nil {
		ex.header[ex.h.cfg.Dialect.Workspace] = []string{ex.workspace.ID}
	}
	ex.header[ex.h.cfg.Dialect.RequestID] = []string{ex.id}
	return nil
}

// keyInRequestLine reports whether the method, host or path contains the key. The key
// cannot be removed from these parts.
func keyInRequestLine(r *http.Request, key string) bool {
	return containsKey(r.Method, key) || containsKey(r.Host, key) || containsKey(requestPath(r), key)
}

// endToEndHeader returns a copy of h without hop-by-hop headers and without the headers
// listed in Connection.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// removeFleetHeaders deletes headers that only the fleet may set.
func removeFleetHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, wire.HeaderPrefix) {
			delete(h, name)
		}
	}
}

// mayForwardTrailer reports whether a trailer of the caller may be sent to the target: not one
// that contains the key, nor one that only the fleet may set.
func (ex *exchange) mayForwardTrailer(name string) bool {
	if ex.key != "" && containsKey(name, ex.key) {
		return false
	}
	d := ex.h.cfg.Dialect
	ofFleet := []string{d.Workspace, d.RequestID, d.Timeout, d.Target}
	return !strings.HasPrefix(name, wire.HeaderPrefix) && !slices.Contains(ofFleet, name) && !slices.Contains(d.Reserved, name)
}

// removeKey deletes each header line and each cookie that contains key. It does not modify
// the value slices of h, which may be shared with other headers.
func removeKey(h http.Header, key string) {
	if key == "" {
		return
	}
	for name, values := range h {
		if containsKey(name, key) {
			delete(h, name)
			continue
		}
		if !anyContainsKey(values, key) {
			continue
		}
		if kept := linesWithoutKey(name, values, key); len(kept) > 0 {
			h[name] = kept
		} else {
			delete(h, name)
		}
	}
}

func anyContainsKey(values []string, key string) bool {
	for _, v := range values {
		if containsKey(v, key) {
			return true
		}
	}
	return false
}

func linesWithoutKey(name string, values []string, key string) []string {
	var kept []string
	for _, v := range values {
		if name == "Cookie" {
			v = joinWithoutKey(v, ";", key)
		}
		if v != "" && !containsKey(v, key) {
			kept = append(kept, v)
		}
	}
	return kept
}

// queryWithoutKey removes each parameter of a raw query that contains key.
func queryWithoutKey(raw, key string) string {
	if raw == "" || key == "" || !containsKey(raw, key) {
		return raw
	}
	kept := joinWithoutKey(raw, "&", key)
	if containsKey(kept, key) {
		// The key contains a separator, so no single parameter contains the key.
		return ""
	}
	return kept
}

func joinWithoutKey(list, separator, key string) string {
	var kept []string
	for _, part := range strings.Split(list, separator) {
		if !containsKey(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.TrimSpace(strings.Join(kept, separator))
}

// maxDecodings is the maximum number of layers of percent encoding that containsKey
// decodes.
const maxDecodings = 3

// containsKey reports whether s contains key, ignoring ASCII case and percent encoding.
// Case is ignored because net/http changes the case of header names.
func containsKey(s, key string) bool {
	for range maxDecodings {
		if containsFoldASCII(s, key) {
			return true
		}
		if !strings.ContainsAny(s, "%+") {
			return false
		}
		decoded := decodeLenient(s)
		if decoded == s {
			return false
		}
		s = decoded
	}
	return containsFoldASCII(s, key)
}

// containsFoldASCII is strings.Contains ignoring ASCII case. Unicode case folding would
// treat all bytes that are not valid UTF-8 as equal.
func containsFoldASCII(s, key string) bool {
	for i := 0; i+len(key) <= len(s); i++ {
		if equalFoldASCII(s[i:i+len(key)], key) {
			return true
		}
	}
	return false
}

func equalFoldASCII(a, b string) bool {
	for i := range len(b) {
		if lowerASCII(a[i]) != lowerASCII(b[i]) {
			return false
		}
	}
	return true
}

func lowerASCII(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// decodeLenient removes one layer of percent encoding and keeps invalid escapes unchanged,
// as a lenient target would.
func decodeLenient(s string) string {
	if plain, err := url.QueryUnescape(s); err == nil {
		return plain
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '+' {
			b.WriteByte(' ')
			continue
		}
		if s[i] == '%' && i+2 < len(s) {
			if plain, err := url.PathUnescape(s[i : i+3]); err == nil {
				b.WriteString(plain)
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}
