package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// The contexts separate signatures of calls and answers from each other and
// from those of heartbeats.
const (
	callContext   = "galenasail call 1"
	answerContext = "galenasail answer 1"
)

// maxCallAge is how far the time of a call may differ from the receiver's wall
// clock. It bounds how long nonces are kept and how far clocks may differ.
const maxCallAge = 10 * time.Second

// nonceSize makes a repeat of a random nonce improbable: at 1,000 calls/s half
// a chance of one repeat takes over 10^8 years.
const nonceSize = 16

// The headers of a signed call.
const (
	headerTime      = "Galenasail-Peer-Time" // Unix time in milliseconds
	headerNonce     = "Galenasail-Peer-Nonce"
	headerSignature = "Galenasail-Peer-Signature"
)

type nonce [nonceSize]byte

// signCall returns the HMAC-SHA256 over procedure, time, nonce and body.
func signCall(key []byte, procedure string, millis int64, n nonce, body []byte) []byte {
	return sign(key, callContext, procedure, uint64(millis), n, body)
}

// signAnswer returns the HMAC-SHA256 over procedure, status, the nonce of the
// call and body. The nonce ties an answer to its call.
func signAnswer(key []byte, procedure string, status int, n nonce, body []byte) []byte {
	return sign(key, answerContext, procedure, uint64(status), n, body)
}

// sign covers parts that have a fixed length or are preceded by their length.
func sign(key []byte, context, procedure string, number uint64, n nonce, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	var fixed [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(fixed[:], uint64(len(part)))
		_, _ = mac.Write(fixed[:])
		_, _ = mac.Write(part)
	}
	write([]byte(context))
	write([]byte(procedure))
	binary.BigEndian.PutUint64(fixed[:], number)
	_, _ = mac.Write(fixed[:])
	_, _ = mac.Write(n[:])
	write(body)
	return mac.Sum(nil)
}

// attach signs a call, sets its headers and returns its nonce.
func signRequest(h http.Header, key []byte, procedure string, now time.Time, body []byte) nonce {
	var n nonce
	// Read never fails on the supported platforms; it ends the process instead.
	_, _ = rand.Read(n[:])
	millis := now.UnixMilli()
	h.Set(headerTime, strconv.FormatInt(millis, 10))
	h.Set(headerNonce, hex.EncodeToString(n[:]))
	h.Set(headerSignature, hex.EncodeToString(signCall(key, procedure, millis, n, body)))
	return n
}

// checkAnswer returns an error of type trace.AccessDenied for an answer that is
// not from a member of the fleet or belongs to another call.
func checkAnswer(h http.Header, key []byte, procedure string, status int, n nonce, body []byte) error {
	got, err := hex.DecodeString(h.Get(headerSignature))
	if err != nil || !hmac.Equal(got, signAnswer(key, procedure, status, n, body)) {
		return trace.AccessDenied("answer with status %d has no valid signature", status)
	}
	return nil
}

// verifier checks signed calls. It is safe for concurrent use.
type verifier struct {
	key []byte
	now func() time.Time

	mu        sync.Mutex
	recent    map[nonce]struct{}
	older     map[nonce]struct{}
	rotatedAt time.Time
}

func newVerifier(key []byte) *verifier {
	return &verifier{key: key, now: time.Now, recent: map[nonce]struct{}{}}
}

// signed holds the parsed headers of a call.
type callHeaders struct {
	millis    int64
	nonce     nonce
	signature []byte
}

// parseSigned returns an error of type trace.AccessDenied when a header is
// missing or malformed.
func parseCallHeaders(h http.Header) (callHeaders, error) {
	var s callHeaders
	millis, err := strconv.ParseInt(h.Get(headerTime), 10, 64)
	if err != nil {
		return s, trace.AccessDenied("call without a valid time")
	}
	raw, err := hex.DecodeString(h.Get(headerNonce))
	if err != nil || len(raw) != nonceSize {
		return s, trace.AccessDenied("call without a valid nonce")
	}
	s.signature, err = hex.DecodeString(h.Get(headerSignature))
	if err != nil || len(s.signature) != sha256.Size {
		return s, trace.AccessDenied("call without a valid signature")
	}
	s.millis = millis
	copy(s.nonce[:], raw)
	return s, nil
}

// check returns an error of type trace.AccessDenied for a call that is altered,
// too old, from the future, or repeated.
func (v *verifier) check(s callHeaders, procedure string, body []byte) error {
	if !hmac.Equal(signCall(v.key, procedure, s.millis, s.nonce, body), s.signature) {
		return trace.AccessDenied("call with a wrong signature")
	}
	now := v.now()
	if age := now.Sub(time.UnixMilli(s.millis)); age > maxCallAge || age < -maxCallAge {
		return trace.AccessDenied("call is %v old, the limit is %v", age.Round(time.Millisecond), maxCallAge)
	}
	return v.recordNonce(s.nonce, now)
}

// use records a nonce. A nonce is valid from maxCallAge before to maxCallAge
// after the time of its call, so each generation covers twice that.
func (v *verifier) recordNonce(n nonce, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.rotatedAt) > 2*maxCallAge {
		v.older = v.recent
		v.recent = map[nonce]struct{}{}
		v.rotatedAt = now
	}
	_, inRecent := v.recent[n]
	_, inOlder := v.older[n]
	if inRecent || inOlder {
		return trace.AccessDenied("call was already received")
	}
	v.recent[n] = struct{}{}
	return nil
}
