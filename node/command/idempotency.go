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
type records struct {
	mu    sync.Mutex
	table *idem.Table
	swept time.Time
}

// sweepEvery is the time between two expiries over all workspaces.
const sweepEvery = 10 * time.Second

func (r *records) begin(workspace, key string, fingerprint uint64) (idem.Decision, *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.swept) >= sweepEvery {
		r.table.Expire(now)
		r.swept = now
	}
	return r.table.Begin(workspace, key, fingerprint, now)
}

func (r *records) finish(workspace, key string, a *idem.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(workspace, key, a, time.Now())
}

func (r *records) end(workspace, key string, ran fault.Ran) {
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

// readIdempotencyKey parses the caller's key and checks that this instance may
// run it.
func (j *job) readIdempotencyKey() error {
	values := j.r.Header.Values(wire.HeaderIdempotencyKey)
	if len(values) == 0 || !j.h.cfg.Dialect.IdempotencyKeys {
		return nil
	}
	if len(values) > 1 {
		return fault.New(fault.BadRequest, "more than one idempotency key")
	}
	if j.workspace == nil {
		return fault.New(fault.BadRequest, "an idempotency key needs the key of a workspace")
	}
	key, err := idem.ParseKey(values[0])
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, err.Error())
	}
	if containsKey(key.Text, j.key) {
		return fault.New(fault.BadRequest, "the idempotency key contains the key of the workspace")
	}
	if key.Instance != j.h.cfg.Identity.Instance {
		return j.otherInstance(key.Instance)
	}
	j.idemKey = key.Text
	j.header[wire.HeaderTargetIdempotencyKey] = []string{values[0]}
	return nil
}

// otherInstance answers a key of another VM instance: with the VM's address
// while that instance is the last one known of a VM in the list.
func (j *job) otherInstance(instance uint64) error {
	if list := j.h.cfg.Configs.List(); list != nil {
		for _, vm := range list.VMs {
			known, ok := j.h.cfg.Contact.InstanceOf(vm.ID)
			if ok && known == instance && vm.ID != j.h.cfg.Identity.VM.ID {
				return fault.WithAddress(fault.WrongInstance, vm.Address, "the idempotency key belongs to "+vm.ID)
			}
		}
	}
	return fault.New(fault.OutcomeUnknown, "the VM instance of the idempotency key is gone")
}

// runOnce runs the request under its idempotency key, or answers a repeat.
func (j *job) runOnce() error {
	verdict, kept := j.h.records.begin(j.workspace.ID, j.idemKey, j.keyFingerprint())
	switch verdict {
	case idem.Run:
	case idem.AnswerKept:
		j.replay(kept)
		return nil
	case idem.Running:
		return fault.New(fault.InProgress, "the first request with this idempotency key is running")
	case idem.AnswerNotKept:
		return fault.New(fault.AnswerNotKept, "the request ran and its answer is not kept")
	case idem.Unknown:
		return fault.New(fault.OutcomeUnknown, "the first request with this idempotency key may have run")
	case idem.Reused:
		return fault.New(fault.KeyReused, "the idempotency key was used for a different request")
	default:
		return fault.New(fault.Overloaded, "the table of idempotency keys is full")
	}
	j.recording = true
	// A panic leaves the outcome unknown; otherwise the record ends with what the
	// attempts may have done.
	ran := fault.RanUnknown
	defer func() {
		if j.recording {
			j.h.records.end(j.workspace.ID, j.idemKey, ran)
		}
	}()
	err := j.run()
	ran = j.ran
	return err
}

// keyFingerprint detects a key that is reused for a different request.
func (j *job) keyFingerprint() uint64 {
	d := xxhash.NewWithSeed(j.fingerprint)
	_, _ = d.WriteString(j.query)
	return d.Sum64()
}

// keep stores a whole answer for repeats, before the caller gets it.
func (j *job) keep(resp *http.Response, body []byte) {
	if !j.recording {
		return
	}
	j.recording = false
	header := endToEnd(resp.Header)
	removeFleetHeaders(header)
	j.h.records.finish(j.workspace.ID, j.idemKey, &idem.Answer{
		Status:  resp.StatusCode,
		Header:  header,
		Body:    bytes.Clone(body),
		Trailer: resp.Trailer,
	})
}

// replay answers a repeat with the kept answer.
func (j *job) replay(a *idem.Answer) {
	j.w.Header().Set(wire.HeaderReplayed, "true")
	j.in = nil
	resp := &http.Response{StatusCode: a.Status, Header: a.Header, Trailer: a.Trailer, Body: http.NoBody}
	j.sendWhole(resp, a.Body)
}
