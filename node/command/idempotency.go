package command

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/idem"
	"github.com/galenasail/galenasail/node/wire"
)

// idempotencyTable is the table of idempotency keys, shared by all requests. Every
// operation is a few map accesses, so a single lock is sufficient.
type idempotencyTable struct {
	mu         sync.Mutex
	table      *idem.Table
	lastExpiry time.Time
}

// expiryInterval is the minimum time between two removals of the expired records of all
// workspaces.
const expiryInterval = 10 * time.Second

// begin returns what to do with a request that has the given key, and the stored answer if
// there is one.
func (r *idempotencyTable) begin(workspace, key string, fingerprint uint64) (idem.Decision, *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastExpiry) >= expiryInterval {
		r.table.Expire(now)
		r.lastExpiry = now
	}
	return r.table.Begin(workspace, key, fingerprint, now)
}

// finish stores the answer of a request that ran.
func (r *idempotencyTable) finish(workspace, key string, a *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(workspace, key, a, time.Now())
}

// end records the outcome of a request without a stored answer. If the request did not run,
// its key can be used again.
func (r *idempotencyTable) end(workspace, key string, ran fault.Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch ran {
	case fault.RanNo:
		r.table.Release(workspace, key)
	case fault.RanUnknown:
		r.table.MarkUnknown(workspace, key, time.Now())
	case fault.RanYes:
		r.table.Finish(workspace, key, nil, time.Now())
	}
}

// readIdempotencyKey parses the caller's idempotency key and checks that it belongs to this
// VM instance.
func (ex *exchange) readIdempotencyKey() error {
	values := ex.r.Header.Values(wire.HeaderIdempotencyKey)
	if len(values) == 0 || !ex.h.cfg.Dialect.IdempotencyKeys {
		return nil
	}
	if len(values) > 1 {
		return fault.New(fault.BadRequest, "the request has more than one idempotency key")
	}
	if ex.workspace == nil {
		return fault.New(fault.BadRequest, "an idempotency key is accepted only with the key of a workspace")
	}
	key, err := idem.ParseKey(values[0])
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, err.Error())
	}
	if containsKey(key.Text, ex.key) {
		return fault.New(fault.BadRequest, "the idempotency key contains the key of the workspace")
	}
	if key.Instance != ex.h.cfg.Identity.Instance {
		return ex.otherInstance(key.Instance)
	}
	ex.idempotencyKey = key.Text
	ex.header[wire.HeaderTargetIdempotencyKey] = []string{values[0]}
	return nil
}

// otherInstance returns the error for an idempotency key of another VM instance. The error
// holds the address of the VM while that instance is the latest known one of a VM in the
// list.
func (ex *exchange) otherInstance(instance uint64) error {
	if list := ex.h.cfg.Configs.List(); list != nil {
		for _, vm := range list.VMs {
			known, ok := ex.h.cfg.Contact.InstanceOf(vm.ID)
			if ok && known == instance && vm.ID != ex.h.cfg.Identity.VM.ID {
				return fault.WithAddress(fault.WrongInstance, vm.Address, "the idempotency key belongs to "+vm.ID)
			}
		}
	}
	return fault.New(fault.OutcomeUnknown, "the VM instance of the idempotency key is unknown or no longer running")
}

// runIdempotent runs the first request with an idempotency key and answers repeated ones
// from the table.
func (ex *exchange) runIdempotent() error {
	decision, kept := ex.h.idempotency.begin(ex.workspace.ID, ex.idempotencyKey, ex.idempotencyFingerprint())
	switch decision {
	case idem.Run:
	case idem.AnswerKept:
		ex.replay(kept)
		return nil
	case idem.Running:
		return fault.New(fault.InProgress, "the first request with this idempotency key is still running")
	case idem.AnswerNotKept:
		return fault.New(fault.AnswerNotKept, "the request ran, but its answer was not stored")
	case idem.Unknown:
		return fault.New(fault.OutcomeUnknown, "the first request with this idempotency key may have run")
	case idem.Reused:
		return fault.New(fault.KeyReused, "the idempotency key was used for a different request")
	default:
		return fault.New(fault.Overloaded, "the table of idempotency keys is full")
	}
	ex.recordPending = true
	// After a panic the outcome is recorded as unknown, otherwise as the strongest
	// statement over all attempts.
	ran := fault.RanUnknown
	defer func() {
		if ex.recordPending {
			ex.h.idempotency.end(ex.workspace.ID, ex.idempotencyKey, ran)
		}
	}()
	err := ex.forwardWithinRate()
	ran = ex.ran
	return err
}

// idempotencyFingerprint returns a hash of the request that detects the use of an
// idempotency key for a different request.
func (ex *exchange) idempotencyFingerprint() uint64 {
	d := xxhash.NewWithSeed(ex.fingerprint)
	_, _ = d.WriteString(ex.query)
	_, _ = d.WriteString("\x00" + strings.ToLower(ex.r.Host))
	return d.Sum64()
}

// storeAnswer stores a complete answer for repeated requests. It is called before the
// answer is sent to the caller.
func (ex *exchange) storeAnswer(resp *http.Response, body []byte) {
	if !ex.recordPending {
		return
	}
	ex.recordPending = false
	header := endToEndHeader(resp.Header)
	removeFleetHeaders(header)
	ex.h.idempotency.finish(ex.workspace.ID, ex.idempotencyKey, &idem.Answer{
		Status:  resp.StatusCode,
		Header:  header,
		Body:    bytes.Clone(body),
		Trailer: resp.Trailer,
	})
}

// replay answers a repeated request with the stored answer.
func (ex *exchange) replay(a *idem.Answer) {
	ex.w.Header().Set(wire.HeaderReplayed, "true")
	ex.targetBody = nil
	resp := &http.Response{StatusCode: a.Status, Header: a.Header, Trailer: a.Trailer, Body: http.NoBody}
	ex.sendBuffered(resp, a.Body)
}
