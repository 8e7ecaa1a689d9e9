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

// Each kind of message is signed with a context string of its own, so that the
// signature of one kind is not valid for another. The context of heartbeats is
// heartbeatContext.
const (
	callContext     = "galenasail call 1"
	responseContext = "galenasail answer 1"
)

// maxCallAge is how far the time of a call may differ from the receiver's wall
// clock. It limits the clock skew between VMs and the time for which nonces are
// kept.
const maxCallAge = 10 * time.Second

// nonceSize is the size of a random nonce in bytes. It makes collisions
// improbable: at 1,000 calls/s it takes over 10^8 years until one collision has a
// probability of 50%.
const nonceSize = 16

// Headers of a signed call.
const (
	headerTime      = "Galenasail-Peer-Time" // Unix time in milliseconds
	headerNonce     = "Galenasail-Peer-Nonce"
	headerSignature = "Galenasail-Peer-Signature"
)

// nonce is a random number that identifies one call.
type nonce [nonceSize]byte

// signCall returns the HMAC-SHA256 over procedure, time, nonce and body.
func signCall(key []byte, procedure string, millis int64, n nonce, body []byte) []byte {
	return sign(key, callContext, procedure, uint64(millis), n, body)
}

// signResponse returns the HMAC-SHA256 over procedure, status, the nonce of the
// call and body. The nonce binds the response to its call, so a recorded response
// is not valid for another call.
func signResponse(key []byte, procedure string, status int, n nonce, body []byte) []byte {
	return sign(key, responseContext, procedure, uint64(status), n, body)
}

// sign returns the HMAC-SHA256 over its parameters. Parts of variable length are
// preceded by their length, so that bytes cannot be moved between parts.
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

// signRequest signs a call, sets the headers in h and returns the nonce.
func signRequest(h http.Header, key []byte, procedure string, now time.Time, body []byte) nonce {
	var n nonce
	// rand.Read does not return errors: it ends the process on failure.
	_, _ = rand.Read(n[:])
	millis := now.UnixMilli()
	h.Set(headerTime, strconv.FormatInt(millis, 10))
	h.Set(headerNonce, hex.EncodeToString(n[:]))
	h.Set(headerSignature, hex.EncodeToString(signCall(key, procedure, millis, n, body)))
	return n
}

// verifyResponse returns an error of type trace.AccessDenied for a response that was
// not sent by a member of the fleet or that belongs to another call.
func verifyResponse(h http.Header, key []byte, procedure string, status int, n nonce, body []byte) error {
	got, err := hex.DecodeString(h.Get(headerSignature))
	if err != nil || !hmac.Equal(got, signResponse(key, procedure, status, n, body)) {
		return trace.AccessDenied("response with status %d has no valid signature", status)
	}
	return nil
}

// verifier checks signed calls and rejects replays. It is safe for concurrent use.
type verifier struct {
	key []byte
	now func() time.Time

	// Nonces are kept in two generations: every 2*maxCallAge recent becomes older,
	// and the former older is dropped.
	mu        sync.Mutex
	recent    map[nonce]struct{}
	older     map[nonce]struct{}
	rotatedAt time.Time
}

func newVerifier(key []byte) *verifier {
	return &verifier{key: key, now: time.Now, recent: map[nonce]struct{}{}}
}

// callHeaders holds the parsed headers of a signed call.
type callHeaders struct {
	millis    int64
	nonce     nonce
	signature []byte
}

// parseCallHeaders returns an error of type trace.AccessDenied when a header is
// missing or malformed.
func parseCallHeaders(h http.Header) (callHeaders, error) {
	var s callHeaders
	millis, err := strconv.ParseInt(h.Get(headerTime), 10, 64)
	if err != nil {
		return s, trace.AccessDenied("call without a valid time header")
	}
	raw, err := hex.DecodeString(h.Get(headerNonce))
	if err != nil || len(raw) != nonceSize {
		return s, trace.AccessDenied("call without a valid nonce header")
	}
	s.signature, err = hex.DecodeString(h.Get(headerSignature))
	if err != nil || len(s.signature) != sha256.Size {
		return s, trace.AccessDenied("call without a valid signature header")
	}
	s.millis = millis
	copy(s.nonce[:], raw)
	return s, nil
}

// check returns an error of type trace.AccessDenied for a call whose signature is
// wrong, whose time is more than maxCallAge before or after now, or whose nonce
// was already used.
func (v *verifier) check(s callHeaders, procedure string, body []byte) error {
	if !hmac.Equal(signCall(v.key, procedure, s.millis, s.nonce, body), s.signature) {
		return trace.AccessDenied("signature of the call is wrong")
	}
	now := v.now()
	if age := now.Sub(time.UnixMilli(s.millis)); age > maxCallAge || age < -maxCallAge {
		return trace.AccessDenied("call has an age of %v by the local clock, the limit is ±%v", age.Round(time.Millisecond), maxCallAge)
	}
	return v.recordNonce(s.nonce, now)
}

// recordNonce records n, or returns an error of type trace.AccessDenied when it
// was already recorded. A call is valid from maxCallAge before to maxCallAge after
// its time, so each generation covers 2*maxCallAge.
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
		return trace.AccessDenied("nonce of the call was already used")
	}
	v.recent[n] = struct{}{}
	return nil
}
