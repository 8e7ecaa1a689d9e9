package command

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/idem"
	"github.com/galenasail/galenasail/node/wire"
)

// records is the idempotency table, shared by the request goroutines. Every
// operation is a few map accesses, so one lock is enough.
type idempotencyTable struct {
	mu         sync.Mutex
	table      *idem.Table
	lastExpiry time.Time
}

// sweepEvery is the time between two expiries over all workspaces.
const expiryInterval = 10 * time.Second

func (r *idempotencyTable) begin(workspace, key string, fingerprint uint64) (idem.Verdict, *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastExpiry) >= expiryInterval {
		r.table.Expire(now)
		r.lastExpiry = now
	}
	return r.table.Begin(workspace, key, fingerprint, now)
}

func (r *idempotencyTable) finish(workspace, key string, a *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(workspace, key, a, time.Now())
}

func (r *idempotencyTable) end(workspace, key string, ran fault.Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch ran {
	case fault.RanNo:
		r.table.NotRun(workspace, key)
	case fault.RanUnknown:
		r.table.Lose(workspace, key, time.Now())
	case fault.RanYes:
		r.table.Finish(workspace, key, nil, time.Now())
	}
}

// readIdempotencyKey parses the caller's key and checks that this instance may
// run it.
func (ex *exchange) readIdempotencyKey() error {
	values := ex.r.Header.Values(wire.HeaderIdempotencyKey)
	if len(values) == 0 || !ex.h.cfg.Dialect.IdempotencyKeys {
		return nil
	}
	if len(values) > 1 {
		return fault.New(fault.BadRequest, "more than one idempotency key")
	}
	if ex.workspace == nil {
		return fault.New(fault.BadRequest, "an idempotency key needs the key of a workspace")
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

// otherInstance answers a key of another VM instance: with the VM's address
// while that instance is the last one known of a VM in the list.
func (ex *exchange) otherInstance(instance uint64) error {
	if list := ex.h.cfg.Configs.List(); list != nil {
		for _, vm := range list.VMs {
			known, ok := ex.h.cfg.Contact.InstanceOf(vm.ID)
			if ok && known == instance && vm.ID != ex.h.cfg.Identity.VM.ID {
				return fault.WithAddress(fault.WrongInstance, vm.Address, "the idempotency key belongs to "+vm.ID)
			}
		}
	}
	return fault.New(fault.OutcomeUnknown, "the VM instance of the idempotency key is gone")
}

// runOnce runs the request under its idempotency key, or answers a repeat.
func (ex *exchange) runIdempotent() error {
	verdict, kept := ex.h.idempotency.begin(ex.workspace.ID, ex.idempotencyKey, ex.idempotencyFingerprint())
	switch verdict {
	case idem.Run:
	case idem.Kept:
		ex.replay(kept)
		return nil
	case idem.Running:
		return fault.New(fault.InProgress, "the first request with this idempotency key is running")
	case idem.NotKept:
		return fault.New(fault.AnswerNotKept, "the request ran and its answer is not kept")
	case idem.Unknown:
		return fault.New(fault.OutcomeUnknown, "the first request with this idempotency key may have run")
	case idem.Reused:
		return fault.New(fault.KeyReused, "the idempotency key was used for a different request")
	default:
		return fault.New(fault.Overloaded, "the table of idempotency keys is full")
	}
	ex.recordPending = true
	// A panic leaves the outcome unknown; otherwise the record ends with what the
	// attempts may have done.
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

// keyFingerprint detects a key that is reused for a different request.
func (ex *exchange) idempotencyFingerprint() uint64 {
	d := xxhash.NewWithSeed(ex.fingerprint)
	_, _ = d.WriteString(ex.query)
	return d.Sum64()
}

// keep stores a whole answer for repeats, before the caller gets it.
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

// replay answers a repeat with the kept answer.
func (ex *exchange) replay(a *idem.Answer) {
	ex.w.Header().Set(wire.HeaderReplayed, "true")
	ex.targetBody = nil
	resp := &http.Response{StatusCode: a.Status, Header: a.Header, Trailer: a.Trailer, Body: http.NoBody}
	ex.sendBuffered(resp, a.Body)
}
