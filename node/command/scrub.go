package command

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// hopByHop lists the headers of one connection (RFC 9110, section 7.6.1) and
// Expect, which the fleet itself answers.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// scrub prepares what the target gets: no hop-by-hop header, no header of the
// fleet, no key.
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
		// An empty value keeps net/http from adding its own.
		ex.header["User-Agent"] = []string{""}
	}
	if ex.workspace != nil {
		ex.header[ex.h.cfg.Dialect.Workspace] = []string{ex.workspace.ID}
	}
	ex.header[ex.h.cfg.Dialect.RequestID] = []string{ex.id}
	return nil
}

// keyInTarget tells whether a part of the request that cannot be removed
// contains the key.
func keyInRequestLine(r *http.Request, key string) bool {
	return containsKey(r.Method, key) || containsKey(r.Host, key) || containsKey(r.URL.EscapedPath(), key)
}

// endToEnd returns a copy of h without hop-by-hop headers and without those
// that Connection names.
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

// removeKey deletes each header line and each cookie that contains key. It
// does not change the slices of h, which other headers may share.
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
		// The key spans a separator, so no single parameter contains it.
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

// maxDecodings bounds the layers of percent encoding that containsKey removes.
const maxDecodings = 3

// containsKey tells whether s contains key, without regard to case and also in
// percent encoding. Header names reach the fleet in another case than sent.
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

// containsFold is strings.Contains without regard to ASCII case. Case mapping
// of Unicode would treat all bytes that are not UTF-8 as equal.
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

// decodeLenient removes one layer of percent encoding and leaves bad escapes,
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
